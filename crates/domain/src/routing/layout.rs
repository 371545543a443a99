//! The routes of all shards for one broker, brought up to date with what a change touches.
//!
//! A route depends on the replicas of its shard, on their places and connection limits, and on
//! the list of brokers. A shard whose replicas and their leaves are as before keeps its route.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::RoutingPolicy;
use super::subset::Subsetting;
use super::table::{ShardRoute, ShardTable};
use crate::catalog::{Catalog, Leaf, LeafMap, PartitionMap, Service};
use crate::identifiers::{LeafId, PartitionEpoch, ServiceName, ShardId};

/// Leaves that differ between two catalogs.
#[derive(Debug, Default)]
pub struct LeafChanges {
    /// Leaves that are new or differ in anything.
    pub changed: Vec<LeafId>,
    /// Leaves that are gone.
    pub removed: Vec<LeafId>,
    /// Leaves, of both lists, whose place or connection limit is another.
    pub moved: BTreeSet<LeafId>,
}

impl LeafChanges {
    /// Compares the leaves of two catalogs; those that they share are not looked into.
    pub fn between(former: &LeafMap, newer: &LeafMap) -> Self {
        let mut changes = Self::default();
        for id in newer.unshared_with(former) {
            changes.compare(id, former.get(&id), newer.get(&id));
        }
        changes
    }

    fn compare(&mut self, id: LeafId, known: Option<&Arc<Leaf>>, newer: Option<&Arc<Leaf>>) {
        match (known, newer) {
            (Some(known), Some(leaf)) if known == leaf => return,
            (Some(known), Some(leaf)) => {
                self.changed.push(id);
                if !lies_elsewhere(known, leaf) {
                    return;
                }
            }
            (None, Some(_)) => self.changed.push(id),
            (_, None) => self.removed.push(id),
        }
        self.moved.insert(id);
    }
}

fn lies_elsewhere(one: &Leaf, other: &Leaf) -> bool {
    one.placement != other.placement || one.connection_limit != other.connection_limit
}

/// How the shards of one partition map are laid out.
#[derive(Debug, Clone)]
struct MapLayout {
    map: Arc<PartitionMap>,
    table: Arc<ShardTable>,
}

/// Brokers that hold the leaves of one shard, at most.
#[derive(Debug)]
struct ShardHolders {
    replicas: Arc<Vec<LeafId>>,
    holders: Vec<(LeafId, usize)>,
}

/// Key of a shard among all services.
type ShardKey = (ServiceName, ShardId);

/// The layout of a catalog for one broker.
#[derive(Debug, Default)]
pub struct Layout {
    services: BTreeMap<ServiceName, Vec<MapLayout>>,
    held: BTreeSet<LeafId>,
    shard_holders: BTreeMap<ShardKey, ShardHolders>,
    holders: BTreeMap<LeafId, usize>,
}

impl Layout {
    /// The routes of a service's shards at an epoch.
    pub fn table(&self, service: &ServiceName, epoch: PartitionEpoch) -> Option<&Arc<ShardTable>> {
        let maps = self.services.get(service)?;
        maps.iter().map(|layout| &layout.table).find(|table| table.epoch == epoch)
    }

    /// The routes of all shards at all epochs.
    pub fn routes(&self) -> impl Iterator<Item = &ShardRoute> {
        self.services.values().flatten().flat_map(|layout| &layout.table.shards)
    }

    /// Leaves that some route prefers.
    pub fn held(&self) -> &BTreeSet<LeafId> {
        &self.held
    }

    /// Brokers that hold a leaf at most, over all its shards in the newest maps; none when no
    /// shard names it.
    pub fn holders(&self, leaf: LeafId) -> Option<usize> {
        self.holders.get(&leaf).copied()
    }

    /// Brings the layout to a catalog; gives the leaves whose number of holders may be another.
    pub fn update(
        &mut self,
        catalog: &Catalog,
        moved: &BTreeSet<LeafId>,
        subsetting: &Subsetting,
        policy: RoutingPolicy,
    ) -> BTreeSet<LeafId> {
        let work = Work { catalog, moved, subsetting, policy };
        let former = std::mem::take(&mut self.services);
        let mut tables_changed = former.keys().any(|name| !catalog.services().contains_key(name));
        for (name, service) in catalog.services() {
            let known = former.get(name).map(Vec::as_slice).unwrap_or_default();
            let maps = work.maps(service, known);
            let kept = known.iter().map(|map| &map.table).zip(maps.iter().map(|map| &map.table));
            tables_changed |= known.len() != maps.len()
                || kept.into_iter().any(|(one, other)| !Arc::ptr_eq(one, other));
            self.services.insert(name.clone(), maps);
        }
        if tables_changed {
            let preferred = self.routes().flat_map(|route| route.tiers.iter().flatten().copied());
            self.held = preferred.collect();
        }
        self.update_holders(&work)
    }

