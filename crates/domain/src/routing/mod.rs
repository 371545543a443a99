//! Replica selection for each shard, based on the outcomes of this broker's own requests.

mod ejection;
mod layout;
pub mod subset;
mod table;
mod view;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use rand_core::RngCore;

use crate::catalog::{Catalog, Leaf, LeafMap, LeafState};
use crate::identifiers::{LeafId, PartitionEpoch, ServiceName, ZoneName};
use crate::time::Timestamp;
use layout::{Layout, LeafChanges};
use subset::{BrokerEntry, Subsetting};
use view::LeafView;

pub use table::{Distance, ShardRoute, ShardTable};

/// A replica of a farther tier is chosen if the nearer one has at least this multiple of its cost.
const SPILL_FACTOR: f64 = 3.0;
/// A replica whose latency exceeds this multiple of its tier's median is ejected.
const OUTLIER_FACTOR: f64 = 4.0;
/// Minimum excess over the median in seconds; prevents ejections due to noise at low latencies.
const OUTLIER_FLOOR: f64 = 0.005;
/// At most one in this many replicas of a shard may be ejected at the same time.
const EJECTED_SHARE: usize = 2;
/// Interval between latency comparisons.
const COMPARISON_INTERVAL: Duration = Duration::from_millis(500);
/// Weight of the newest sample in the moving average of latency over all leaves.
const MEAN_LATENCY_SMOOTHING: f64 = 0.01;
/// Interval between searches for leaves that are due a probe.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Random draws from a tier before a linear search.
const RANDOM_DRAWS: usize = 4;

/// Outcome of a leaf request as seen by this broker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Observation {
    /// The leaf replied after this time.
    Answered(Duration),
    /// The leaf refused the request without running it.
    Refused,
    /// The leaf failed or timed out after this time.
    Failed(Duration),
    /// This broker cancelled the request after this time.
    Cancelled(Duration),
}

/// Replica selection policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RoutingPolicy {
    /// By observed cost, nearest tier first, within this broker's subset.
    Measured,
    /// Uniformly at random among all replicas that are not draining; the baseline of experiments.
    Random,
}

/// Leaves that must not be chosen.
#[derive(Debug, Clone, Copy)]
pub struct Exclusions<'lists> {
    /// Leaves that an earlier attempt was sent to.
    pub tried: &'lists [LeafId],
    /// Leaves that refused because they do not hold the snapshot.
    pub refused: &'lists [LeafId],
}

impl Exclusions<'_> {
    fn contains(&self, leaf: LeafId) -> bool {
        self.tried.contains(&leaf) || self.refused.contains(&leaf)
    }
}

/// Selects replicas and tracks the state of each leaf.
#[derive(Debug)]
pub struct Router {
    own: BrokerEntry,
    policy: RoutingPolicy,
    leaves: BTreeMap<LeafId, LeafView>,
    catalog_leaves: LeafMap,
    subsetting: Subsetting,
    layout: Layout,
    mean_latency: f64,
    last_comparison: Timestamp,
    ejections: u64,
    next_probes_at: Option<Timestamp>,
}

impl Router {
    /// Creates a router without leaves for the broker `own`.
    pub fn new(own: BrokerEntry, policy: RoutingPolicy) -> Self {
        Self {
            policy,
            leaves: BTreeMap::new(),
            catalog_leaves: LeafMap::default(),
            subsetting: Subsetting::new(own.clone(), &[]),
            own,
            layout: Layout::default(),
            mean_latency: 0.001,
            last_comparison: Timestamp::ZERO,
            ejections: 0,
            next_probes_at: None,
        }
    }

    /// Applies a catalog; observations of leaves that remain are kept.
    pub fn reconfigure(&mut self, now: Timestamp, catalog: &Catalog) {
        let first = self.leaves.is_empty();
        let changes = LeafChanges::between(&self.catalog_leaves, catalog.leaves());
        for leaf in &changes.removed {
            self.leaves.remove(leaf);
        }
        for id in &changes.changed {
            if let Some(leaf) = catalog.leaves().get(id) {
                self.update_leaf(now, leaf, first);
            }
        }
        self.catalog_leaves = catalog.leaves().clone();
        self.evacuate(now, catalog.evacuated());
        self.update_layout(catalog, &changes.moved);
        if self.policy == RoutingPolicy::Measured {
            self.next_probes_at.get_or_insert(now.after(PROBE_INTERVAL));
        }
    }

