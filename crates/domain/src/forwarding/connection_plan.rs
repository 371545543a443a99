//! Plans which connections to the leaves of one service a broker keeps open in advance.
//!
//! A leaf accepts a limited number of connections from all brokers together. It is *primary* for
//! the brokers that have no nearer leaf of the service, and *standby* for those that fall back to
//! it first when theirs is late. All brokers that know the same brokers and leaves compute plans
//! that add up to no more than the leaf accepts, without coordination.

use std::collections::BTreeMap;

use super::replica::Distance;
use crate::hash::hash;
use crate::identifiers::{BrokerName, LeafIdentity, ServiceName, ZoneName};

/// Salt of the hash of a service by which standbys are rotated.
const ROTATION_SALT: u64 = 0x706c_616e;

/// Live brokers by zone.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct BrokerCensus {
    zones: BTreeMap<ZoneName, Vec<BrokerName>>,
}

impl BrokerCensus {
    /// Builds the census from brokers with their zones.
    pub fn new(brokers: impl IntoIterator<Item = (ZoneName, BrokerName)>) -> Self {
        let mut zones: BTreeMap<ZoneName, Vec<BrokerName>> = BTreeMap::new();
        for (zone, name) in brokers {
            zones.entry(zone).or_default().push(name);
        }
        Self { zones }
    }

    /// Number of brokers in a zone.
    pub fn in_zone(&self, zone: &ZoneName) -> usize {
        self.zones.get(zone).map_or(0, Vec::len)
    }

    /// Number of brokers in all zones.
    pub fn total(&self) -> usize {
        self.zones.values().map(Vec::len).sum()
    }

    /// Position of a broker among those of its zone.
    fn place(&self, zone: &ZoneName, own: &BrokerName) -> usize {
        let brokers = self.zones.get(zone).into_iter().flatten();
        brokers.take_while(|name| *name != own).count()
    }
}

/// The broker for which a plan is made.
#[derive(Debug, Clone, Copy)]
pub struct PlanningBroker<'broker> {
    /// Name of the broker.
    pub name: &'broker BrokerName,
    /// Zone of the broker.
    pub zone: &'broker ZoneName,
}

/// Leaves of one service to which one broker keeps connections open.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ConnectionPlan {
    ready: Vec<LeafIdentity>,
}

impl ConnectionPlan {
    /// Plans for leaves given with their zones, each of which accepts `accepted` connections.
    /// `regions` maps a zone to its region.
    pub fn new(
        service: &ServiceName,
        leaves: &[(LeafIdentity, ZoneName)],
        accepted: usize,
        broker: PlanningBroker<'_>,
        census: &BrokerCensus,
        regions: &BTreeMap<String, String>,
    ) -> Self {
        let layout =
            Layout { leaves, regions, rotation: hash(service.as_str().as_bytes(), ROTATION_SALT) };
        let users = Users::new(&layout, census);
        let own = layout.choices(broker.zone);
        let standby = own.standby_of(census.place(broker.zone, broker.name));
        let first = (own.primary.len() == 1).then(|| own.primary.first().copied()).flatten();
        let ready = first.into_iter().chain(standby);
        let ready = ready.filter(|leaf| users.has_room(*leaf, accepted));
        Self { ready: ready.map(|leaf| leaves[leaf].0.clone()).collect() }
    }

    /// Leaves to which a connection is kept open: the primary one, if it is the only nearest one,
    /// and its standby.
    pub fn ready(&self) -> &[LeafIdentity] {
        &self.ready
    }
}

/// Leaves that the brokers of a zone use, by index.
#[derive(Debug, Default)]
struct Choices {
    primary: Vec<usize>,
    /// Standby candidates at the next distance, over which the brokers of the zone are spread.
    next: Vec<usize>,
}

impl Choices {
    fn standby_of(&self, place: usize) -> Option<usize> {
        // Several nearest leaves serve as standbys for each other.
        if self.primary.len() > 1 || self.next.is_empty() {
            return None;
        }
        Some(self.next[place % self.next.len()])
    }

    /// Number of `brokers` of the zone whose standby is the given leaf.
    fn standby_brokers(&self, leaf: usize, brokers: usize) -> usize {
        let place = self.next.iter().position(|next| *next == leaf);
        match place.filter(|_| self.primary.len() == 1) {
            Some(place) => (brokers + self.next.len() - 1 - place) / self.next.len(),
            None => 0,
        }
    }
}

/// The leaves of one service and their locations.
struct Layout<'plan> {
    leaves: &'plan [(LeafIdentity, ZoneName)],
    regions: &'plan BTreeMap<String, String>,
    /// Rotation of the standby candidates, so that a broker has different standbys for different
    /// services.
    rotation: u64,
}

impl Layout<'_> {
    /// Computes the primary and standby leaves of a zone.
    fn choices(&self, zone: &ZoneName) -> Choices {
        let between = |leaf: &ZoneName| Distance::between(zone, leaf, self.regions);
        let distances: Vec<Distance> = self.leaves.iter().map(|(_, leaf)| between(leaf)).collect();
        let at = |distance: Option<Distance>| -> Vec<usize> {
            let matching = |index: &usize| Some(distances[*index]) == distance;
            (0..distances.len()).filter(matching).collect()
        };
        let nearest = distances.iter().min().copied();
        let next = distances.iter().filter(|distance| Some(**distance) > nearest).min().copied();
        let primary = at(nearest);
        // If all leaves are at the same distance, all are primary and there is no standby.
        let mut next = if next.is_none() { Vec::new() } else { at(next) };
        let turn = self.rotation as usize % next.len().max(1);
        next.rotate_left(turn);
        Choices { primary, next }
    }
}

/// Number of brokers that use each leaf of one service, by index of the leaf.
struct Users {
    primary: Vec<usize>,
    standby: Vec<usize>,
}

impl Users {
    fn new(layout: &Layout<'_>, census: &BrokerCensus) -> Self {
        let none = vec![0; layout.leaves.len()];
        let mut users = Self { primary: none.clone(), standby: none };
        for (zone, brokers) in &census.zones {
            let choices = layout.choices(zone);
            for leaf in &choices.primary {
                users.primary[*leaf] += brokers.len();
            }
            for leaf in &choices.next {
                users.standby[*leaf] += choices.standby_brokers(*leaf, brokers.len());
            }
        }
        users
    }

    /// Whether a leaf accepts one connection from each broker that has it as primary or standby.
    /// Otherwise an idle connection would block the request of another broker.
    fn has_room(&self, leaf: usize, accepted: usize) -> bool {
        self.primary[leaf] + self.standby[leaf] <= accepted
    }
}
