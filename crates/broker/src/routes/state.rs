//! State shared by the tasks that serve routes: the configuration in force, the leaves, admission
//! control and readiness.
//!
//! All tasks run on one thread. No borrow of the state is held across an `await`.

use gingerkeel_domain::directory::ListedLeaf;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

use gingerkeel_domain::forwarding::{
    AnswerMargin, Candidate, DeliveryTime, PlannedStop, SplitSequence,
};
use gingerkeel_domain::identifiers::{ServiceName, ZoneName};
use gingerkeel_domain::rollout::Rollouts;
use gingerkeel_domain::routes::{Route, RouteConfiguration, RouteTable, WeightedService};
use gingerkeel_domain::tail::LatencyWindow;
use gingerkeel_domain::time::Timestamp;
use gingerkeel_settings::{BrokerSettings, DisconnectedPolicy, RouteSettings};
use gingerkeel_transport::{Clock, ConnectionMemory, Latch};
use local_sync::mpsc::unbounded::Tx;
use monoio::time::timeout;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use tracing::info;

use super::admission::Admission;
use super::attempt::ForwardedRequest;
use super::crash_watch::CrashWatch;
use super::dialect::Dialect;
use super::known_leaves::ServiceLimits;
use super::leaf_registry::LeafRegistry;
use super::quota::Quotas;
use super::rollouts::RolloutTable;
use super::route_metrics::RouteMetrics;
use crate::route_reports::CrashReport;

/// Minimum retry-after until the first configuration arrives.
const MIN_STARTUP_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Quantile of a route's latency that counts as usual.
const USUAL_QUANTILE: f64 = 0.5;
/// Share of a request's time for which it waits for admission at most, so that its caller can still
/// retry at another broker.
const WAIT_SHARE: f64 = 0.7;
/// Share of a request's remaining time for which it waits for the first configuration.
const START_WAIT_SHARE: f64 = 0.7;
/// Quantile of a route's latency that is expected of a request during a planned stop.
const STOP_QUANTILE: f64 = 0.98;

/// State shared by the tasks that serve routes.
pub struct RouteState {
    /// Names of header fields.
    pub dialect: Dialect,
    /// Settings of route serving.
    pub settings: RouteSettings,
    /// Monotonic clock; it starts with the process.
    pub clock: Clock,
    /// Memory of the callers' connections.
    pub memory: ConnectionMemory,
    /// Counters and latencies.
    pub metrics: RouteMetrics,
    /// Known leaves and their connections.
    pub leaves: LeafRegistry,
    /// Quotas of tenants.
    pub quotas: Quotas,
    /// Admission control.
    pub admission: Admission,
    /// Detection of requests that crash leaves.
    pub crashes: CrashWatch,
    /// Roll-outs of software versions.
    pub rollouts: RolloutTable,
    table: RefCell<Option<Rc<RouteTable>>>,
    latencies: RefCell<BTreeMap<String, LatencyWindow>>,
    /// Weighted round-robin state of each route with a traffic split.
    splits: RefCell<BTreeMap<String, SplitSequence>>,
    fresh_until: Cell<Timestamp>,
    stop: Cell<Option<PlannedStop>>,
    /// Given once a configuration and a directory of leaves are in force.
    ready: Latch,
    /// Observed delivery time of merged answers.
    delivery: Cell<DeliveryTime>,
    random: RefCell<Pcg64>,
}

impl RouteState {
    /// Creates the state without a configuration or leaves.
    pub fn new(
        broker: BrokerSettings,
        settings: RouteSettings,
        dialect: Dialect,
        clock: Clock,
        memory: ConnectionMemory,
        crash_reports: Tx<CrashReport>,
    ) -> Self {
        let seed = broker.seed.unwrap_or_else(|| rand::rng().random());
        let mut random = Pcg64::seed_from_u64(seed);
        let leaves = LeafRegistry::new(clock, &broker, &settings, random.random());
        let quotas = Quotas::new(clock, &settings, random.random());
        Self {
            dialect,
            settings,
            clock,
            memory,
            quotas,
            metrics: RouteMetrics::default(),
            leaves,
            admission: Admission::new(clock),
            crashes: CrashWatch::new(clock, crash_reports),
            rollouts: RolloutTable::default(),
            table: RefCell::default(),
            latencies: RefCell::default(),
            splits: RefCell::default(),
            fresh_until: Cell::new(Timestamp::ZERO),
            stop: Cell::new(None),
            ready: Latch::new(),
            delivery: Cell::default(),
            random: RefCell::new(random),
        }
    }