    /// Applies a leaf entry that was added or changed.
    fn update_leaf(&mut self, now: Timestamp, leaf: &Leaf, first: bool) {
        let known = self.catalog_leaves.contains_key(&leaf.id);
        let view = self
            .leaves
            .entry(leaf.id)
            .or_insert_with(|| if first { LeafView::first(now) } else { LeafView::cold(now) });
        if known && leaf.state == LeafState::Active {
            view.drain.leaf = false;
            view.drain.platform = false;
            view.restart_slow_start(now);
        }
        view.drain.operator = leaf.state == LeafState::Draining;
    }

    /// Stops new work to leaves of evacuated zones. Leaves of a restored zone may be cold, so they
    /// go through slow start.
    fn evacuate(&mut self, now: Timestamp, evacuated: &BTreeSet<ZoneName>) {
        for (id, view) in &mut self.leaves {
            let leaf = self.catalog_leaves.get(id);
            let is_evacuated = leaf.is_some_and(|leaf| evacuated.contains(&leaf.placement.zone));
            if view.drain.zone && !is_evacuated {
                view.restart_slow_start(now);
            }
            view.drain.zone = is_evacuated;
        }
    }

    /// When [`Self::due_probes`] is to be called next.
    pub fn next_probe_round(&self) -> Option<Timestamp> {
        self.next_probes_at
    }

    /// Leaves of this broker's subset that are due a probe; empty until the next round. Probes tell
    /// the broker that a leaf is draining even if the leaf gets few requests.
    pub fn due_probes(&mut self, now: Timestamp) -> Vec<LeafId> {
        if self.next_probes_at.is_none_or(|due| due > now) {
            return Vec::new();
        }
        self.next_probes_at = Some(now.after(PROBE_INTERVAL));
        let mut due = Vec::new();
        for leaf in self.layout.preferred_leaves() {
            if let Some(view) = self.leaves.get_mut(leaf).filter(|view| view.wants_probe(now)) {
                view.probe_sent(now);
                due.push(*leaf);
            }
        }
        due
    }

    /// Records the reply to a probe and its drain flag.
    pub fn probe_answered(&mut self, now: Timestamp, leaf: LeafId, draining: bool) {
        if let Some(view) = self.leaves.get_mut(&leaf) {
            view.probe_answered(now, draining);
        }
    }

    /// Applies the list of brokers that share the leaves and recomputes all routes.
    pub fn update_brokers(&mut self, brokers: Arc<[BrokerEntry]>, catalog: &Catalog) {
        self.subsetting = Subsetting::new(self.own.clone(), &brokers);
        self.layout = Layout::default();
        let all = self.catalog_leaves.keys().copied().collect();
        self.update_layout(catalog, &all);
    }

    /// Applies the platform's complete list of leaving machines. The list lags, so it never clears
    /// a drain flag of another source.
    pub fn set_platform_draining(&mut self, now: Timestamp, leaving: &[LeafId]) {
        for (id, view) in &mut self.leaves {
            let listed = leaving.contains(id);
            if view.drain.platform && !listed {
                view.restart_slow_start(now);
            }
            view.drain.platform = listed;
        }
    }

    /// The routes of a service's shards at a partition epoch.
    pub fn table(&self, service: &ServiceName, epoch: PartitionEpoch) -> Option<Arc<ShardTable>> {
        self.layout.table(service, epoch).cloned()
    }

    /// Connections that this broker may open to a leaf.
    pub fn connection_limit(&self, leaf: LeafId) -> usize {
        self.leaves.get(&leaf).map_or(0, |view| view.connection_limit)
    }

