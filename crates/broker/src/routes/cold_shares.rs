//! This broker's share of the request rate of each cold leaf.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

use gingerkeel_domain::directory::ListedLeaf;
use gingerkeel_domain::feed::KnownBroker;
use gingerkeel_domain::forwarding::{ColdShare, ColdStart, Distance};
use gingerkeel_domain::identifiers::{BrokerName, LeafIdentity};

/// Cache of the shares of cold leaves, invalidated by each change of brokers, leaves or rates:
/// computing a share visits all brokers.
pub struct ColdShareCache {
    /// The name of this broker.
    broker: BrokerName,
    /// The region of each zone.
    zone_regions: BTreeMap<String, String>,
    known: RefCell<BTreeMap<LeafIdentity, ColdShare>>,
}

impl ColdShareCache {
    /// Creates an empty cache. `zone_regions` maps zones to regions.
    pub fn new(broker: BrokerName, zone_regions: BTreeMap<String, String>) -> Self {
        Self { broker, zone_regions, known: RefCell::default() }
    }

    /// Drops all cached shares, after a change of brokers, leaves or rates.
    pub fn invalidate(&self) {
        self.known.borrow_mut().clear();
    }

    /// The share of a leaf with this cold start, `age` after the start of this process, among
    /// `brokers`.
    pub fn of(
        &self,
        start: ColdStart,
        leaf: &ListedLeaf,
        age: Duration,
        brokers: &[KnownBroker],
    ) -> ColdShare {
        if let Some(known) = self.known.borrow().get(&leaf.identity) {
            return *known;
        }
        let distance = |broker: &KnownBroker| self.distance(broker, leaf);
        let share = ColdShare::of(start, &leaf.identity, &self.broker, age, brokers, distance);
        // A broker that has just started has no share yet; that result must not be cached.
        if share != ColdShare::NOTHING || age >= ColdShare::LEAST_AGE {
            self.known.borrow_mut().insert(leaf.identity.clone(), share);
        }
        share
    }

    fn distance(&self, broker: &KnownBroker, leaf: &ListedLeaf) -> Distance {
        let placement = &broker.entry.placement;
        let region = self.zone_regions.get(leaf.zone.as_str()).map(String::as_str);
        if placement.zone == leaf.zone {
            Distance::Zone
        } else if region == Some(placement.region.as_str()) {
            Distance::Region
        } else {
            Distance::Far
        }
    }
}
