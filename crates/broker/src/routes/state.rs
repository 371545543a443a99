//! What the tasks that serve routes share: the configuration in force, the leaves, admission, and
//! whether this broker serves.
//!
//! All tasks run on one thread. The state is borrowed between two waits only, never across one.

use gingerkeel_domain::directory::ListedLeaf;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

use gingerkeel_domain::forwarding::{
    AnswerMargin, Candidate, DeliveryTime, PlannedStop, SplitTurns,
};
use gingerkeel_domain::identifiers::{ServiceName, ZoneName};
use gingerkeel_domain::rollout::Rollouts;
use gingerkeel_domain::routes::{Route, RouteConfiguration, RouteTable, WeightedService};
use gingerkeel_domain::tail::LatencyWindow;
use gingerkeel_domain::time::Timestamp;
use gingerkeel_settings::{BrokerSettings, OutOfTouchSetting, RouteSettings};
use gingerkeel_transport::Clock;
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
use crate::route_reports::FoundCrash;
use crate::stop::StopSignal;

/// Least time after which a caller is asked to come back while nothing is known yet.
const MIN_STARTUP_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Share of the answers of a route that take no longer than is usual.
const USUAL_QUANTILE: f64 = 0.5;
/// Part of its whole time after which a request that waits for admission is given up, so that its
/// caller can still turn to another broker.
const WAIT_SHARE: f64 = 0.7;
/// Part of its remaining time for which a request waits while nothing is known yet.
const START_WAIT_SHARE: f64 = 0.7;
/// Share of the answers of a route that take no longer than is expected of one in a planned stop.
const STOP_QUANTILE: f64 = 0.98;

/// The shared state.
pub struct RouteState {
    /// Names of header fields.
    pub dialect: Dialect,
    /// Settings of the serving of routes.
    pub settings: RouteSettings,
    /// The clock.
    pub clock: Clock,
    /// Counters and latencies.
    pub metrics: RouteMetrics,
    /// The leaves.
    pub leaves: LeafRegistry,
    /// Quotas of tenants.
    pub quotas: Quotas,
    /// Admission of requests.
    pub admission: Admission,
    /// Requests that crash leaves.
    pub crashes: CrashWatch,
    /// Moves of services to other software versions.
    pub rollouts: RolloutTable,
    table: RefCell<Option<Rc<RouteTable>>>,
    latencies: RefCell<BTreeMap<String, LatencyWindow>>,
    /// Turns of each route that splits its requests.
    splits: RefCell<BTreeMap<String, SplitTurns>>,
    fresh_until: Cell<Timestamp>,
    stop: Cell<Option<PlannedStop>>,
    /// Given once a configuration and a list of leaves are in force.
    ready: StopSignal,
    /// What merged answers of this broker take to leave.
    delivery: Cell<DeliveryTime>,
    random: RefCell<Pcg64>,
}

impl RouteState {
    /// Nothing is known yet.
    pub fn new(
        broker: BrokerSettings,
        settings: RouteSettings,
        dialect: Dialect,
        clock: Clock,
        found_crashes: Tx<FoundCrash>,
    ) -> Self {
        let seed = broker.seed.unwrap_or_else(|| rand::rng().random());
        let mut random = Pcg64::seed_from_u64(seed);
        let leaves = LeafRegistry::new(clock, &broker, &settings, random.random());
        let quotas = Quotas::new(clock, &settings, random.random());
        Self {
            dialect,
            settings,
            clock,
            quotas,
            metrics: RouteMetrics::default(),
            leaves,
            admission: Admission::new(clock),
            crashes: CrashWatch::new(clock, found_crashes),
            rollouts: RolloutTable::default(),
            table: RefCell::default(),
            latencies: RefCell::default(),
            splits: RefCell::default(),
            fresh_until: Cell::new(Timestamp::ZERO),
            stop: Cell::new(None),
            ready: StopSignal::new(),
            delivery: Cell::default(),
            random: RefCell::new(random),
        }
    }

    /// Waits until a configuration and a list of leaves are in force, for a part of the time that is
    /// left until `deadline` and for no longer than the settings say. A request that waits has not
    /// run; told to come back it would find the same.
    pub async fn wait_until_ready(&self, deadline: Instant) {
        if self.ready.is_given() {
            return;
        }
        let left = deadline.saturating_duration_since(Instant::now());
        let longest = Duration::from_millis(self.settings.start_wait_ms.into());
        let wait = longest.min(left.mul_f64(START_WAIT_SHARE));
        // Without news the request is refused by what follows.
        let _ = timeout(wait, self.ready.given()).await;
    }

    /// Says that requests can be served, once they can.
    pub fn signal_if_ready(&self) {
        if self.leaves.is_listed() && self.table.borrow().is_some() && !self.ready.is_given() {
            self.ready.give();
        }
    }

