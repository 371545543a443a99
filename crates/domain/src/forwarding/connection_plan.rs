//! Which connections to the leaves of one service a broker opens, and which it keeps ready.
//!
//! A leaf accepts so many connections from all brokers together. It is *primary* for the brokers that
//! have no nearer leaf of the service, and *standby* for those that turn to it first when theirs is
//! late. Every broker that knows the same brokers and leaves comes to shares that add up to no more
//! than the leaf accepts, without a word between them: one connection for each standby broker, and
//! what is left for the primary ones alike. A broker that has other leaves to ask first may open one
//! to any leaf; such connections come and go, and are bounded by what the leaf is observed to accept.

use std::collections::BTreeMap;

use crate::hash::hash;
use crate::identifiers::{BrokerName, LeafIdentity, ServiceName, ZoneName};

/// Salt of the hash that orders the brokers of a zone, so that each service has another order.
const ORDER_SALT: u64 = 0x706c_616e;
/// Connections to a leaf that is not a nearest one.
const ON_DEMAND: usize = 1;
/// Connections of a primary broker from which on the others' are set aside as well: requests of one
/// broker that overlap need a second one more often than others need any.
const LEAST_BESIDE_OTHERS: usize = 2;

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

    fn total(&self) -> usize {
        self.zones.values().map(Vec::len).sum()
    }

    /// Place of a broker among those of its zone, in the order of a service.
    fn rank(&self, zone: &ZoneName, own: &BrokerName, service: &ServiceName) -> usize {
        let key = |name: &BrokerName| {
            let text = format!("{}/{}", service.as_str(), name.as_str());
            (hash(text.as_bytes(), ORDER_SALT), name.as_str().to_owned())
        };
        let own_key = key(own);
        let others = self.zones.get(zone).into_iter().flatten();
        others.filter(|name| key(name) < own_key).count()
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

/// What one broker opens to the leaves of one service.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ConnectionPlan {
    shares: BTreeMap<LeafIdentity, usize>,
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
        let users = Users::new(leaves, census, regions);
        let rank = census.rank(broker.zone, broker.name, service);
        let own = choices(broker.zone, leaves, regions);
        let standby = own.standby_of(rank);
        let share = |leaf: usize| {
            if own.primary.contains(&leaf) {
                users.primary_share(leaf, accepted)
            } else {
                ON_DEMAND
            }
        };
        let shares = (0..leaves.len()).map(|leaf| (leaves[leaf].0.clone(), share(leaf))).collect();
        let first = (own.primary.len() == 1).then(|| own.primary.first().copied()).flatten();
        let ready = first.into_iter().chain(standby);
        let ready = ready.filter(|leaf| users.have_room(*leaf, accepted));
        Self { ready: ready.map(|leaf| leaves[leaf].0.clone()).collect(), shares }
    }

    /// How many connections to a leaf may be open.
    pub fn share(&self, leaf: &LeafIdentity) -> usize {
        self.shares.get(leaf).copied().unwrap_or(ON_DEMAND)
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
    fn standby_of(&self, rank: usize) -> Option<usize> {
        // With several nearest leaves, one of them is the one to turn to.
        if self.primary.len() > 1 || self.next.is_empty() {
            return None;
        }
        Some(self.next[rank % self.next.len()])
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

/// What the brokers of a zone choose.
fn choices(
    zone: &ZoneName,
    leaves: &[(LeafIdentity, ZoneName)],
    regions: &BTreeMap<String, String>,
) -> Choices {
    let distances: Vec<u8> = leaves.iter().map(|(_, leaf)| distance(zone, leaf, regions)).collect();
    let at = |distance: Option<u8>| -> Vec<usize> {
        let matching = |index: &usize| Some(distances[*index]) == distance;
        (0..distances.len()).filter(matching).collect()
    };
    let nearest = distances.iter().min().copied();
    let next = distances.iter().filter(|distance| Some(**distance) > nearest).min().copied();
    match at(nearest) {
        // No leaf is nearer than the others: the zone's brokers are spread over all of them.
        all if next.is_none() => Choices { primary: all, next: Vec::new() },
        primary => Choices { primary, next: at(next) },
    }
}

/// 0 in the same zone, 1 in the same region, 2 elsewhere.
fn distance(from: &ZoneName, to: &ZoneName, regions: &BTreeMap<String, String>) -> u8 {
    let region = |zone: &ZoneName| regions.get(zone.as_str());
    match from == to {
        true => 0,
        false if region(from).is_some() && region(from) == region(to) => 1,
        false => 2,
    }
}

/// How many brokers use the leaves of one service, by the index of the leaf.
struct Users {
    primary: Vec<usize>,
    standby: Vec<usize>,
    /// All brokers.
    total: usize,
}

impl Users {
    fn new(
        leaves: &[(LeafIdentity, ZoneName)],
        census: &BrokerCensus,
        regions: &BTreeMap<String, String>,
    ) -> Self {
        let nobody = vec![0; leaves.len()];
        let mut users = Self { primary: nobody.clone(), standby: nobody, total: census.total() };
        for (zone, brokers) in &census.zones {
            let choices = choices(zone, leaves, regions);
            for leaf in &choices.primary {
                users.primary[*leaf] += brokers.len();
            }
            for leaf in &choices.next {
                users.standby[*leaf] += choices.standby_brokers(*leaf, brokers.len());
            }
        }
        users
    }

    fn primary_share(&self, leaf: usize, accepted: usize) -> usize {
        if self.total == 0 {
            return accepted;
        }
        let (primary, standby) = (self.primary[leaf].max(1), self.standby[leaf]);
        let others = self.total.saturating_sub(primary + standby);
        let left = accepted.saturating_sub(standby);
        let beside_others = left.saturating_sub(others * ON_DEMAND) / primary;
        if beside_others >= LEAST_BESIDE_OTHERS { beside_others } else { (left / primary).max(1) }
    }

    /// Whether a leaf accepts one connection of each broker that has it as the nearest or as the one
    /// to turn to. Where it does not, an idle connection would keep out somebody's request.
    fn have_room(&self, leaf: usize, accepted: usize) -> bool {
        self.primary[leaf] + self.standby[leaf] <= accepted
    }
}
