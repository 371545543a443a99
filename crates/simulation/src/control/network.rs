//! Simulated network between control machines, brokers and operators in two regions, with delays,
//! message loss and partitions.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use gingerkeel_domain::time::Timestamp;
use rand::Rng;
use rand_pcg::Pcg64;

use super::machine::MachineIndex;
use super::message::Endpoint;

/// One-way delay within a region, in microseconds.
const REGION_DELAY: std::ops::Range<u64> = 800..2_000;
/// One-way delay between regions, in microseconds.
const FAR_DELAY: std::ops::Range<u64> = 11_000..14_000;

/// Retransmission delay of a lost feed message, in microseconds.
const RETRANSMISSION: std::ops::Range<u64> = 200_000..400_000;

/// One of the two regions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Region {
    /// Region with three of the five voters.
    South,
    /// Region with two of the five voters.
    North,
}

impl Region {
    /// Region of an endpoint.
    pub fn of(endpoint: Endpoint) -> Self {
        match endpoint {
            Endpoint::Machine(machine) if machine.0 < 3 => Self::South,
            Endpoint::Machine(_) => Self::North,
            Endpoint::Broker(broker) if broker.0 % 2 == 0 => Self::South,
            Endpoint::Broker(_) => Self::North,
            Endpoint::Operator(operator) if operator.0 % 2 == 0 => Self::South,
            Endpoint::Operator(_) => Self::North,
        }
    }
}

/// State of the network.
#[derive(Debug, Default)]
pub struct Network {
    /// Whether the network between the regions is partitioned.
    pub regions_cut: bool,
    /// Endpoints whose outgoing messages are dropped.
    pub mute: BTreeSet<Endpoint>,
    /// Endpoints whose incoming messages are dropped.
    pub deaf: BTreeSet<Endpoint>,
    /// Machines that are isolated from other machines.
    pub without_peers: BTreeSet<MachineIndex>,
    /// Fraction of lost messages.
    pub loss: f64,
    /// Fraction of lost replies to operators.
    pub answer_loss: f64,
    /// Arrival time of the last message between two endpoints. Messages are not reordered.
    arrivals: BTreeMap<(Endpoint, Endpoint), Timestamp>,
}

impl Network {
    /// One-way delay of a message sent now, or `None` if it is lost. Feed messages are
    /// retransmitted after a random loss, but not across a partition.
    pub fn delay(
        &mut self,
        now: Timestamp,
        random: &mut Pcg64,
        from: Endpoint,
        to: Endpoint,
    ) -> Option<Duration> {
        let far = Region::of(from) != Region::of(to);
        let range = if far { FAR_DELAY } else { REGION_DELAY };
        let mut micros = random.random_range(range);
        let lost = random.random_bool(self.loss_between(to));
        let cut = (far && self.regions_cut) || self.is_cut(from, to);
        let of_feed = [from, to].iter().any(|end| matches!(end, Endpoint::Broker(_)));
        if lost && of_feed {
            micros += random.random_range(RETRANSMISSION);
        }
        if cut || (lost && !of_feed) {
            return None;
        }
        let last = self.arrivals.entry((from, to)).or_default();
        *last = now.after(Duration::from_micros(micros)).max(last.after(Duration::from_micros(1)));
        Some(last.since(now))
    }

    fn is_cut(&self, from: Endpoint, to: Endpoint) -> bool {
        let between_machines = match (from, to) {
            (Endpoint::Machine(one), Endpoint::Machine(other)) => {
                self.without_peers.contains(&one) || self.without_peers.contains(&other)
            }
            _ => false,
        };
        between_machines || self.mute.contains(&from) || self.deaf.contains(&to)
    }

    fn loss_between(&self, to: Endpoint) -> f64 {
        match to {
            Endpoint::Operator(_) => self.loss.max(self.answer_loss),
            Endpoint::Machine(_) | Endpoint::Broker(_) => self.loss,
        }
    }

    /// Drops all messages to and from an endpoint.
    pub fn isolate(&mut self, endpoint: Endpoint) {
        self.mute.insert(endpoint);
        self.deaf.insert(endpoint);
    }

    /// Ends the isolation of an endpoint. A partition between the regions remains.
    pub fn rejoin(&mut self, endpoint: Endpoint) {
        self.mute.remove(&endpoint);
        self.deaf.remove(&endpoint);
        if let Endpoint::Machine(machine) = endpoint {
            self.without_peers.remove(&machine);
        }
    }
}
