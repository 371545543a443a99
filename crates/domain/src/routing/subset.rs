//! Subsetting: which replicas of each shard one broker connects to.
//!
//! Deterministic aperture: the brokers and the replicas of a group are spaced evenly around a ring,
//! each ordered by hash, and a broker connects to the replicas whose arcs its own window overlaps.
//! Windows of equal width that tile the ring overlap each arc equally often, so the load is
//! balanced to within one broker per group. A change of 1 % in either list shifts the rest by a
//! fraction of an arc, so few connections move. Alternatives: `docs/design/subsetting.md`.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::catalog::{Leaf, Placement};
use crate::hash::hash;
use crate::identifiers::{BrokerName, LeafId, ShardId};
use crate::routing::table::{Distance, ShardRoute};

/// Subset size while leaves' connection limits allow it.
const PREFERRED_SUBSET: usize = 10;
/// Minimum subset size: a hedge needs a second replica.
const MINIMUM_SUBSET: usize = 2;
/// Fraction of a leaf's connection limit that subset sizes may use.
const CONNECTION_SHARE: f64 = 0.9;

/// Identity of a broker as known to other processes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BrokerEntry {
    /// Unique name within the cluster.
    pub name: BrokerName,
    /// Region and zone in which it runs.
    pub placement: Placement,
}

/// Computes the subsets of one broker among all brokers.
#[derive(Debug, Clone)]
pub struct Subsetting {
    own: BrokerEntry,
    brokers: Vec<BrokerEntry>,
    has_no_peers: bool,
}

/// Number of replicas to take at each distance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct SubsetQuota {
    zone: usize,
    region: usize,
    elsewhere: usize,
}

/// A broker's rank among the brokers that share a ring.
#[derive(Debug, Clone, Copy)]
struct Position {
    rank: usize,
    count: usize,
}

impl Subsetting {
    /// Creates the subsetting among `brokers`. While that list is empty, the broker knows only
    /// itself and uses every replica.
    pub fn new(own: BrokerEntry, brokers: &[BrokerEntry]) -> Self {
        let has_no_peers = brokers.is_empty();
        let mut brokers = brokers.to_vec();
        if !brokers.iter().any(|broker| broker.name == own.name) {
            brokers.push(own.clone());
        }
        brokers
            .sort_by_key(|broker| (hash(broker.name.as_str().as_bytes(), 0), broker.name.clone()));
        brokers.dedup_by(|one, other| one.name == other.name);
        Self { own, brokers, has_no_peers }
    }

    /// Whether every replica is used because no other broker is known.
    pub fn uses_all_replicas(&self) -> bool {
        self.has_no_peers
    }

    /// Computes the route of one shard: the subset as tiers, and the other replicas as spares.
    pub fn route(&self, shard: ShardId, replicas: Vec<&Leaf>) -> ShardRoute {
        let mut groups: [Vec<&Leaf>; 3] = Default::default();
        for leaf in &replicas {
            groups[Distance::between(&self.own.placement, &leaf.placement) as usize].push(leaf);
        }
        let sizes = [groups[0].len(), groups[1].len(), groups[2].len()];
        let quota = Self::quota(self.subset_size(&replicas), sizes);
        let mut tiers = Vec::new();
        let mut spare = Vec::new();
        for distance in [Distance::Zone, Distance::Region, Distance::Elsewhere] {
            let group = &groups[distance as usize];
            let wanted = quota.by_distance()[distance as usize];
            let (taken, left) = self.window(shard, group, wanted, distance);
            if !taken.is_empty() {
                tiers.push(taken);
            }
            spare.extend(left);
        }
        ShardRoute { shard, tiers, spare }
    }

    /// Upper bound on the number of brokers that connect to a replica of a shard, by the placement
    /// of the replica; empty if every replica is used.
    pub fn holders(&self, replicas: &[&Leaf]) -> BTreeMap<Placement, usize> {
        let mut holders = BTreeMap::new();
        if self.has_no_peers {
            return holders;
        }
        let groups = count_by_placement(replicas);
        for (viewpoint, brokers) in self.broker_counts() {
            let sizes = group_sizes(&groups, &viewpoint);
            let quota = Self::quota(self.subset_size(replicas), sizes);
            for placement in groups.keys() {
                let distance = Distance::between(&viewpoint, placement) as usize;
                let wanted = quota.by_distance()[distance];
                let share = (brokers * wanted).div_ceil(sizes[distance].max(1));
                *holders.entry(placement.clone()).or_default() += share;
            }
        }
        holders
    }