    /// Waits until a configuration and a directory of leaves are in force, for a share of the time
    /// left until `deadline` and at most for the configured time. An immediate refusal would only
    /// make the caller retry while nothing has changed.
    pub async fn wait_until_ready(&self, deadline: Instant) {
        if self.ready.is_set() {
            return;
        }
        let left = deadline.saturating_duration_since(Instant::now());
        let longest = Duration::from_millis(self.settings.start_wait_ms.into());
        let wait = longest.min(left.mul_f64(START_WAIT_SHARE));
        // After a timeout the request is refused by the route lookup.
        let _ = timeout(wait, self.ready.wait()).await;
    }

    /// Whether a configuration and a directory of leaves have come into force.
    pub fn has_started(&self) -> bool {
        self.ready.is_set()
    }

    /// Gives the ready signal once a configuration and a directory are in force.
    pub fn signal_if_ready(&self) {
        if self.leaves.is_listed() && self.table.borrow().is_some() && !self.ready.is_set() {
            self.ready.set();
        }
    }

    /// The configuration in force.
    pub fn table(&self) -> Option<Rc<RouteTable>> {
        self.table.borrow().clone()
    }

    /// Whether requests can be served: a current configuration and directory are in force, and no
    /// planned stop has begun.
    pub fn is_ready(&self) -> bool {
        self.leaves.is_listed()
            && !self.is_out_of_date()
            && self.table.borrow().is_some()
            && !self.is_stopping()
    }

    /// Retry-after until the first configuration arrives.
    pub fn startup_retry_after(&self) -> Duration {
        let expected = Duration::from_millis(self.settings.start_ms.into());
        expected.saturating_sub(self.now().since(Timestamp::ZERO)).max(MIN_STARTUP_RETRY_AFTER)
    }

    /// Sets until when the configuration counts as confirmed by control.
    pub fn set_fresh_until(&self, until: Timestamp) {
        self.fresh_until.set(until);
    }

    /// Whether control has recently confirmed the configuration.
    pub fn is_fresh(&self) -> bool {
        self.now() < self.fresh_until.get()
    }

    /// Whether requests must be refused because the configuration may be stale.
    pub fn is_out_of_date(&self) -> bool {
        let refuses = self.settings.out_of_touch == DisconnectedPolicy::Refuse;
        refuses && !self.is_fresh()
    }

