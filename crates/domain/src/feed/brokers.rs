//! The brokers that share the leaves, as deltas.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::identifiers::BrokerName;
use crate::routing::subset::BrokerEntry;

/// A broker of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownBroker {
    /// Its name and place.
    pub entry: BrokerEntry,
    /// Whether it holds a lease. One that does not may be cut off, and still serve.
    pub live: bool,
}

/// What changed among the brokers.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BrokerListDelta {
    /// Whether the list starts empty: the first delta on a connection.
    pub whole: bool,
    /// Brokers that came, moved, or gained or lost their lease.
    pub joined: Vec<KnownBroker>,
    /// Brokers that are forgotten.
    pub left: Vec<BrokerName>,
}

/// All brokers that may be serving.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct BrokerList {
    brokers: BTreeMap<BrokerName, KnownBroker>,
}

impl BrokerList {
    /// A list of these brokers.
    pub fn new(brokers: impl IntoIterator<Item = KnownBroker>) -> Self {
        let brokers = brokers.into_iter().map(|broker| (broker.entry.name.clone(), broker));
        Self { brokers: brokers.collect() }
    }

    /// Applies a delta.
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

    /// The delta that leads from this list to `newer`; none when they are equal.
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

    /// The whole list as a first delta.
    pub fn whole(&self) -> BrokerListDelta {
        let joined = self.brokers.values().cloned().collect();
        BrokerListDelta { whole: true, joined, left: Vec::new() }
    }

    /// The brokers that hold a lease, by name.
    pub fn live(&self) -> Arc<[BrokerEntry]> {
        let live = self.brokers.values().filter(|broker| broker.live);
        live.map(|broker| broker.entry.clone()).collect()
    }

    /// All brokers that may be serving, by name.
    pub fn all(&self) -> Vec<KnownBroker> {
        self.brokers.values().cloned().collect()
    }
}
