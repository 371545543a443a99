//! A service: its classes, partition maps and published snapshots.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{CatalogError, NO_VERSION};
use crate::identifiers::{ClassName, IndexVersion, LeafId, PartitionEpoch, ShardId, Snapshot};

/// Number of published snapshots that are retained, so that queries in flight can finish and
/// brokers can fall back while leaves load the newest one.
const RETAINED_SNAPSHOTS: usize = 3;

/// When a query of a class gets its reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AnswerPolicy {
    /// Wait for all shards until the deadline.
    Full,
    /// Reply with the available shards once `soft_deadline` has passed since arrival.
    Partial {
        /// Time from arrival to a partial reply.
        soft_deadline: Duration,
    },
}

/// How a service treats one class of requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClassPolicy {
    /// Name of the class, unique within the service.
    pub name: ClassName,
    /// Priority of the class, unique within the service; 0 is the highest.
    pub priority: u8,
    /// Maximum number of queries of this class in one broker's queue.
    pub queue_limit: u32,
    /// Charge for one answered request, in the operator's unit.
    pub price: u64,
    /// Whether a query may get a partial reply.
    pub answer_policy: AnswerPolicy,
    /// Deadline of requests that state none.
    pub default_deadline: Duration,
}

/// Budget of a caller, as a token bucket.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerAccount {
    /// Refill rate per second at one broker, in the unit of prices.
    pub budget_per_second: u64,
    /// Capacity of the bucket: what an idle caller can accumulate and spend at once.
    pub burst: u64,
}

/// Assignment of shards to leaves at one epoch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartitionMap {
    /// Epoch of the map, incremented by each repartition.
    pub epoch: PartitionEpoch,
    /// Replicas of each shard.
    pub shards: BTreeMap<ShardId, Arc<Vec<LeafId>>>,
}

impl PartitionMap {
    /// Creates a map of `shards` shards without replicas.
    pub fn empty(epoch: PartitionEpoch, shards: u32) -> Self {
        let shards = (0..shards).map(|number| (ShardId(number), Arc::default())).collect();
        Self { epoch, shards }
    }

    fn lists_leaf(&self, leaf: LeafId) -> bool {
        self.shards.values().any(|leaves| leaves.contains(&leaf))
    }

    /// Shards without replicas.
    pub fn unassigned(&self) -> impl Iterator<Item = ShardId> + '_ {
        self.shards.iter().filter(|(_, leaves)| leaves.is_empty()).map(|(shard, _)| *shard)
    }
}

/// One service as configured.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Maximum number of queries that one broker runs concurrently.
    pub concurrency: u32,
    classes: Vec<ClassPolicy>,
    partitions: Vec<Arc<PartitionMap>>,
    published: Vec<Snapshot>,
}

impl Service {
    /// Creates a service without classes, shards or published versions.
    pub fn new(concurrency: u32) -> Self {
        Self {
            concurrency,
            classes: Vec::new(),
            partitions: vec![PartitionMap::empty(PartitionEpoch(0), 0).into()],
            published: Vec::new(),
        }
    }

    /// Classes, highest priority first.
    pub fn classes(&self) -> &[ClassPolicy] {
        &self.classes
    }

    /// The class of this name.
    pub fn class(&self, name: &ClassName) -> Option<&ClassPolicy> {
        self.classes.iter().find(|class| &class.name == name)
    }

    /// The snapshot that new queries read, or `None` before the first publication.
    pub fn published(&self) -> Option<Snapshot> {
        self.published.first().copied()
    }

    /// The retained published snapshots, newest first.
    pub fn published_snapshots(&self) -> &[Snapshot] {
        &self.published
    }

    /// The partition map of an epoch, if it is retained.
    pub fn partition(&self, epoch: PartitionEpoch) -> Option<&Arc<PartitionMap>> {
        self.partitions.iter().find(|map| map.epoch == epoch)
    }

    /// All retained partition maps, oldest first.
    pub fn partitions(&self) -> &[Arc<PartitionMap>] {
        &self.partitions
    }

    /// Epoch of the newest map, which `ASSIGN SHARD` changes and the next `PUBLISH` uses.
    pub fn newest_epoch(&self) -> PartitionEpoch {
        self.newest().epoch
    }

    pub(super) fn define_class(&mut self, policy: ClassPolicy) -> Result<(), CatalogError> {
        let conflicting = self
            .classes
            .iter()
            .find(|class| class.priority == policy.priority && class.name != policy.name);
        if let Some(conflicting) = conflicting {
            return Err(CatalogError::PriorityTaken(policy.priority, conflicting.name.clone()));
        }
        self.classes.retain(|class| class.name != policy.name);
        self.classes.push(policy);
        self.classes.sort_by_key(|class| class.priority);
        Ok(())
    }

    /// Returns whether the class existed.
    pub(super) fn remove_class(&mut self, name: &ClassName) -> bool {
        let before = self.classes.len();
        self.classes.retain(|class| &class.name != name);
        self.classes.len() < before
    }

    /// Returns whether the class exists.
    pub(super) fn set_price(&mut self, name: &ClassName, price: u64) -> bool {
        let class = self.classes.iter_mut().find(|class| &class.name == name);
        class.map(|class| class.price = price).is_some()
    }

    pub(super) fn assign_shard(&mut self, shard: ShardId, leaves: &[LeafId]) {
        self.newest_mut().shards.insert(shard, Arc::new(leaves.to_vec()));
    }

    pub(super) fn add_partition(&mut self, map: PartitionMap) {
        self.partitions.push(Arc::new(map));
        self.drop_unused_partitions();
    }

    pub(super) fn publish(&mut self, version: IndexVersion) -> Result<(), CatalogError> {
        let newest = self.published().map_or(NO_VERSION, |snapshot| snapshot.version);
        if version <= newest {
            return Err(CatalogError::VersionNotNewer(version, newest));
        }
        let unassigned: Vec<String> =
            self.newest().unassigned().map(|shard| shard.to_string()).collect();
        if self.newest().shards.is_empty() || !unassigned.is_empty() {
            return Err(CatalogError::ShardsUnassigned(unassigned.join(", ")));
        }
        self.published.insert(0, Snapshot { epoch: self.newest_epoch(), version });
        self.published.truncate(RETAINED_SNAPSHOTS);
        self.drop_unused_partitions();
        Ok(())
    }

    /// Whether any retained map lists the leaf.
    pub(super) fn lists_leaf(&self, leaf: LeafId) -> bool {
        self.partitions.iter().any(|map| map.lists_leaf(leaf))
    }

    pub(super) fn remove_leaf(&mut self, leaf: LeafId) {
        for map in self.partitions.iter_mut().filter(|map| map.lists_leaf(leaf)) {
            let shards = Arc::make_mut(map).shards.values_mut();
            for leaves in shards.filter(|leaves| leaves.contains(&leaf)) {
                Arc::make_mut(leaves).retain(|candidate| *candidate != leaf);
            }
        }
    }

    /// Drops all maps but the newest one and those of retained snapshots.
    fn drop_unused_partitions(&mut self) {
        let newest = self.newest_epoch();
        let published = &self.published;
        self.partitions.retain(|map| {
            map.epoch == newest || published.iter().any(|snapshot| snapshot.epoch == map.epoch)
        });
    }

    fn newest(&self) -> &PartitionMap {
        self.partitions.last().expect("a service has at least one partition map")
    }

    fn newest_mut(&mut self) -> &mut PartitionMap {
        let newest = self.partitions.last_mut();
        Arc::make_mut(newest.expect("a service has at least one partition map"))
    }
}
