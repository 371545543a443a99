//! The routes of all shards for one broker, updated incrementally.
//!
//! A route depends on the replicas of its shard, on their placements and connection limits, and on
//! the list of brokers. A shard for which none of these changed keeps its route.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::RoutingPolicy;
use super::subset::Subsetting;
use super::table::{ShardRoute, ShardTable};
use crate::catalog::{Catalog, Leaf, LeafMap, PartitionMap, Service};
use crate::identifiers::{LeafId, PartitionEpoch, ServiceName, ShardId};

/// Differences between the leaves of two catalogs.
#[derive(Debug, Default)]
pub struct LeafChanges {
    /// Leaves that were added or changed in any field.
    pub changed: Vec<LeafId>,
    /// Leaves that are no longer in the catalog.
    pub removed: Vec<LeafId>,
    /// Leaves of both lists whose placement or connection limit changed, including leaves that
    /// were added or removed.
    pub moved: BTreeSet<LeafId>,
}

impl LeafChanges {
    /// Compares the leaves of two catalogs; blocks that the catalogs share are skipped.
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
                if !requires_new_route(known, leaf) {
                    return;
                }
            }
            (None, Some(_)) => self.changed.push(id),
            (_, None) => self.removed.push(id),
        }
        self.moved.insert(id);
    }
}

fn requires_new_route(one: &Leaf, other: &Leaf) -> bool {
    one.placement != other.placement || one.connection_limit != other.connection_limit
}

/// A partition map and the routes computed from it.
#[derive(Debug, Clone)]
struct MapLayout {
    map: Arc<PartitionMap>,
    table: Arc<ShardTable>,
}

/// Upper bound on the number of brokers that connect to each replica of one shard.
#[derive(Debug)]
struct ShardHolders {
    replicas: Arc<Vec<LeafId>>,
    holders: Vec<(LeafId, usize)>,
}

/// A shard, qualified by its service.
type ShardKey = (ServiceName, ShardId);

/// The routes of a catalog for one broker, and the connection counts derived from them.
#[derive(Debug, Default)]
pub struct Layout {
    services: BTreeMap<ServiceName, Vec<MapLayout>>,
    preferred_leaves: BTreeSet<LeafId>,
    shard_holders: BTreeMap<ShardKey, ShardHolders>,
    holders: BTreeMap<LeafId, usize>,
}

impl Layout {
    /// The routes of a service's shards at a partition epoch.
    pub fn table(&self, service: &ServiceName, epoch: PartitionEpoch) -> Option<&Arc<ShardTable>> {
        let maps = self.services.get(service)?;
        maps.iter().map(|layout| &layout.table).find(|table| table.epoch == epoch)
    }

    /// The routes of all shards at all epochs.
    pub fn routes(&self) -> impl Iterator<Item = &ShardRoute> {
        self.services.values().flatten().flat_map(|layout| &layout.table.shards)
    }

    /// Leaves that are in a tier of at least one route.
    pub fn preferred_leaves(&self) -> &BTreeSet<LeafId> {
        &self.preferred_leaves
    }

    /// Upper bound on the number of brokers that connect to a leaf, summed over its shards in the
    /// newest maps; `None` if no shard lists the leaf.
    pub fn holders(&self, leaf: LeafId) -> Option<usize> {
        self.holders.get(&leaf).copied()
    }

    /// Updates the layout to a catalog; returns the leaves whose number of holders may have
    /// changed.
    pub fn update(
        &mut self,
        catalog: &Catalog,
        moved: &BTreeSet<LeafId>,
        subsetting: &Subsetting,
        policy: RoutingPolicy,
    ) -> BTreeSet<LeafId> {
        let context = LayoutUpdate { catalog, moved, subsetting, policy };
        let former = std::mem::take(&mut self.services);
        let mut tables_changed = former.keys().any(|name| !catalog.services().contains_key(name));
        for (name, service) in catalog.services() {
            let known = former.get(name).map(Vec::as_slice).unwrap_or_default();
            let maps = context.maps(service, known);
            let kept = known.iter().map(|map| &map.table).zip(maps.iter().map(|map| &map.table));
            tables_changed |= known.len() != maps.len()
                || kept.into_iter().any(|(one, other)| !Arc::ptr_eq(one, other));
            self.services.insert(name.clone(), maps);
        }
        if tables_changed {
            let preferred = self.routes().flat_map(|route| route.tiers.iter().flatten().copied());
            self.preferred_leaves = preferred.collect();
        }
        self.update_holders(&context)
    }

    fn update_holders(&mut self, context: &LayoutUpdate<'_>) -> BTreeSet<LeafId> {
        let mut touched = BTreeSet::new();
        let newest = newest_shards(context.catalog);
        let stale = |key: &ShardKey, known: &ShardHolders| {
            newest.get(key).is_none_or(|replicas| context.touches(&known.replicas, replicas))
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
                self.add_holders(key, replicas, context, &mut touched);
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
        context: &LayoutUpdate<'_>,
        touched: &mut BTreeSet<LeafId>,
    ) {
        let holders = context.holders(replicas);
        for (leaf, count) in &holders {
            touched.insert(*leaf);
            *self.holders.entry(*leaf).or_default() += count;
        }
        self.shard_holders.insert(key, ShardHolders { replicas: replicas.clone(), holders });
    }
}

/// The replicas of each shard in the newest partition map of each service.
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

/// Inputs of one update.
struct LayoutUpdate<'context> {
    catalog: &'context Catalog,
    moved: &'context BTreeSet<LeafId>,
    subsetting: &'context Subsetting,
    policy: RoutingPolicy,
}

impl LayoutUpdate<'_> {
    /// Whether the route of a shard has to be recomputed.
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

    /// Upper bound on the number of brokers that connect to each replica of a shard.
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