    /// Whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stop.get().is_some()
    }

    /// The planned stop in progress, if any.
    pub fn planned_stop(&self) -> Option<PlannedStop> {
        self.stop.get()
    }

    /// Begins a planned stop, or returns the one in progress.
    pub fn stop(&self) -> PlannedStop {
        let length = Duration::from_millis(self.settings.stop_ms.into());
        let stop = self.stop.get().unwrap_or_else(|| PlannedStop::begin(self.now(), length));
        self.stop.set(Some(stop));
        stop
    }

    /// Whether a request of a route is accepted: not if a planned stop may end before the request
    /// does.
    pub fn accepts(&self, route: &Route) -> bool {
        let Some(stop) = self.stop.get() else {
            return true;
        };
        let target = Duration::from_millis(route.target_latency_ms);
        let measured = self.latency(route, STOP_QUANTILE).unwrap_or_default();
        stop.accepts(self.now(), target.max(measured))
    }

    /// Replaces the configuration, unless the one in force has this version or a higher one.
    pub fn replace_routes(&self, configuration: RouteConfiguration) {
        let held = self.table.borrow().as_ref().map(|table| table.version());
        let version = configuration.version;
        if held.is_some_and(|held| version <= held) {
            return;
        }
        let routes = configuration.routes.len();
        info!(
            event = "routes_in_force",
            version = version.0,
            held = held.map(|held| held.0),
            routes
        );
        self.splits.borrow_mut().clear();
        self.leaves.invalidate_cold_shares();
        self.quotas.configure(&configuration.tenants);
        *self.table.borrow_mut() = Some(Rc::new(RouteTable::new(configuration)));
    }

    /// Sets the zones whose leaves get no new work.
    pub fn set_evacuated_zones(&self, zones: BTreeSet<ZoneName>) {
        self.leaves.set_evacuated_zones(zones, |service| self.service_limits(service).cold_start);
    }

    /// Applies the state of the roll-outs and invalidates the plans of standby connections.
    pub fn apply_rollouts(&self, rollouts: Rollouts) {
        self.rollouts.put_in_force(rollouts);
        self.leaves.invalidate_plans();
    }

    /// The next service of a traffic split, by weighted round-robin.
    pub fn next_of_split(&self, route: &Route, parts: &[WeightedService]) -> Option<ServiceName> {
        let mut splits = self.splits.borrow_mut();
        let turns = splits
            .entry(route.name.clone())
            .or_insert_with(|| SplitSequence::starting_at(self.random.borrow_mut().random()));
        turns.next(parts).map(|part| part.service.clone())
    }

    /// A uniform random number in 0..1.
    pub fn draw(&self) -> f64 {
        self.random.borrow_mut().random()
    }

    fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Limits of the leaves of a service, over all brokers together.
    pub fn service_limits(&self, service: &ServiceName) -> ServiceLimits {
        let table = self.table.borrow();
        let known = table.as_ref().and_then(|table| table.service(service));
        known.map_or_else(ServiceLimits::default, |service| ServiceLimits {
            connections: service.connection_limit as usize,
            cold_start: service.cold_start,
        })
    }

    /// Up to `most` leaves of shards to which a standby connection is planned and none is open,
    /// each with its service.
    pub fn standby_targets(&self, most: usize) -> Vec<(ServiceName, ListedLeaf)> {
        let Some(table) = self.table() else {
            return Vec::new();
        };
        let kept = |target: &Duration| self.leaves.keeps_ready(*target);
        let shards = table.shards().iter().filter(|(_, target)| kept(target));
        let leaves = shards.map(|(service, _)| service).flat_map(|service| {
            let limits = self.service_limits(service);
            let leaves = self.leaves.leaves_needing_connection(service, limits);
            let usable = |leaf: &ListedLeaf| !self.rollouts.excludes(leaf);
            leaves.into_iter().filter(usable).map(|leaf| (service.clone(), leaf))
        });
        leaves.take(most).collect()
    }

    /// The request as admission control sees it.
    pub fn candidate(
        &self,
        table: &RouteTable,
        route: &Route,
        request: &ForwardedRequest,
    ) -> Candidate {
        let received = self.clock.at(request.received);
        let target = Duration::from_millis(route.target_latency_ms);
        let usual = self.latency(route, USUAL_QUANTILE).unwrap_or_default();
        let time = request.deadline.saturating_duration_since(request.received);
        Candidate {
            rank: table.rank(route, request.tenant.as_deref()),
            in_time_until: received.after(target.saturating_sub(usual)),
            give_up_at: received.after(time.mul_f64(WAIT_SHARE)),
            tenant: request.tenant.as_deref().map(|tenant| table.sharing(tenant)),
        }
    }

    /// Records the latency of a leaf's reply to a request of a route.
    pub fn record_latency(&self, route: &Route, latency: Duration) {
        let now = self.now();
        let mut latencies = self.latencies.borrow_mut();
        if !latencies.contains_key(&route.name) {
            latencies.insert(route.name.clone(), LatencyWindow::default());
        }
        if let Some(window) = latencies.get_mut(&route.name) {
            window.record(now, latency);
        }
    }

    /// Records the delivery time of a merged answer.
    pub fn record_delivery(&self, took: Duration) {
        let mut delivery = self.delivery.get();
        delivery.observe(took);
        self.delivery.set(delivery);
    }

    /// When a merged answer has to be complete to reach its caller within `target` of the request's
    /// arrival.
    pub fn soft_deadline(&self, received: Timestamp, target: Duration) -> Timestamp {
        let margin = AnswerMargin {
            least: Duration::from_millis(self.settings.answer_margin_ms.into()),
            unobserved: Duration::from_millis(self.settings.first_delivery_ms.into()),
            most: Duration::from_millis(self.settings.longest_answer_margin_ms.into()),
        };
        margin.soft_deadline(received, target, &self.delivery.get())
    }

    /// A quantile of a route's observed latency; none with too few samples.
    pub fn latency(&self, route: &Route, quantile: f64) -> Option<Duration> {
        self.latencies.borrow().get(&route.name)?.quantile(quantile)
    }
}
