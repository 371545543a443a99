//! Delays and cuts between brokers and leaves.

use std::collections::BTreeSet;
use std::time::Duration;

use gingerkeel_domain::identifiers::LeafId;
use rand::Rng;
use rand_pcg::Pcg64;

use super::broker::BrokerIndex;

/// Smallest one-way delay between a broker and a leaf.
const MINIMUM_DELAY: Duration = Duration::from_micros(300);
/// Largest one-way delay between a broker and a leaf of its region.
const MAXIMUM_DELAY: Duration = Duration::from_micros(1500);

/// The network of one run.
#[derive(Debug, Default)]
pub struct Network {
    cuts: BTreeSet<(BrokerIndex, LeafId)>,
}

impl Network {
    /// One-way delay of a message, or none when it is lost.
    pub fn delay(&self, random: &mut Pcg64, broker: BrokerIndex, leaf: LeafId) -> Option<Duration> {
        let delay = random.random_range(MINIMUM_DELAY..MAXIMUM_DELAY);
        (!self.cuts.contains(&(broker, leaf))).then_some(delay)
    }

    /// Loses all messages between the two from now on.
    pub fn cut(&mut self, broker: BrokerIndex, leaf: LeafId) {
        self.cuts.insert((broker, leaf));
    }

    /// Lets messages pass again.
    pub fn heal(&mut self, broker: BrokerIndex, leaf: LeafId) {
        self.cuts.remove(&(broker, leaf));
    }
}