    fn update_holders(&mut self, work: &Work<'_>) -> BTreeSet<LeafId> {
        let mut touched = BTreeSet::new();
        let newest = newest_shards(work.catalog);
        let stale = |key: &ShardKey, known: &ShardHolders| {
            newest.get(key).is_none_or(|replicas| work.touches(&known.replicas, replicas))
        };
        let dropped: Vec<ShardKey> = self
            .shard_holders
            .iter()
            .filter(|(key, known)| stale(key, known))
            .map(|(key, _)| key.clone())
            .collect();
        for key in dropped {
            self.drop_holders(&key, &mut touched);
        }
        for (key, replicas) in newest {
            if !self.shard_holders.contains_key(&key) {
                self.add_holders(key, replicas, work, &mut touched);
            }
        }
        touched
    }

    fn drop_holders(&mut self, key: &ShardKey, touched: &mut BTreeSet<LeafId>) {
        let known = self.shard_holders.remove(key);
        for (leaf, count) in known.into_iter().flat_map(|known| known.holders) {
            touched.insert(leaf);
            let Some(total) = self.holders.get_mut(&leaf) else {
                continue;
            };
            *total -= count;
            if *total == 0 {
                self.holders.remove(&leaf);
            }
        }
    }

    fn add_holders(
        &mut self,
        key: ShardKey,
        replicas: &Arc<Vec<LeafId>>,
        work: &Work<'_>,
        touched: &mut BTreeSet<LeafId>,
    ) {
        let holders = work.holders(replicas);
        for (leaf, count) in &holders {
            touched.insert(*leaf);
            *self.holders.entry(*leaf).or_default() += count;
        }
        self.shard_holders.insert(key, ShardHolders { replicas: replicas.clone(), holders });
    }
}

/// Shards of the newest map of each service, with their replicas.
fn newest_shards(catalog: &Catalog) -> BTreeMap<ShardKey, &Arc<Vec<LeafId>>> {
    let mut newest = BTreeMap::new();
    for (name, service) in catalog.services() {
        let Some(map) = service.partition(service.newest_epoch()) else {
            continue;
        };
        let shards = map.shards.iter();
        newest.extend(shards.map(|(shard, replicas)| ((name.clone(), *shard), replicas)));
    }
    newest
}

/// What an update works with.
struct Work<'work> {
    catalog: &'work Catalog,
    moved: &'work BTreeSet<LeafId>,
    subsetting: &'work Subsetting,
    policy: RoutingPolicy,
}

impl Work<'_> {
    /// Whether a shard has to be laid out anew.
    fn touches(&self, known: &Arc<Vec<LeafId>>, replicas: &Arc<Vec<LeafId>>) -> bool {
        let same = Arc::ptr_eq(known, replicas) || known == replicas;
        !same || replicas.iter().any(|leaf| self.moved.contains(leaf))
    }

    fn maps(&self, service: &Service, known: &[MapLayout]) -> Vec<MapLayout> {
        let partitions = service.partitions().iter();
        partitions
            .map(|map| {
                let former = known.iter().find(|former| former.map.epoch == map.epoch);
                MapLayout { map: map.clone(), table: self.table(map, former) }
            })
            .collect()
    }

    fn table(&self, map: &Arc<PartitionMap>, former: Option<&MapLayout>) -> Arc<ShardTable> {
        let same = former.filter(|former| self.is_same_map(&former.map, map));
        if let Some(former) = same {
            return former.table.clone();
        }
        let shards = map.shards.iter().map(|(shard, replicas)| {
            let known = former.and_then(|former| self.kept_route(former, *shard, replicas));
            known.cloned().unwrap_or_else(|| self.route(*shard, replicas))
        });
        Arc::new(ShardTable { epoch: map.epoch, shards: shards.collect() })
    }

    fn is_same_map(&self, known: &Arc<PartitionMap>, map: &Arc<PartitionMap>) -> bool {
        let same = Arc::ptr_eq(known, map) || known == map;
        let mut replicas = map.shards.values().flat_map(|leaves| leaves.iter());
        same && (self.moved.is_empty() || !replicas.any(|leaf| self.moved.contains(leaf)))
    }

    fn kept_route<'former>(
        &self,
        former: &'former MapLayout,
        shard: ShardId,
        replicas: &Arc<Vec<LeafId>>,
    ) -> Option<&'former ShardRoute> {
        let known = former.map.shards.get(&shard)?;
        if self.touches(known, replicas) {
            return None;
        }
        let place = former.table.shards.binary_search_by_key(&shard, |route| route.shard).ok()?;
        former.table.shards.get(place)
    }

    fn route(&self, shard: ShardId, replicas: &[LeafId]) -> ShardRoute {
        let placed = self.placed(replicas);
        match self.policy {
            RoutingPolicy::Measured => self.subsetting.route(shard, placed),
            RoutingPolicy::Random => ShardRoute::flat(shard, &placed),
        }
    }

    /// Brokers that hold each replica of a shard at most.
    fn holders(&self, replicas: &[LeafId]) -> Vec<(LeafId, usize)> {
        let placed = self.placed(replicas);
        let by_placement = self.subsetting.holders(&placed);
        let count = |leaf: &Leaf| by_placement.get(&leaf.placement).copied().unwrap_or(1);
        placed.into_iter().map(|leaf| (leaf.id, count(leaf))).collect()
    }

    fn placed(&self, replicas: &[LeafId]) -> Vec<&Leaf> {
        let leaves = self.catalog.leaves();
        replicas.iter().filter_map(|leaf| leaves.get(leaf)).map(Arc::as_ref).collect()
    }
}
