//! Which connections to the leaves of one service a broker keeps ready.
//!
//! A leaf accepts so many connections from all brokers together. It is *primary* for the brokers that
//! have no nearer leaf of the service, and *standby* for those that turn to it first when theirs is
//! late. Every broker that knows the same brokers and leaves comes to connections that add up to no
//! more than the leaf accepts, without a word between them.

use std::collections::BTreeMap;

use super::replica::Distance;
use crate::hash::hash;
use crate::identifiers::{BrokerName, LeafIdentity, ServiceName, ZoneName};

/// Salt of the hash of a service by which standbys are turned round.
const TURN_SALT: u64 = 0x706c_616e;

/// The live brokers by zone.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct BrokerCensus {
    zones: BTreeMap<ZoneName, Vec<BrokerName>>,
}

impl BrokerCensus {
    /// Counts brokers, given with their zones.
    pub fn new(brokers: impl IntoIterator<Item = (ZoneName, BrokerName)>) -> Self {
        let mut zones: BTreeMap<ZoneName, Vec<BrokerName>> = BTreeMap::new();
        for (zone, name) in brokers {
            zones.entry(zone).or_default().push(name);
        }
        Self { zones }
    }

    /// How many there are in a zone.
    pub fn in_zone(&self, zone: &ZoneName) -> usize {
        self.zones.get(zone).map_or(0, Vec::len)
    }

    /// How many there are.
    pub fn total(&self) -> usize {
        self.zones.values().map(Vec::len).sum()
    }

    /// Place of a broker among those of its zone.
    fn place(&self, zone: &ZoneName, own: &BrokerName) -> usize {
        let brokers = self.zones.get(zone).into_iter().flatten();
        brokers.take_while(|name| *name != own).count()
    }
}

/// A broker, for which a plan is made.
#[derive(Debug, Clone, Copy)]
pub struct PlanningBroker<'broker> {
    /// Its name.
    pub name: &'broker BrokerName,
    /// Its zone.
    pub zone: &'broker ZoneName,
}

/// What one broker keeps ready of the leaves of one service.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ConnectionPlan {
    ready: Vec<LeafIdentity>,
}

impl ConnectionPlan {
    /// The plan of a broker for leaves, given with their zones, each of which accepts `accepted`
    /// connections. `regions` gives the region of each zone.
    pub fn new(
        service: &ServiceName,
        leaves: &[(LeafIdentity, ZoneName)],
        accepted: usize,
        broker: PlanningBroker<'_>,
        census: &BrokerCensus,
        regions: &BTreeMap<String, String>,
    ) -> Self {
        let layout = Layout { leaves, regions, turn: hash(service.as_str().as_bytes(), TURN_SALT) };
        let users = Users::new(&layout, census);
        let own = layout.choices(broker.zone);
        let standby = own.standby_of(census.place(broker.zone, broker.name));
        let first = (own.primary.len() == 1).then(|| own.primary.first().copied()).flatten();
        let ready = first.into_iter().chain(standby);
        let ready = ready.filter(|leaf| users.have_room(*leaf, accepted));
        Self { ready: ready.map(|leaf| leaves[leaf].0.clone()).collect() }
    }

    /// Leaves to which a connection is kept ready: the only nearest one, and the one to turn to
    /// when that is late.
    pub fn ready(&self) -> &[LeafIdentity] {
        &self.ready
    }
}

/// Which leaves the brokers of a zone use, by index.
#[derive(Debug, Default)]
struct Choices {
    primary: Vec<usize>,
    /// The next nearest, over which the brokers of the zone are spread.
    next: Vec<usize>,
}

impl Choices {
    fn standby_of(&self, place: usize) -> Option<usize> {
        // With several nearest leaves, one of them is the one to turn to.
        if self.primary.len() > 1 || self.next.is_empty() {
            return None;
        }
        Some(self.next[place % self.next.len()])
    }

    /// How many of `brokers` of the zone have a leaf as their standby.
    fn standby_brokers(&self, leaf: usize, brokers: usize) -> usize {
        let place = self.next.iter().position(|next| *next == leaf);
        match place.filter(|_| self.primary.len() == 1) {
            Some(place) => (brokers + self.next.len() - 1 - place) / self.next.len(),
            None => 0,
        }
    }
}

/// The leaves of one service and where they are.
struct Layout<'plan> {
    leaves: &'plan [(LeafIdentity, ZoneName)],
    regions: &'plan BTreeMap<String, String>,
    /// Turns the next nearest leaves round, so that a broker has other standbys for other services.
    turn: u64,
}

impl Layout<'_> {
    /// What the brokers of a zone choose.
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
        // No leaf is nearer than the others: the zone's brokers are spread over all of them.
        let mut next = if next.is_none() { Vec::new() } else { at(next) };
        let turn = self.turn as usize % next.len().max(1);
        next.rotate_left(turn);
        Choices { primary, next }
    }
}

/// How many brokers use the leaves of one service, by the index of the leaf.
struct Users {
    primary: Vec<usize>,
    standby: Vec<usize>,
}

impl Users {
    fn new(layout: &Layout<'_>, census: &BrokerCensus) -> Self {
        let nobody = vec![0; layout.leaves.len()];
        let mut users = Self { primary: nobody.clone(), standby: nobody };
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

    /// Whether a leaf accepts one connection of each broker that has it as the nearest or as the one
    /// to turn to. Where it does not, an idle connection would keep out somebody's request.
    fn have_room(&self, leaf: usize, accepted: usize) -> bool {
        self.primary[leaf] + self.standby[leaf] <= accepted
    }
}
