//! Routing tables: the replicas of each shard, ordered by distance from one broker.

use crate::catalog::{Leaf, Placement};
use crate::identifiers::{LeafId, PartitionEpoch, ShardId};

/// How far a leaf is from this broker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// In the same zone.
    Zone,
    /// In another zone of the same region.
    Region,
    /// In another region.
    Elsewhere,
}

impl Distance {
    /// The distance between two placements.
    pub fn between(one: &Placement, other: &Placement) -> Self {
        if one.region != other.region {
            return Self::Elsewhere;
        }
        if one.zone == other.zone { Self::Zone } else { Self::Region }
    }
}

/// The replicas of one shard in order of preference.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShardRoute {
    /// Shard number within the partition map.
    pub shard: ShardId,
    /// The broker's subset, in tiers from near to far; no tier is empty.
    pub tiers: Vec<Vec<LeafId>>,
    /// Replicas outside the subset, used only if no replica of the tiers takes new work.
    pub spare: Vec<LeafId>,
}

impl ShardRoute {
    /// A route with all replicas in one tier, regardless of distance and subset.
    pub fn flat(shard: ShardId, replicas: &[&Leaf]) -> Self {
        let tier = replicas.iter().map(|leaf| leaf.id).collect();
        Self { shard, tiers: vec![tier], spare: Vec::new() }
    }

    /// All replicas: the tiers from near to far, then the spares.
    pub fn replicas(&self) -> impl Iterator<Item = LeafId> + '_ {
        self.tiers.iter().flatten().chain(&self.spare).copied()
    }
}

/// The routes of all shards of one partition map.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShardTable {
    /// Epoch of the partition map that the routes were computed from.
    pub epoch: PartitionEpoch,
    /// One route for each shard, sorted by shard number.
    pub shards: Vec<ShardRoute>,
}
