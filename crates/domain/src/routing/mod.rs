//! Choice of a replica for each shard, from this broker's own observations.

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

/// A farther replica is taken when the nearer one is expected to take this many times as long.
const SPILL_FACTOR: f64 = 3.0;
/// A replica whose latency exceeds this multiple of its peers' median is left out.
const OUTLIER_FACTOR: f64 = 4.0;
/// Latency in seconds that a replica needs besides, so that noise ejects nobody.
const OUTLIER_FLOOR: f64 = 0.005;
/// One replica in this many of a shard may be left out at the same time.
const EJECTED_SHARE: usize = 2;
/// Time between comparisons of latencies.
const COMPARISON_PERIOD: Duration = Duration::from_millis(500);
/// Weight of the newest latency in the latency common to all leaves.
const COMMON_SMOOTHING: f64 = 0.01;
/// Time between searches for leaves that are to be probed.
const PROBE_ROUND: Duration = Duration::from_millis(500);
/// Random draws from a tier before it is searched in order.
const DRAWS: usize = 4;

/// How a leaf request ended, as seen by this broker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Observation {
    /// The leaf answered after this time.
    Answered(Duration),
    /// The leaf refused without running it.
    Refused,
    /// The leaf failed or did not answer in time; this is how long it was waited for.
    Failed(Duration),
    /// This broker cancelled the request after this time.
    Cancelled(Duration),
}

/// How replicas are chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RoutingPolicy {
    /// By own outcomes, near ones first, within this broker's subset.
    Measured,
    /// At random among all that are not draining; the baseline of experiments.
    Random,
}

/// What limits a choice.
#[derive(Debug, Clone, Copy)]
pub struct Exclusions<'lists> {
    /// Leaves that were asked already.
    pub tried: &'lists [LeafId],
    /// Leaves known not to hold the snapshot.
    pub refused: &'lists [LeafId],
}

impl Exclusions<'_> {
    fn contains(&self, leaf: LeafId) -> bool {
        self.tried.contains(&leaf) || self.refused.contains(&leaf)
    }
}

/// Chooses replicas.
#[derive(Debug)]
pub struct Router {
    own: BrokerEntry,
    policy: RoutingPolicy,
    leaves: BTreeMap<LeafId, LeafView>,
    entries: LeafMap,
    subsetting: Subsetting,
    layout: Layout,
    common_latency: f64,
    compared: Timestamp,
    ejections: u64,
    probe_round: Option<Timestamp>,
}

impl Router {
    /// A router without leaves for the broker `own`.
    pub fn new(own: BrokerEntry, policy: RoutingPolicy) -> Self {
        Self {
            policy,
            leaves: BTreeMap::new(),
            entries: LeafMap::default(),
            subsetting: Subsetting::new(own.clone(), &[]),
            own,
            layout: Layout::default(),
            common_latency: 0.001,
            compared: Timestamp::ZERO,
            ejections: 0,
            probe_round: None,
        }
    }

    /// Takes over the leaves of a catalog; observations of those that remain are kept.
    pub fn reconfigure(&mut self, now: Timestamp, catalog: &Catalog) {
        let first = self.leaves.is_empty();
        let changes = LeafChanges::between(&self.entries, catalog.leaves());
        for leaf in &changes.removed {
            self.leaves.remove(leaf);
        }
        for id in &changes.changed {
            if let Some(leaf) = catalog.leaves().get(id) {
                self.take_over(now, leaf, first);
            }
        }
        self.entries = catalog.leaves().clone();
        self.evacuate(now, catalog.evacuated());
        self.lay_out(catalog, &changes.moved);
        if self.policy == RoutingPolicy::Measured {
            self.probe_round.get_or_insert(now.after(PROBE_ROUND));
        }
    }

    /// Takes over a leaf that is new or differs from before.
    fn take_over(&mut self, now: Timestamp, leaf: &Leaf, first: bool) {
        let known = self.entries.contains_key(&leaf.id);
        let view = self
            .leaves
            .entry(leaf.id)
            .or_insert_with(|| if first { LeafView::first(now) } else { LeafView::cold(now) });
        if known && leaf.state == LeafState::Active {
            view.drain.leaf = false;
            view.drain.platform = false;
            view.cool(now);
        }
        view.drain.operator = leaf.state == LeafState::Draining;
    }

    /// Leaves of evacuated zones get no new work. They may be cold when their zone is restored.
    fn evacuate(&mut self, now: Timestamp, evacuated: &BTreeSet<ZoneName>) {
        for (id, view) in &mut self.leaves {
            let leaf = self.entries.get(id);
            let is_out = leaf.is_some_and(|leaf| evacuated.contains(&leaf.placement.zone));
            if view.drain.zone && !is_out {
                view.cool(now);
            }
            view.drain.zone = is_out;
        }
    }

    /// When [`Self::due_probes`] is to be asked next.
    pub fn next_probe_round(&self) -> Option<Timestamp> {
        self.probe_round
    }

    /// Leaves of this broker's subset that were silent for too long, so that a leaf which gets
    /// little work is asked all the same whether it is leaving. None before the round is due.
    pub fn due_probes(&mut self, now: Timestamp) -> Vec<LeafId> {
        if self.probe_round.is_none_or(|due| due > now) {
            return Vec::new();
        }
        self.probe_round = Some(now.after(PROBE_ROUND));
        let mut due = Vec::new();
        for leaf in self.layout.held() {
            if let Some(view) = self.leaves.get_mut(leaf).filter(|view| view.wants_probe(now)) {
                view.probe_sent(now);
                due.push(*leaf);
            }
        }
        due
    }