    fn broker_counts(&self) -> BTreeMap<Placement, usize> {
        let mut counts = BTreeMap::new();
        for broker in &self.brokers {
            *counts.entry(broker.placement.clone()).or_default() += 1;
        }
        counts
    }

    fn quota(size: usize, available: [usize; 3]) -> SubsetQuota {
        let elsewhere = (size / 8).min(available[2]);
        let region = (size / 4).min(available[1]);
        let zone = (size - elsewhere - region).min(available[0]);
        let region = (size - elsewhere - zone).min(available[1]);
        let elsewhere = (size - zone - region).min(available[2]);
        SubsetQuota { zone, region, elsewhere }
    }

    /// Size of the subset of a shard, such that its leaves stay within their connection limits.
    fn subset_size(&self, replicas: &[&Leaf]) -> usize {
        if self.has_no_peers || replicas.len() <= MINIMUM_SUBSET {
            return replicas.len();
        }
        let limit = replicas.iter().map(|leaf| leaf.connection_limit).min().unwrap_or(1);
        let room = CONNECTION_SHARE * f64::from(limit) * replicas.len() as f64;
        let affordable = (room / self.brokers.len() as f64) as usize;
        affordable.clamp(MINIMUM_SUBSET, PREFERRED_SUBSET).min(replicas.len())
    }

    /// Splits a group into the replicas that this broker's window overlaps and the rest.
    fn window(
        &self,
        shard: ShardId,
        group: &[&Leaf],
        wanted: usize,
        distance: Distance,
    ) -> (Vec<LeafId>, Vec<LeafId>) {
        let salt = u64::from(shard.0) + 1;
        let mut ring: Vec<(u64, LeafId)> =
            group.iter().map(|leaf| (hash(&leaf.id.0.to_be_bytes(), salt), leaf.id)).collect();
        ring.sort_unstable();
        let leaves: Vec<LeafId> = ring.into_iter().map(|(_, leaf)| leaf).collect();
        if wanted >= leaves.len() {
            return (leaves, Vec::new());
        }
        let position = self.position(distance);
        let start = ring_start(position, leaves.len());
        let mut taken = Vec::with_capacity(wanted);
        let mut spare = Vec::with_capacity(leaves.len() - wanted);
        for step in 0..leaves.len() {
            let leaf = leaves[(start + step) % leaves.len()];
            if step < wanted { taken.push(leaf) } else { spare.push(leaf) }
        }
        (taken, spare)
    }

    /// Rank of this broker among those that see the same group: the brokers of its zone for
    /// replicas in its region, and the brokers of its region for replicas elsewhere.
    fn position(&self, distance: Distance) -> Position {
        let shares_ring = |broker: &&BrokerEntry| match distance {
            Distance::Zone | Distance::Region => broker.placement == self.own.placement,
            Distance::Elsewhere => broker.placement.region == self.own.placement.region,
        };
        let peers = self.brokers.iter().filter(shares_ring);
        let rank = peers.clone().position(|broker| broker.name == self.own.name).unwrap_or(0);
        Position { rank, count: peers.count().max(1) }
    }
}

impl SubsetQuota {
    fn by_distance(self) -> [usize; 3] {
        [self.zone, self.region, self.elsewhere]
    }
}

/// Number of replicas at each placement.
fn count_by_placement(replicas: &[&Leaf]) -> BTreeMap<Placement, usize> {
    let mut counts = BTreeMap::new();
    for leaf in replicas {
        *counts.entry(leaf.placement.clone()).or_default() += 1;
    }
    counts
}

/// Number of replicas at each distance from a placement.
fn group_sizes(groups: &BTreeMap<Placement, usize>, viewpoint: &Placement) -> [usize; 3] {
    let mut sizes = [0; 3];
    for (placement, count) in groups {
        sizes[Distance::between(viewpoint, placement) as usize] += count;
    }
    sizes
}

/// Index of the first replica in a broker's window.
fn ring_start(position: Position, leaves: usize) -> usize {
    (position.rank * leaves / position.count) % leaves
}
