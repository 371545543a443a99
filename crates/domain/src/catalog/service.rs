//! A service: its classes, its partition maps and its published snapshot.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{CatalogError, NO_VERSION};
use crate::identifiers::{ClassName, IndexVersion, LeafId, PartitionEpoch, ShardId, Snapshot};

/// Published snapshots that are kept, so that queries in flight can go on and brokers can fall
/// back while leaves load the newest.
const RETAINED_SNAPSHOTS: usize = 3;

/// When a query of a class is answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AnswerPolicy {
    /// Waits for every shard until the deadline.
    Full,
    /// Answers with what there is once `soft_deadline` has passed since arrival.
    Partial {
        /// Time from arrival until a partial answer is given.
        soft_deadline: Duration,
    },
}

/// How a service treats one class of requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClassPolicy {
    /// Name of the class.
    pub name: ClassName,
    /// Rank of the class; 0 is served first.
    pub priority: u8,
    /// Queries of this class that may wait in one broker.
    pub queue_limit: u32,
    /// Charge for one answered request, in the operators' unit.
    pub price: u64,
    /// When a query is answered.
    pub answer_policy: AnswerPolicy,
    /// Deadline of a request that names none.
    pub default_deadline: Duration,
}

/// A caller's account.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerAccount {
    /// What the caller may spend per second at one broker, in the unit of prices.
    pub budget_per_second: u64,
    /// What an idle caller may save up and spend at once.
    pub burst: u64,
}

/// Which leaves hold which shard, at one epoch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartitionMap {
    /// Epoch of this map.
    pub epoch: PartitionEpoch,
    /// Replicas of each shard.
    pub shards: BTreeMap<ShardId, Arc<Vec<LeafId>>>,
}

impl PartitionMap {
    /// A map of `shards` shards without replicas.
    pub fn empty(epoch: PartitionEpoch, shards: u32) -> Self {
        let shards = (0..shards).map(|number| (ShardId(number), Arc::default())).collect();
        Self { epoch, shards }
    }

    fn names_leaf(&self, leaf: LeafId) -> bool {
        self.shards.values().any(|leaves| leaves.contains(&leaf))
    }

    /// Shards that no leaf holds.
    pub fn unassigned(&self) -> impl Iterator<Item = ShardId> + '_ {
        self.shards.iter().filter(|(_, leaves)| leaves.is_empty()).map(|(shard, _)| *shard)
    }
}

/// One service as configured.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Queries that one broker runs at the same time.
    pub concurrency: u32,
    classes: Vec<ClassPolicy>,
    partitions: Vec<Arc<PartitionMap>>,
    published: Vec<Snapshot>,
}

impl Service {
    /// A service without classes, shards or a published version.
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

    /// The snapshot that new queries read, if one is published.
    pub fn published(&self) -> Option<Snapshot> {
        self.published.first().copied()
    }

    /// Published snapshots that are retained, newest first.
    pub fn published_snapshots(&self) -> &[Snapshot] {
        &self.published
    }

    /// The partition map of an epoch, while it is retained.
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
        let rival = self
            .classes
            .iter()
            .find(|class| class.priority == policy.priority && class.name != policy.name);
        if let Some(rival) = rival {
            return Err(CatalogError::PriorityTaken(policy.priority, rival.name.clone()));
        }
        self.classes.retain(|class| class.name != policy.name);
        self.classes.push(policy);
        self.classes.sort_by_key(|class| class.priority);
        Ok(())
    }

    /// Whether there was such a class.
    pub(super) fn remove_class(&mut self, name: &ClassName) -> bool {
        let before = self.classes.len();
        self.classes.retain(|class| &class.name != name);
        self.classes.len() < before
    }

    /// Whether there is such a class.
    pub(super) fn set_price(&mut self, name: &ClassName, price: u64) -> bool {
        let class = self.classes.iter_mut().find(|class| &class.name == name);
        class.map(|class| class.price = price).is_some()
    }

    pub(super) fn assign_shard(&mut self, shard: ShardId, leaves: &[LeafId]) {
        self.newest_mut().shards.insert(shard, Arc::new(leaves.to_vec()));
    }

    pub(super) fn add_partition(&mut self, map: PartitionMap) {
        self.partitions.push(Arc::new(map));
        self.forget_unused_partitions();
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
        self.forget_unused_partitions();
        Ok(())
    }

    /// Whether some retained map names the leaf.
    pub(super) fn names_leaf(&self, leaf: LeafId) -> bool {
        self.partitions.iter().any(|map| map.names_leaf(leaf))
    }

    pub(super) fn forget_leaf(&mut self, leaf: LeafId) {
        for map in self.partitions.iter_mut().filter(|map| map.names_leaf(leaf)) {
            let shards = Arc::make_mut(map).shards.values_mut();
            for leaves in shards.filter(|leaves| leaves.contains(&leaf)) {
                Arc::make_mut(leaves).retain(|candidate| *candidate != leaf);
            }
        }
    }

    /// Keeps the newest map and those that a retained snapshot names.
    fn forget_unused_partitions(&mut self) {
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