    /// The configuration in force.
    pub fn table(&self) -> Option<Rc<RouteTable>> {
        self.table.borrow().clone()
    }

    /// Whether requests can be served: a configuration and a list of leaves are in force.
    pub fn is_ready(&self) -> bool {
        self.leaves.is_listed()
            && !self.is_out_of_date()
            && self.table.borrow().is_some()
            && !self.is_stopping()
    }

    /// When a caller is asked to come back while nothing is known yet.
    pub fn startup_retry_after(&self) -> Duration {
        let expected = Duration::from_millis(self.settings.start_ms.into());
        expected.saturating_sub(self.now().since(Timestamp::ZERO)).max(MIN_STARTUP_RETRY_AFTER)
    }

    /// What is held was confirmed, and counts until then.
    pub fn set_fresh_until(&self, until: Timestamp) {
        self.fresh_until.set(until);
    }

    /// Whether control confirmed lately what is held.
    pub fn is_fresh(&self) -> bool {
        self.now() < self.fresh_until.get()
    }

    /// Whether requests have to be refused because what is held may be out of date.
    pub fn is_out_of_date(&self) -> bool {
        let refuses = self.settings.out_of_touch == OutOfTouchSetting::Refuse;
        refuses && !self.is_fresh()
    }

    /// Whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stop.get().is_some()
    }

    /// The planned stop that has begun.
    pub fn planned_stop(&self) -> Option<PlannedStop> {
        self.stop.get()
    }

    /// A planned stop begins, unless one has.
    pub fn stop(&self) -> PlannedStop {
        let length = Duration::from_millis(self.settings.stop_ms.into());
        let stop = self.stop.get().unwrap_or_else(|| PlannedStop::begin(self.now(), length));
        self.stop.set(Some(stop));
        stop
    }

    /// Whether a request of a route is taken on: always, unless a planned stop may end before the
    /// request does.
    pub fn accepts(&self, route: &Route) -> bool {
        let Some(stop) = self.stop.get() else {
            return true;
        };
        let target = Duration::from_millis(route.target_latency_ms);
        let measured = self.latency(route, STOP_QUANTILE).unwrap_or_default();
        stop.takes(self.now(), target.max(measured))
    }

    /// Puts a configuration in force, unless one of this or a higher version is.
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

    /// Leaves of these zones get no new work; those of all others do.
    pub fn set_evacuated_zones(&self, zones: BTreeSet<ZoneName>) {
        self.leaves.set_evacuated_zones(zones, |service| self.service_limits(service).cold_start);
    }

    /// Takes over how far the roll-outs are. Connections are kept ready to other leaves from then on.
    pub fn apply_rollouts(&self, rollouts: Rollouts) {
        self.rollouts.put_in_force(rollouts);
        self.leaves.invalidate_plans();
    }

    /// The service of a split whose turn it is.
    pub fn next_of_split(&self, route: &Route, parts: &[WeightedService]) -> Option<ServiceName> {
        let mut splits = self.splits.borrow_mut();
        let turns = splits
            .entry(route.name.clone())
            .or_insert_with(|| SplitTurns::starting_at(self.random.borrow_mut().random()));
        turns.next(parts).map(|part| part.service.clone())
    }

    /// A number from 0 to 1.
    pub fn draw(&self) -> f64 {
        self.random.borrow_mut().random()
    }

    fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// What the leaves of a service bear from all brokers together.
    pub fn service_limits(&self, service: &ServiceName) -> ServiceLimits {
        let table = self.table.borrow();
        let known = table.as_ref().and_then(|table| table.service(service));
        known.map_or_else(ServiceLimits::default, |service| ServiceLimits {
            connections: service.connection_limit as usize,
            cold_start: service.cold_start,
        })
    }

    /// Up to `most` leaves of shards to which a connection is to be kept ready and none is open, each
    /// with its service.
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

    /// What admission has to know of a request.
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

    /// Records how long a leaf took for a request of a route.
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

    /// A merged answer took this long to leave.
    pub fn record_delivery(&self, took: Duration) {
        let mut delivery = self.delivery.get();
        delivery.observe(took);
        self.delivery.set(delivery);
    }

    /// When an answer is finished that should be with its caller `target` after its request was
    /// received.
    pub fn soft_deadline(&self, received: Timestamp, target: Duration) -> Timestamp {
        let margin = AnswerMargin {
            least: Duration::from_millis(self.settings.answer_margin_ms.into()),
            unobserved: Duration::from_millis(self.settings.first_delivery_ms.into()),
            most: Duration::from_millis(self.settings.longest_answer_margin_ms.into()),
        };
        margin.soft_moment(received, target, &self.delivery.get())
    }

    /// The latency that this share of the answers of a route keeps to, if enough are known.
    pub fn latency(&self, route: &Route, quantile: f64) -> Option<Duration> {
        self.latencies.borrow().get(&route.name)?.quantile(quantile)
    }
}