    /// Chooses a replica, or `None` if no replica takes new work. Replicas that are ejected, have a
    /// stale drain state or are outside the subset are chosen only if there is no other.
    pub fn choose(
        &self,
        now: Timestamp,
        route: &ShardRoute,
        exclusions: Exclusions<'_>,
        random: &mut dyn RngCore,
    ) -> Option<LeafId> {
        if self.policy == RoutingPolicy::Random {
            let all: Vec<LeafId> = route.replicas().collect();
            let usable = |leaf| !exclusions.contains(leaf) && self.takes_new_work(leaf);
            return draw(&all, usable, random);
        }
        let in_service = |leaf: LeafId| {
            !exclusions.contains(leaf)
                && self
                    .leaves
                    .get(&leaf)
                    .is_some_and(|view| view.takes_new_work() && !view.ejection.is_ejected(now))
        };
        let current = |leaf: LeafId| in_service(leaf) && self.is_current(now, leaf);
        self.best_tier(now, &route.tiers, current, random)
            .or_else(|| self.best_tier(now, &route.tiers, in_service, random))
            .or_else(|| draw(&route.spare, in_service, random))
            .or_else(|| {
                let all: Vec<LeafId> = route.replicas().collect();
                let usable = |leaf| !exclusions.contains(leaf) && self.takes_new_work(leaf);
                draw(&all, usable, random)
            })
    }

    /// Whether new work may be sent to the leaf.
    pub fn takes_new_work(&self, leaf: LeafId) -> bool {
        self.leaves.get(&leaf).is_some_and(LeafView::takes_new_work)
    }

    /// Whether the leaf's drain state was refreshed recently.
    pub fn is_current(&self, now: Timestamp, leaf: LeafId) -> bool {
        self.leaves.get(&leaf).is_some_and(|view| view.is_current(now))
    }

    /// Whether the leaf is ejected as an outlier.
    pub fn is_ejected(&self, now: Timestamp, leaf: LeafId) -> bool {
        self.leaves.get(&leaf).is_some_and(|view| view.ejection.is_ejected(now))
    }

    /// Total number of ejections.
    pub fn ejections(&self) -> u64 {
        self.ejections
    }

    /// Records that a request was sent to the leaf.
    pub fn sent(&mut self, leaf: LeafId) {
        if let Some(view) = self.leaves.get_mut(&leaf) {
            view.in_flight += 1;
        }
    }

    /// Records the outcome of a request to the leaf.
    pub fn ended(&mut self, now: Timestamp, leaf: LeafId, observation: Observation) {
        let Some(view) = self.leaves.get_mut(&leaf) else {
            return;
        };
        view.in_flight = view.in_flight.saturating_sub(1);
        view.observe(now, observation);
        match observation {
            Observation::Answered(latency) => {
                view.ejection.answered();
                self.mean_latency +=
                    MEAN_LATENCY_SMOOTHING * (latency.as_secs_f64() - self.mean_latency);
            }
            Observation::Failed(_) => {
                if view.ejection.failed() {
                    self.eject(now, leaf);
                }
            }
            Observation::Refused | Observation::Cancelled(_) => {}
        }
        if now.since(self.last_comparison) >= COMPARISON_INTERVAL {
            self.last_comparison = now;
            self.eject_slow(now);
        }
    }

    /// Applies the drain flag of a reply to a request that was sent at `sent`.
    pub fn mark_draining(&mut self, now: Timestamp, leaf: LeafId, sent: Timestamp, draining: bool) {
        if let Some(view) = self.leaves.get_mut(&leaf) {
            view.apply_drain_flag(now, sent, draining);
        }
    }

    /// Updates the routes and connection limits that a change of the catalog affects.
    fn update_layout(&mut self, catalog: &Catalog, moved: &BTreeSet<LeafId>) {
        let mut touched = self.layout.update(catalog, moved, &self.subsetting, self.policy);
        touched.extend(moved);
        for leaf in touched {
            self.update_connection_limit(leaf);
        }
    }

    /// Divides a leaf's connection limit by the number of brokers that connect to it, summed over
    /// its shards in the newest map of each service.
    fn update_connection_limit(&mut self, leaf: LeafId) {
        let Some(view) = self.leaves.get_mut(&leaf) else {
            return;
        };
        let limit =
            self.catalog_leaves.get(&leaf).map_or(1, |entry| entry.connection_limit as usize);
        let alone = self.subsetting.uses_all_replicas();
        let holders = if alone { 1 } else { self.layout.holders(leaf).unwrap_or(1) };
        view.connection_limit = (limit / holders.max(1)).max(1);
    }

