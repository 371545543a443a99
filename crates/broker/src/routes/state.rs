//! What the tasks that serve routes share: the configuration and the leaves in force, what was
//! observed of them, and the connections to them.
//!
//! All tasks run on one thread. The state is borrowed between two waits only, never across one.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use gingerkeel_domain::directory::{DirectoryDelta, LeafDirectory, ListedLeaf};
use gingerkeel_domain::forwarding::{
    Admitted, Connectivity, Distance, Ended, ExtraLoadBudget, ExtraLoadSettings, Outcome,
    OverloadGate, OverloadGateSettings, ReplicaSet, ReplicaSettings, Selection, SharingBrokers,
    SplitTurns, connection_share,
};
use gingerkeel_domain::identifiers::{LeafIdentity, ServiceName, ZoneName};
use gingerkeel_domain::routes::{Route, RouteConfiguration, RouteTable, WeightedService};
use gingerkeel_domain::tail::LatencyWindow;
use gingerkeel_domain::time::Timestamp;
use gingerkeel_settings::{BrokerSettings, OutOfTouchSetting, RouteSettings};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use tracing::{info, warn};

use super::dialect::Dialect;
use super::pool::{LeafConnection, LeafPool};
use super::route_metrics::RouteMetrics;
use crate::clock::Clock;

/// Least time after which a caller is asked to come back while nothing is known yet.
const LEAST_START_LEFT: Duration = Duration::from_millis(200);
/// Part of the time of a planned stop for which idle connections are kept.
const STOP_IDLE_SHARE: f64 = 0.4;

/// What is known of one service.
#[derive(Default)]
struct ServiceState {
    replicas: ReplicaSet,
    budget: ExtraLoadBudget,
}

#[derive(Default)]
struct Leaves {
    directory: LeafDirectory,
    services: BTreeMap<ServiceName, ServiceState>,
    pools: BTreeMap<LeafIdentity, LeafPool>,
}

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
    broker: BrokerSettings,
    extra: ExtraLoadSettings,
    replica_settings: ReplicaSettings,
    table: RefCell<Option<Rc<RouteTable>>>,
    leaves: RefCell<Leaves>,
    latencies: RefCell<BTreeMap<String, LatencyWindow>>,
    /// Turns of each route that splits its requests.
    splits: RefCell<BTreeMap<String, SplitTurns>>,
    gates: RefCell<BTreeMap<ServiceName, OverloadGate>>,
    gate_settings: OverloadGateSettings,
    /// How many brokers there are in each zone.
    brokers: RefCell<BTreeMap<ZoneName, usize>>,
    fresh_until: Cell<Timestamp>,
    stopping: Cell<bool>,
    random: RefCell<Pcg64>,
}

impl RouteState {
    /// Nothing is known yet.
    pub fn new(
        broker: BrokerSettings,
        settings: RouteSettings,
        dialect: Dialect,
        clock: Clock,
    ) -> Self {
        let seed = broker.seed.unwrap_or_else(|| rand::rng().random());
        let extra = ExtraLoadSettings {
            ratio: settings.extra_ratio,
            window: Duration::from_millis(settings.extra_window_ms.into()),
            slack: settings.extra_slack,
        };
        Self {
            dialect,
            settings,
            clock,
            metrics: RouteMetrics::default(),
            broker,
            extra,
            replica_settings: ReplicaSettings::default(),
            table: RefCell::default(),
            leaves: RefCell::default(),
            latencies: RefCell::default(),
            splits: RefCell::default(),
            gates: RefCell::default(),
            gate_settings: OverloadGateSettings::default(),
            brokers: RefCell::default(),
            fresh_until: Cell::new(Timestamp::ZERO),
            stopping: Cell::new(false),
            random: RefCell::new(Pcg64::seed_from_u64(seed)),
        }
    }

    /// The configuration in force.
    pub fn table(&self) -> Option<Rc<RouteTable>> {
        self.table.borrow().clone()
    }

    /// Whether requests can be served: a configuration and a list of leaves are in force.
    pub fn is_ready(&self) -> bool {
        self.has_leaves()
            && !self.is_out_of_date()
            && self.table.borrow().is_some()
            && !self.stopping.get()
    }

    /// Version of the list of leaves in force; 0 for none.
    pub fn directory_version(&self) -> u64 {
        self.leaves.borrow().directory.version().0
    }

    /// Whether a list of leaves is in force.
    pub fn has_leaves(&self) -> bool {
        self.directory_version() > 0
    }

    /// How long an idle connection is kept after a planned stop has begun.
    pub fn stop_idle_after(&self) -> Duration {
        Duration::from_millis(self.settings.stop_ms.into()).mul_f64(STOP_IDLE_SHARE)
    }

    /// When a caller is asked to come back while nothing is known yet.
    pub fn start_left(&self) -> Duration {
        let expected = Duration::from_millis(self.settings.start_ms.into());
        expected.saturating_sub(self.now().since(Timestamp::ZERO)).max(LEAST_START_LEFT)
    }