    /// The leaf answered a probe with its mark.
    pub fn probe_answered(&mut self, now: Timestamp, leaf: LeafId, draining: bool) {
        if let Some(view) = self.leaves.get_mut(&leaf) {
            view.probe_answered(now, draining);
        }
    }

    /// Takes over the list of brokers that share the leaves.
    pub fn update_brokers(&mut self, brokers: Arc<[BrokerEntry]>, catalog: &Catalog) {
        self.subsetting = Subsetting::new(self.own.clone(), &brokers);
        self.layout = Layout::default();
        let all = self.entries.keys().copied().collect();
        self.lay_out(catalog, &all);
    }

    /// The platform's list of leaving machines, whole; it lags, so it only adds to the others.
    pub fn set_platform_draining(&mut self, now: Timestamp, leaving: &[LeafId]) {
        for (id, view) in &mut self.leaves {
            let listed = leaving.contains(id);
            if view.drain.platform && !listed {
                view.cool(now);
            }
            view.drain.platform = listed;
        }
    }

    /// The routes of a service's shards at an epoch.
    pub fn table(&self, service: &ServiceName, epoch: PartitionEpoch) -> Option<Arc<ShardTable>> {
        self.layout.table(service, epoch).cloned()
    }

    /// Connections that this broker may open to a leaf.
    pub fn connection_limit(&self, leaf: LeafId) -> usize {
        self.leaves.get(&leaf).map_or(0, |view| view.connection_limit)
    }

    /// Chooses a replica, or none when no replica takes work. Replicas that are left out, were
    /// silent for too long or are outside the subset are asked only when there is no other.
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
                    .is_some_and(|view| view.takes_new_work() && !view.ejection.is_out(now))
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

    /// Whether the leaf said lately whether it is leaving.
    pub fn is_current(&self, now: Timestamp, leaf: LeafId) -> bool {
        self.leaves.get(&leaf).is_some_and(|view| view.is_current(now))
    }

    /// Whether the leaf is left out for doing badly.
    pub fn is_ejected(&self, now: Timestamp, leaf: LeafId) -> bool {
        self.leaves.get(&leaf).is_some_and(|view| view.ejection.is_out(now))
    }

    /// How often a replica was left out so far.
    pub fn ejections(&self) -> u64 {
        self.ejections
    }

    /// A request was sent to the leaf.
    pub fn sent(&mut self, leaf: LeafId) {
        if let Some(view) = self.leaves.get_mut(&leaf) {
            view.in_flight += 1;
        }
    }

    /// A request to the leaf ended.
    pub fn ended(&mut self, now: Timestamp, leaf: LeafId, observation: Observation) {
        let Some(view) = self.leaves.get_mut(&leaf) else {
            return;
        };
        view.in_flight = view.in_flight.saturating_sub(1);
        view.observe(now, observation);
        match observation {
            Observation::Answered(latency) => {
                view.ejection.answered();
                self.common_latency +=
                    COMMON_SMOOTHING * (latency.as_secs_f64() - self.common_latency);
            }
            Observation::Failed(_) => {
                if view.ejection.failed() {
                    self.eject(now, leaf);
                }
            }
            Observation::Refused | Observation::Cancelled(_) => {}
        }
        if now.since(self.compared) >= COMPARISON_PERIOD {
            self.compared = now;
            self.eject_slow(now);
        }
    }

    /// The leaf said on the reply to a request sent at `sent` whether it is leaving.
    pub fn mark_draining(&mut self, now: Timestamp, leaf: LeafId, sent: Timestamp, draining: bool) {
        if let Some(view) = self.leaves.get_mut(&leaf) {
            view.mark(now, sent, draining);
        }
    }

    /// Lays out what a change of the catalog touches.
    fn lay_out(&mut self, catalog: &Catalog, moved: &BTreeSet<LeafId>) {
        let mut touched = self.layout.update(catalog, moved, &self.subsetting, self.policy);
        touched.extend(moved);
        for leaf in touched {
            self.limit_connections(leaf);
        }
    }

    /// Divides a leaf's connection limit by the brokers that hold it, over all its shards in the
    /// newest map of each service.
    fn limit_connections(&mut self, leaf: LeafId) {
        let Some(view) = self.leaves.get_mut(&leaf) else {
            return;
        };
        let limit = self.entries.get(&leaf).map_or(1, |entry| entry.connection_limit as usize);
        let alone = self.subsetting.uses_all_replicas();
        let holders = if alone { 1 } else { self.layout.holders(leaf).unwrap_or(1) };
        view.connection_limit = (limit / holders.max(1)).max(1);
    }

    /// The better of two random replicas of the nearest tier that has any, unless one of a
    /// farther tier is expected to be [`SPILL_FACTOR`] times faster.
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
        self.leaves.get(&leaf).map_or(f64::INFINITY, |view| view.cost(now, self.common_latency))
    }

    /// Leaves out replicas that answer far more slowly than the others of their shard.
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

    /// Leaves a replica out, unless too many of one of its shards would be out.
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

/// Draws a usable leaf at random: a few draws, then a search from a random start.
fn draw(
    leaves: &[LeafId],
    usable: impl Fn(LeafId) -> bool,
    random: &mut dyn RngCore,
) -> Option<LeafId> {
    if leaves.is_empty() {
        return None;
    }
    for _ in 0..DRAWS {
        let leaf = leaves[below(leaves.len(), random)];
        if usable(leaf) {
            return Some(leaf);
        }
    }
    let start = below(leaves.len(), random);
    leaves[start..].iter().chain(&leaves[..start]).copied().find(|leaf| usable(*leaf))
}

/// A random number below `bound`, by multiplication rather than division.
fn below(bound: usize, random: &mut dyn RngCore) -> usize {
    ((u64::from(random.next_u32()) * bound as u64) >> 32) as usize
}
