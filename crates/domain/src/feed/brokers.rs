//! The list of brokers that share the leaves, and its deltas.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::identifiers::BrokerName;
use crate::routing::subset::BrokerEntry;

/// An entry of the broker list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownBroker {
    /// Name and placement of the broker.
    pub entry: BrokerEntry,
    /// Whether the broker holds a lease. A broker without one may be partitioned and still serve.
    pub live: bool,
}

/// Difference between two broker lists.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BrokerListDelta {
    /// Whether the delta replaces the whole list, as the first delta on a connection does.
    pub whole: bool,
    /// Brokers that were added, moved, or gained or lost their lease.
    pub joined: Vec<KnownBroker>,
    /// Brokers that were removed from the list.
    pub left: Vec<BrokerName>,
}

/// All brokers that may be serving, with or without a lease.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct BrokerList {
    brokers: BTreeMap<BrokerName, KnownBroker>,
}

impl BrokerList {
    /// Creates a list; of two entries with the same name the last one is kept.
    pub fn new(brokers: impl IntoIterator<Item = KnownBroker>) -> Self {
        let brokers = brokers.into_iter().map(|broker| (broker.entry.name.clone(), broker));
        Self { brokers: brokers.collect() }
    }

    /// Applies a delta; removals come before additions.
    pub fn apply(&mut self, delta: BrokerListDelta) {
        if delta.whole {
            self.brokers.clear();
        }
        for name in delta.left {
            self.brokers.remove(&name);
        }
        for broker in delta.joined {
            self.brokers.insert(broker.entry.name.clone(), broker);
        }
    }

    /// The delta from this list to `newer`, or `None` if they are equal.
    pub fn delta_to(&self, newer: &Self) -> Option<BrokerListDelta> {
        let changed =
            |(name, broker): &(&BrokerName, &KnownBroker)| self.brokers.get(name) != Some(broker);
        let joined: Vec<_> =
            newer.brokers.iter().filter(changed).map(|(_, broker)| broker.clone()).collect();
        let left: Vec<_> =
            self.brokers.keys().filter(|name| !newer.brokers.contains_key(name)).cloned().collect();
        let changes = !joined.is_empty() || !left.is_empty();
        changes.then_some(BrokerListDelta { whole: false, joined, left })
    }

    /// The whole list as the first delta on a connection.
    pub fn whole(&self) -> BrokerListDelta {
        let joined = self.brokers.values().cloned().collect();
        BrokerListDelta { whole: true, joined, left: Vec::new() }
    }

    /// The brokers that hold a lease, sorted by name.
    pub fn live(&self) -> Arc<[BrokerEntry]> {
        let live = self.brokers.values().filter(|broker| broker.live);
        live.map(|broker| broker.entry.clone()).collect()
    }

    /// All brokers that may be serving, sorted by name.
    pub fn all(&self) -> Vec<KnownBroker> {
        self.brokers.values().cloned().collect()
    }
}