    /// Power of two choices in each tier; takes the nearest tier's replica unless one of a farther
    /// tier costs less by more than [`SPILL_FACTOR`].
    fn best_tier(
        &self,
        now: Timestamp,
        tiers: &[Vec<LeafId>],
        usable: impl Fn(LeafId) -> bool + Copy,
        random: &mut dyn RngCore,
    ) -> Option<LeafId> {
        let mut best: Option<(LeafId, f64)> = None;
        for tier in tiers {
            let Some((leaf, cost)) = self.best_of_two(now, tier, usable, random) else {
                continue;
            };
            if best.is_none_or(|(_, nearer)| nearer > SPILL_FACTOR * cost) {
                best = Some((leaf, cost));
            }
        }
        best.map(|(leaf, _)| leaf)
    }

    fn best_of_two(
        &self,
        now: Timestamp,
        tier: &[LeafId],
        usable: impl Fn(LeafId) -> bool + Copy,
        random: &mut dyn RngCore,
    ) -> Option<(LeafId, f64)> {
        let first = draw(tier, usable, random)?;
        let first_cost = self.cost(now, first);
        let others = |leaf| leaf != first && usable(leaf);
        let Some(second) = draw(tier, others, random) else {
            return Some((first, first_cost));
        };
        let second_cost = self.cost(now, second);
        Some(if second_cost < first_cost { (second, second_cost) } else { (first, first_cost) })
    }

    fn cost(&self, now: Timestamp, leaf: LeafId) -> f64 {
        self.leaves.get(&leaf).map_or(f64::INFINITY, |view| view.cost(now, self.mean_latency))
    }

    /// Ejects replicas whose latency is far above the median of their tier.
    fn eject_slow(&mut self, now: Timestamp) {
        let mut slow = Vec::new();
        for route in self.layout.routes() {
            self.find_slow(now, route, &mut slow);
        }
        for leaf in slow {
            if !self.is_ejected(now, leaf) {
                self.eject(now, leaf);
            }
        }
    }

    fn find_slow(&self, now: Timestamp, route: &ShardRoute, slow: &mut Vec<LeafId>) {
        for tier in &route.tiers {
            let mut measured: Vec<(f64, LeafId)> = tier
                .iter()
                .filter(|leaf| !self.is_ejected(now, **leaf))
                .filter_map(|leaf| Some((self.leaves.get(leaf)?.comparable_latency()?, *leaf)))
                .collect();
            if measured.len() < 2 {
                continue;
            }
            measured.sort_by(|one, other| one.0.total_cmp(&other.0));
            let median = measured[(measured.len() - 1) / 2].0;
            let bound = (median * OUTLIER_FACTOR).max(median + OUTLIER_FLOOR);
            slow.extend(
                measured.iter().filter(|(latency, _)| *latency > bound).map(|(_, leaf)| *leaf),
            );
        }
    }

    /// Ejects a replica unless one of its shards has reached its limit of ejected replicas.
    fn eject(&mut self, now: Timestamp, leaf: LeafId) {
        let allowed = self.policy == RoutingPolicy::Measured
            && self
                .layout
                .routes()
                .filter(|route| route.replicas().any(|replica| replica == leaf))
                .all(|route| self.may_eject_from(now, route));
        if allowed && let Some(view) = self.leaves.get_mut(&leaf) {
            view.ejection.eject(now);
            view.forget_latency();
            self.ejections += 1;
        }
    }

    fn may_eject_from(&self, now: Timestamp, route: &ShardRoute) -> bool {
        let preferred = route.tiers.iter().flatten().copied();
        let live = preferred.filter(|leaf| self.takes_new_work(*leaf));
        let out = live.clone().filter(|leaf| self.is_ejected(now, *leaf)).count();
        out < live.count() / EJECTED_SHARE
    }
}

/// Picks a usable leaf at random: [`RANDOM_DRAWS`] draws, then a linear search from a random start.
fn draw(
    leaves: &[LeafId],
    usable: impl Fn(LeafId) -> bool,
    random: &mut dyn RngCore,
) -> Option<LeafId> {
    if leaves.is_empty() {
        return None;
    }
    for _ in 0..RANDOM_DRAWS {
        let leaf = leaves[below(leaves.len(), random)];
        if usable(leaf) {
            return Some(leaf);
        }
    }
    let start = below(leaves.len(), random);
    leaves[start..].iter().chain(&leaves[..start]).copied().find(|leaf| usable(*leaf))
}

/// A random number below `bound`, by multiply-and-shift to avoid a division.
fn below(bound: usize, random: &mut dyn RngCore) -> usize {
    ((u64::from(random.next_u32()) * bound as u64) >> 32) as usize
}
