//! The brokers that share the leaves, as deltas.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::identifiers::BrokerName;
use crate::routing::subset::BrokerEntry;

/// What changed among the brokers.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BrokerListDelta {
    /// Whether the list starts empty: the first delta on a connection.
    pub whole: bool,
    /// Brokers that came, or moved.
    pub joined: Vec<BrokerEntry>,
    /// Brokers that left.
    pub left: Vec<BrokerName>,
}

/// All brokers.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct BrokerList {
    brokers: BTreeMap<BrokerName, BrokerEntry>,
}

impl BrokerList {
    /// A list of these brokers.
    pub fn new(brokers: impl IntoIterator<Item = BrokerEntry>) -> Self {
        let brokers = brokers.into_iter().map(|broker| (broker.name.clone(), broker));
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
            self.brokers.insert(broker.name.clone(), broker);
        }
    }

    /// The delta that leads from this list to `newer`; none when they are equal.
    pub fn delta_to(&self, newer: &Self) -> Option<BrokerListDelta> {
        let changed =
            |(name, broker): &(&BrokerName, &BrokerEntry)| self.brokers.get(name) != Some(broker);
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

    /// All brokers by name.
    pub fn entries(&self) -> Arc<[BrokerEntry]> {
        self.brokers.values().cloned().collect()
    }
}