    /// What is held was confirmed, and counts until then.
    pub fn set_fresh_until(&self, until: Timestamp) {
        self.fresh_until.set(until);
    }

    /// Whether requests have to be refused because what is held may be out of date.
    pub fn is_out_of_date(&self) -> bool {
        let refuses = self.settings.out_of_touch == OutOfTouchSetting::Refuse;
        refuses && self.now() >= self.fresh_until.get()
    }

    /// Whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping.get()
    }

    /// A planned stop begins.
    pub fn stop(&self) {
        self.stopping.set(true);
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
        *self.table.borrow_mut() = Some(Rc::new(RouteTable::new(configuration)));
    }

    /// Takes a whole list of leaves over, unless it is older than the one in force.
    pub fn replace_directory(&self, directory: LeafDirectory) {
        let mut leaves = self.leaves.borrow_mut();
        if directory.version() >= leaves.directory.version() {
            leaves.directory = directory;
            self.list(&mut leaves);
        }
    }

    /// Takes a change of the list over.
    pub fn change_directory(&self, delta: &DirectoryDelta) {
        let mut leaves = self.leaves.borrow_mut();
        if leaves.directory.apply(delta) {
            self.list(&mut leaves);
        } else if delta.base > leaves.directory.version() {
            let held = leaves.directory.version().0;
            warn!(event = "directory_gap", held, base = delta.base.0);
        }
    }

    /// The zones of all brokers that share the leaves.
    pub fn set_brokers(&self, zones: &[ZoneName]) {
        let mut counts = BTreeMap::new();
        for zone in zones {
            *counts.entry(zone.clone()).or_insert(0) += 1;
        }
        *self.brokers.borrow_mut() = counts;
    }

    fn broker_count(&self) -> usize {
        self.brokers.borrow().values().sum::<usize>().max(1)
    }

    fn list(&self, leaves: &mut Leaves) {
        let Leaves { directory, services, pools } = leaves;
        for leaf in directory.leaves().values() {
            let service = services.entry(leaf.service.clone()).or_default();
            service.replicas.list(leaf, self.distance(leaf));
        }
        for service in services.values_mut() {
            service.replicas.retain(|identity| directory.leaves().contains_key(identity));
        }
        pools.retain(|identity, _| directory.leaves().contains_key(identity));
        let version = directory.version().0;
        info!(event = "directory_in_force", version, leaves = directory.leaves().len());
    }

    fn distance(&self, leaf: &ListedLeaf) -> Distance {
        if leaf.zone.as_str() == self.broker.zone {
            return Distance::Zone;
        }
        let own = self.settings.zone_regions.get(&self.broker.zone);
        let same_region =
            own.is_some() && own == self.settings.zone_regions.get(leaf.zone.as_str());
        if same_region { Distance::Region } else { Distance::Far }
    }

    /// A number from 0 to 1.
    pub fn draw(&self) -> f64 {
        self.random.borrow_mut().random()
    }

    /// The service of a split whose turn it is.
    pub fn next_of_split(&self, route: &Route, parts: &[WeightedService]) -> Option<ServiceName> {
        let mut splits = self.splits.borrow_mut();
        let turns = splits
            .entry(route.name.clone())
            .or_insert_with(|| SplitTurns::starting_at(parts, self.random.borrow_mut().random()));
        turns.next(parts).map(|part| part.service.clone())
    }

    fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Chooses a leaf of a service other than those tried.
    pub fn choose(&self, service: &ServiceName, tried: &[LeafIdentity]) -> Selection {
        let leaves = self.leaves.borrow();
        let Some(state) = leaves.services.get(service) else {
            return Selection::Nobody;
        };
        let connectivity = |leaf: &LeafIdentity| match leaves.directory.leaves().get(leaf) {
            Some(leaf) => self.connectivity(&leaves, service, leaf),
            None => Connectivity::Exhausted,
        };
        let settings = &self.replica_settings;
        state.replicas.choose(self.now(), settings, tried, connectivity, || self.draw())
    }

    fn connectivity(
        &self,
        leaves: &Leaves,
        service: &ServiceName,
        leaf: &ListedLeaf,
    ) -> Connectivity {
        let Some(pool) = leaves.pools.get(&leaf.identity) else {
            return Connectivity::Openable;
        };
        if pool.has_idle() {
            Connectivity::Idle
        } else if pool.has_room(self.connection_limit(service, leaf)) {
            Connectivity::Openable
        } else {
            Connectivity::Exhausted
        }
    }

    /// Whether a request of a route is served now.
    pub fn admit(&self, table: &RouteTable, route: &Route) -> Admitted {
        let Some(service) = route.destination.representative() else {
            return Admitted::Yes;
        };
        let mut gates = self.gates.borrow_mut();
        let gate = gates.entry(service.clone()).or_default();
        gate.admit(self.now(), &self.gate_settings, table.rank(route))
    }

    /// A request that was admitted has ended.
    pub fn request_ended(&self, route: &Route, ended: Ended) {
        let now = self.now();
        let mut gates = self.gates.borrow_mut();
        let gate = route.destination.representative().and_then(|service| gates.get_mut(service));
        let Some(gate) = gate else {
            return;
        };
        let limiting = gate.is_limiting();
        gate.finish(now, &self.gate_settings, ended);
        if gate.is_limiting() != limiting {
            let (limited, in_flight) = (!limiting, gate.in_flight());
            info!(event = "admission_changed", route = route.name, limited, in_flight);
        }
    }

    /// Whether leaves of a route run short of capacity.
    pub fn is_overloaded(&self, route: &Route) -> bool {
        let gates = self.gates.borrow();
        let gate = route.destination.representative().and_then(|service| gates.get(service));
        gate.is_some_and(OverloadGate::is_limiting)
    }

    /// A leaf as the directory lists it.
    pub fn leaf(&self, identity: &LeafIdentity) -> Option<ListedLeaf> {
        self.leaves.borrow().directory.leaves().get(identity).cloned()
    }

    /// A request for a service begins: it may be sent to one leaf.
    pub fn earn(&self, service: &ServiceName) {
        let now = self.now();
        let mut leaves = self.leaves.borrow_mut();
        let state = leaves.services.entry(service.clone()).or_default();
        state.budget.earn(&self.extra, now);
    }

    /// Takes one extra request out of the budget of a service; false when there is no room.
    pub fn take_extra(&self, service: &ServiceName) -> bool {
        let (now, brokers) = (self.now(), self.broker_count());
        let mut leaves = self.leaves.borrow_mut();
        let state = leaves.services.get_mut(service);
        state.is_some_and(|state| state.budget.take(&self.extra, now, brokers))
    }

    /// An attempt begins.
    pub fn begin(&self, service: &ServiceName, leaf: &LeafIdentity) {
        self.with_replicas(service, |replicas, _, _| replicas.begin(leaf));
    }

    /// An attempt has waited longer than expected.
    pub fn late(&self, service: &ServiceName, leaf: &LeafIdentity) {
        self.with_replicas(service, |replicas, now, settings| replicas.late(now, settings, leaf));
    }

    /// An attempt got no answer at all.
    pub fn silent(&self, service: &ServiceName, leaf: &LeafIdentity) {
        self.with_replicas(service, |replicas, now, settings| replicas.silent(now, settings, leaf));
    }

    /// An attempt has ended.
    pub fn finish(&self, service: &ServiceName, leaf: &LeafIdentity, outcome: Outcome) {
        self.with_replicas(service, |replicas, now, settings| {
            replicas.finish(now, settings, leaf, outcome);
        });
    }

    fn with_replicas(
        &self,
        service: &ServiceName,
        change: impl FnOnce(&mut ReplicaSet, Timestamp, &ReplicaSettings),
    ) {
        let now = self.now();
        if let Some(state) = self.leaves.borrow_mut().services.get_mut(service) {
            change(&mut state.replicas, now, &self.replica_settings);
        }
    }

    /// An idle connection to a leaf.
    pub fn take_idle(&self, leaf: &LeafIdentity) -> Option<LeafConnection> {
        self.leaves.borrow_mut().pools.get_mut(leaf)?.take_idle()
    }

    /// Counts a connection that is about to be opened, unless this broker has its share of those
    /// that the leaf accepts.
    pub fn admit_connection(&self, service: &ServiceName, leaf: &ListedLeaf) -> bool {
        let limit = self.connection_limit(service, leaf);
        self.leaves.borrow_mut().pools.entry(leaf.identity.clone()).or_default().admit(limit)
    }

    /// How many connections to a leaf this broker may have.
    fn connection_limit(&self, service: &ServiceName, leaf: &ListedLeaf) -> usize {
        let table = self.table();
        let known = table.as_ref().and_then(|table| table.service(service));
        let accepted = known.map_or(usize::MAX, |service| service.connection_limit as usize);
        let in_zone = self.brokers.borrow().get(&leaf.zone).copied().unwrap_or(0);
        let brokers = SharingBrokers { in_zone, elsewhere: self.broker_count() - in_zone };
        connection_share(accepted, brokers, leaf.zone.as_str() == self.broker.zone)
    }

    /// A connection to a leaf is closed.
    pub fn connection_closed(&self, leaf: &LeafIdentity) {
        if let Some(pool) = self.leaves.borrow_mut().pools.get_mut(leaf) {
            pool.closed();
        }
    }

    /// A connection to a leaf is idle again. That to a leaf which is gone is closed.
    pub fn give_back(&self, leaf: &LeafIdentity, connection: LeafConnection) {
        if let Some(pool) = self.leaves.borrow_mut().pools.get_mut(leaf) {
            pool.give_back(connection);
        }
    }

    /// Closes idle connections whose time is over.
    pub fn close_expired(&self) {
        self.leaves.borrow_mut().pools.values_mut().for_each(LeafPool::close_expired);
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

    /// The latency that this share of the answers of a route keeps to, if enough are known.
    pub fn latency(&self, route: &Route, quantile: f64) -> Option<Duration> {
        self.latencies.borrow().get(&route.name)?.quantile(quantile)
    }
}
