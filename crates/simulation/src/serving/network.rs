//! Simulated network between brokers and leaves, with delays and partitions.

use std::collections::BTreeSet;
use std::time::Duration;

use gingerkeel_domain::identifiers::LeafId;
use rand::Rng;
use rand_pcg::Pcg64;

use super::broker::BrokerIndex;

/// Minimum one-way delay between a broker and a leaf.
const MINIMUM_DELAY: Duration = Duration::from_micros(300);
/// Maximum one-way delay between a broker and a leaf in its region.
const MAXIMUM_DELAY: Duration = Duration::from_micros(1500);

/// Partitions between brokers and leaves.
#[derive(Debug, Default)]
pub struct Network {
    cuts: BTreeSet<(BrokerIndex, LeafId)>,
}

impl Network {
    /// One-way delay of a message, or `None` if it is lost.
    pub fn delay(&self, random: &mut Pcg64, broker: BrokerIndex, leaf: LeafId) -> Option<Duration> {
        let delay = random.random_range(MINIMUM_DELAY..MAXIMUM_DELAY);
        (!self.cuts.contains(&(broker, leaf))).then_some(delay)
    }

    /// Drops all messages between the broker and the leaf.
    pub fn cut(&mut self, broker: BrokerIndex, leaf: LeafId) {
        self.cuts.insert((broker, leaf));
    }

    /// Ends the partition between the broker and the leaf.
    pub fn heal(&mut self, broker: BrokerIndex, leaf: LeafId) {
        self.cuts.remove(&(broker, leaf));
    }
}
