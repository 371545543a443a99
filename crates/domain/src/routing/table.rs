//! The replicas of each shard as one broker sees them: nearest first, and its own subset.

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
    /// The distance between two places.
    pub fn between(one: &Placement, other: &Placement) -> Self {
        if one.region != other.region {
            return Self::Elsewhere;
        }
        if one.zone == other.zone { Self::Zone } else { Self::Region }
    }
}

/// The replicas of one shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShardRoute {
    /// The shard.
    pub shard: ShardId,
    /// Replicas that this broker prefers, in tiers from near to far; no tier is empty.
    pub tiers: Vec<Vec<LeafId>>,
    /// Replicas that are asked only when none of the tiers takes work.
    pub spare: Vec<LeafId>,
}

impl ShardRoute {
    /// All replicas in one tier, without regard to distance or subset.
    pub fn flat(shard: ShardId, replicas: &[&Leaf]) -> Self {
        let tier = replicas.iter().map(|leaf| leaf.id).collect();
        Self { shard, tiers: vec![tier], spare: Vec::new() }
    }

    /// All replicas, nearest first, then the spare ones.
    pub fn replicas(&self) -> impl Iterator<Item = LeafId> + '_ {
        self.tiers.iter().flatten().chain(&self.spare).copied()
    }
}

/// The routes of all shards of one partition map, by shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShardTable {
    /// Epoch of the partition map.
    pub epoch: PartitionEpoch,
    /// A route for each shard, by shard number.
    pub shards: Vec<ShardRoute>,
}
