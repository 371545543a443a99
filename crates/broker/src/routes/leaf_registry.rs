//! The leaves that a broker knows: the directory in force, observations of each leaf, the budget of
//! extra requests of each service, and the connection pools.
//!
//! No borrow of the state is held across an `await`.

mod choice;

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use gingerkeel_domain::directory::{DirectoryDelta, LeafAvailability, LeafDirectory, ListedLeaf};
use gingerkeel_domain::feed::KnownBroker;
use gingerkeel_domain::forwarding::{
    ColdShare, ColdStart, ConnectionPlan, Connectivity, Distance, ExtraLoadSettings,
    ExtraLoadShare, LoadReport, Outcome, ReplicaSet, ReplicaSettings,
};
use gingerkeel_domain::identifiers::{BrokerName, LeafIdentity, ServiceName, ZoneName};
use gingerkeel_domain::leaf_warnings::{
    LeafObservation, LeafWarning, ObservationLog, ObservedOutcome,
};
use gingerkeel_domain::time::Timestamp;
use gingerkeel_settings::{BrokerSettings, RouteSettings};
use gingerkeel_transport::Clock;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use tracing::{info, warn};

use super::cold_shares::ColdShareCache;
use super::connection_book::ConnectionPlanner;
use super::extra_load::ExtraLoadTotals;
use super::known_leaves::{Leaves, ServiceLimits};
use super::pool::{ConnectionNumber, LeafConnection, LeafPool};

pub use choice::RequestContext;

/// The leaves that a broker knows.
pub struct LeafRegistry {
    clock: Clock,
    /// The zone of this broker.
    zone: ZoneName,
    /// The region of each zone.
    zone_regions: BTreeMap<String, String>,
    extra: ExtraLoadSettings,
    replica_settings: ReplicaSettings,
    leaves: RefCell<Leaves>,
    /// Evacuated zones, whose leaves get no new work.
    evacuated: RefCell<BTreeSet<ZoneName>>,
    connections: ConnectionPlanner,
    /// The brokers that share the capacity of the leaves, including those that may be partitioned
    /// off; empty until they are known.
    sharing_brokers: RefCell<Vec<KnownBroker>>,
    cold_shares: ColdShareCache,
    /// Observations of slow and failing leaves for the next report.
    observations: RefCell<ObservationLog>,
    random: RefCell<Pcg64>,
}

impl LeafRegistry {
    /// Creates a registry without leaves.
    pub fn new(clock: Clock, broker: &BrokerSettings, settings: &RouteSettings, seed: u64) -> Self {
        let extra = ExtraLoadSettings {
            ratio: settings.extra_ratio,
            window: Duration::from_millis(settings.extra_window_ms.into()),
            slack: settings.extra_slack,
        };
        let (name, zone) = (BrokerName::new(&broker.name), ZoneName::new(&broker.zone));
        let zone_regions = settings.zone_regions.clone();
        Self {
            clock,
            connections: ConnectionPlanner::new(name.clone(), zone.clone(), zone_regions.clone()),
            zone,
            zone_regions: zone_regions.clone(),
            extra,
            replica_settings: ReplicaSettings {
                address_reuse: Duration::from_millis(settings.address_reuse_ms.into()),
                list_lag: Duration::from_millis(settings.list_lag_ms.into()),
                ..ReplicaSettings::default()
            },
            leaves: RefCell::default(),
            evacuated: RefCell::default(),
            sharing_brokers: RefCell::default(),
            cold_shares: ColdShareCache::new(name, zone_regions),
            observations: RefCell::default(),
            random: RefCell::new(Pcg64::seed_from_u64(seed)),
        }
    }

    /// Version of the directory in force; 0 for none.
    pub fn version(&self) -> u64 {
        self.leaves.borrow().directory.version().0
    }

    /// Whether a directory is in force.
    pub fn is_listed(&self) -> bool {
        self.version() > 0
    }

    /// Replaces the directory, unless the new one is older than the one in force.
    pub fn replace_directory(&self, directory: LeafDirectory) {
        let mut leaves = self.leaves.borrow_mut();
        if directory.version() >= leaves.directory.version() {
            leaves.directory = directory;
            let all: Vec<ListedLeaf> = leaves.directory.leaves().values().cloned().collect();
            self.apply_listing(&mut leaves, &all);
        }
    }

    /// Applies a change to the directory; logs a gap if changes before it are missing.
    pub fn change_directory(&self, delta: &DirectoryDelta) {
        let mut leaves = self.leaves.borrow_mut();
        if leaves.directory.apply(delta) {
            self.apply_listing(&mut leaves, &delta.changed);
        } else if delta.base > leaves.directory.version() {
            let held = leaves.directory.version().0;
            warn!(event = "directory_gap", held, base = delta.base.0);
        }
    }

    /// Replaces the set of brokers that share the leaves.
    pub fn set_brokers(&self, brokers: Vec<KnownBroker>) {
        self.connections.set_brokers(&brokers);
        self.invalidate_cold_shares();
        *self.sharing_brokers.borrow_mut() = brokers;
    }

    /// Sets the zones whose leaves get no new work. `cold_start` returns the cold start of a
    /// service, which applies to leaves of restored zones.
    pub fn set_evacuated_zones(
        &self,
        zones: BTreeSet<ZoneName>,
        cold_start: impl Fn(&ServiceName) -> ColdStart,
    ) {
        let before = self.evacuated.replace(zones);
        let evacuated = self.evacuated.borrow();
        if before == *evacuated {
            return;
        }
        self.connections.invalidate_plans();
        self.mark_restored_cold(before.difference(&evacuated), cold_start);
        let named: Vec<&str> = evacuated.iter().map(ZoneName::as_str).collect();
        info!(event = "zones_evacuated", count = named.len(), zones = named.join(","));
    }

    /// Marks leaves of restored zones as cold for as long as after a start: they may have lost
    /// their caches, and the directory lags.
    fn mark_restored_cold<'zones>(
        &self,
        zones: impl Iterator<Item = &'zones ZoneName>,
        cold_start: impl Fn(&ServiceName) -> ColdStart,
    ) {
        let restored: BTreeSet<&ZoneName> = zones.collect();
        let now = self.clock.now();
        let mut leaves = self.leaves.borrow_mut();
        let Leaves { directory, cold, .. } = &mut *leaves;
        for leaf in directory.leaves().values().filter(|leaf| restored.contains(&leaf.zone)) {
            cold.mark_cold(&leaf.identity, now.after(cold_start(&leaf.service).span()));
        }
    }

    /// Invalidates the plans of standby connections.
    pub fn invalidate_plans(&self) {
        self.connections.invalidate_plans();
    }

    /// Number of evacuated zones.
    pub fn evacuated_zones(&self) -> usize {
        self.evacuated.borrow().len()
    }

    /// Updates the state of leaves that are new or changed in the directory, and drops removed
    /// ones.
    fn apply_listing(&self, leaves: &mut Leaves, changed: &[ListedLeaf]) {
        let now = self.clock.now();
        self.invalidate_cold_shares();
        let share = self.extra_share();
        let Leaves { directory, services, pools, cold, misdirected } = leaves;
        cold.forget_warm(now);
        for leaf in changed {
            self.connections.invalidate_plan(&leaf.service);
            if leaf.cold_ms > 0 {
                cold.mark_cold(&leaf.identity, now.after(Duration::from_millis(leaf.cold_ms)));
            }
            let service = services.entry(leaf.service.clone()).or_default();
            if !service.replicas.list(now, leaf, self.distance(leaf)) {
                continue;
            }
            for _ in 0..misdirected.take(now, self.extra.window, leaf.address) {
                service.extra.cover(&share, now);
            }
        }
        for (name, service) in services.iter_mut() {
            let listed = |identity: &LeafIdentity| directory.leaves().contains_key(identity);
            if !service.replicas.identities().all(listed) {
                service.replicas.retain(listed);
                self.connections.invalidate_plan(name);
            }
        }
        pools.retain(|identity, _| directory.leaves().contains_key(identity));
        let version = directory.version().0;
        info!(event = "directory_in_force", version, leaves = directory.leaves().len());
    }

    /// Distance from this broker to a leaf.
    pub fn distance(&self, leaf: &ListedLeaf) -> Distance {
        Distance::between(&self.zone, &leaf.zone, &self.zone_regions)
    }

    /// The region of a leaf, if the settings name it.
    fn region(&self, leaf: &ListedLeaf) -> Option<&str> {
        self.zone_regions.get(leaf.zone.as_str()).map(String::as_str)
    }

    /// Age of the process: the clock starts with it.
    fn age(&self) -> Duration {
        self.clock.now().since(Timestamp::ZERO)
    }

    fn draw(&self) -> f64 {
        self.random.borrow_mut().random()
    }

    /// Whether a leaf is warm, or this broker's share of its cold rate has room.
    fn is_within_cold_rate(
        &self,
        leaves: &Leaves,
        limits: ServiceLimits,
        leaf: &ListedLeaf,
    ) -> bool {
        let now = self.clock.now();
        !limits.cold_start.is_limited()
            || !leaves.cold.is_cold(now, &leaf.identity)
            || leaves.cold.has_room(now, &leaf.identity, self.cold_share(limits, leaf))
    }

    /// Invalidates the shares of cold leaves, after services may have changed their rates.
    pub fn invalidate_cold_shares(&self) {
        self.cold_shares.invalidate();
    }

    /// This broker's share of the rate of a cold leaf.
    fn cold_share(&self, limits: ServiceLimits, leaf: &ListedLeaf) -> ColdShare {
        let brokers = self.sharing_brokers.borrow();
        self.cold_shares.of(limits.cold_start, leaf, self.age(), &brokers)
    }

    /// Counts a request that is about to be sent against the cold rate of its leaf.
    pub fn request_sent(&self, leaf: &ListedLeaf, limits: ServiceLimits) {
        let now = self.clock.now();
        let limited = limits.cold_start.is_limited();
        if limited && self.leaves.borrow().cold.is_cold(now, &leaf.identity) {
            let share = self.cold_share(limits, leaf);
            self.leaves.borrow_mut().cold.sent(now, &leaf.identity, share);
        }
    }

    /// Number of cold leaves.
    pub fn cold_leaves(&self) -> usize {
        self.leaves.borrow().cold.count(self.clock.now())
    }

    fn connectivity(&self, leaves: &Leaves, accepted: usize, leaf: &ListedLeaf) -> Connectivity {
        let Some(pool) = leaves.pools.get(&leaf.identity) else {
            return Connectivity::Openable;
        };
        if pool.has_idle() {
            Connectivity::Idle
        } else if pool.has_room(self.connections.share(accepted, &leaf.zone)) {
            Connectivity::Openable
        } else {
            Connectivity::Exhausted
        }
    }

    /// The directory entry of a leaf.
    pub fn leaf(&self, identity: &LeafIdentity) -> Option<ListedLeaf> {
        self.leaves.borrow().directory.leaves().get(identity).cloned()
    }

    /// Counts the first attempt of a request, which adds to the budget of extra requests.
    pub fn count_first_request(&self, service: &ServiceName) {
        let now = self.clock.now();
        let mut leaves = self.leaves.borrow_mut();
        let state = leaves.services.entry(service.clone()).or_default();
        state.extra.earn(&self.extra_share(), now);
    }

    /// Takes one extra request out of the budget of a service; false if there is no room.
    pub fn take_extra(&self, service: &ServiceName) -> bool {
        let now = self.clock.now();
        let share = self.extra_share();
        let mut leaves = self.leaves.borrow_mut();
        let Some(state) = leaves.services.get_mut(service) else {
            return false;
        };
        let taken = state.extra.take(&share, now);
        if !taken && let Some(totals) = state.extra.report_spent(now, self.extra.window) {
            self.log_extra_load_spent(service, totals);
        }
        taken
    }

    /// This broker's share of the extra requests of any one service.
    fn extra_share(&self) -> ExtraLoadShare {
        ExtraLoadShare::of(&self.extra, self.sharing_brokers.borrow().len())
    }

    /// Logs the totals of a service with a spent budget. Compared over brokers and lines, they show
    /// which requests used it up.
    fn log_extra_load_spent(&self, service: &ServiceName, totals: ExtraLoadTotals) {
        let ExtraLoadTotals { first, extra, refused } = totals;
        let brokers = self.sharing_brokers.borrow().len();
        let age_ms = self.age().as_millis() as u64;
        info!(event = "extra_load_spent", %service, first, extra, refused, brokers, age_ms);
    }

    /// Records the conduct of a leaf in a request that began at `began`, relative to the other
    /// leaves of the request. Slowness of a leaf in another region is left out: distance may be the
    /// cause.
    pub fn observe(&self, leaf: &LeafIdentity, began: Timestamp, conduct: ObservedOutcome) {
        let leaves = self.leaves.borrow();
        let Some(listed) = leaves.directory.leaves().get(leaf) else {
            return;
        };
        let by_distance = !matches!(conduct, ObservedOutcome::Failed | ObservedOutcome::Refused);
        if !by_distance || self.distance(listed) != Distance::Far {
            self.observations.borrow_mut().observe(self.clock.now(), leaf, began, conduct);
        }
    }

    /// Takes the observations since the last call.
    pub fn take_observations(&self) -> Vec<LeafObservation> {
        self.observations.borrow_mut().take(self.clock.now())
    }

    /// Applies warnings of leaves that many brokers observe as slow or failing.
    pub fn apply_warnings(&self, warnings: &[LeafWarning]) {
        let now = self.clock.now();
        let mut leaves = self.leaves.borrow_mut();
        let Leaves { directory, services, .. } = &mut *leaves;
        for warning in warnings {
            let listed = directory.leaves().get(&warning.leaf);
            if let Some(service) = listed.and_then(|leaf| services.get_mut(&leaf.service)) {
                let until = now.after(Duration::from_millis(warning.for_ms.into()));
                service.replicas.warn(now, &warning.leaf, warning.cause, until);
            }
        }
        let named: Vec<&str> = warnings.iter().map(|warning| warning.leaf.as_str()).collect();
        info!(event = "leaves_avoided", count = named.len(), leaves = named.join(","));
    }

    /// Counts an attempt as in flight.
    pub fn attempt_started(&self, service: &ServiceName, leaf: &LeafIdentity) {
        self.with_replicas(service, |replicas, _, _| replicas.begin(leaf));
    }

    /// Records that an attempt takes longer than expected.
    pub fn attempt_late(&self, service: &ServiceName, leaf: &LeafIdentity) {
        self.with_replicas(service, |replicas, now, settings| {
            replicas.mark_late(now, settings, leaf)
        });
    }

    /// Records that an abandoned attempt got no reply at all.
    pub fn attempt_silent(&self, service: &ServiceName, leaf: &LeafIdentity) {
        self.with_replicas(service, |replicas, now, settings| {
            replicas.mark_silent(now, settings, leaf)
        });
    }

    /// Records the load that a leaf reported with a reply.
    pub fn load_reported(&self, service: &ServiceName, leaf: &LeafIdentity, report: LoadReport) {
        self.with_replicas(service, |replicas, now, _| replicas.record_load(now, leaf, report));
    }

    /// The load that a leaf reported recently, if any.
    pub fn reported_load(&self, service: &ServiceName, leaf: &LeafIdentity) -> Option<LoadReport> {
        let leaves = self.leaves.borrow();
        leaves.services.get(service)?.replicas.load(self.clock.now(), leaf)
    }

    /// Records the outcome of an attempt.
    pub fn attempt_finished(&self, service: &ServiceName, leaf: &LeafIdentity, outcome: Outcome) {
        if outcome == Outcome::AddressTaken {
            let now = self.clock.now();
            let share = self.extra_share();
            self.leaves.borrow_mut().cover_misdirected(now, &share, leaf);
        }
        self.with_replicas(service, |replicas, now, settings| {
            replicas.finish(now, settings, leaf, outcome);
        });
    }

    fn with_replicas(
        &self,
        service: &ServiceName,
        change: impl FnOnce(&mut ReplicaSet, Timestamp, &ReplicaSettings),
    ) {
        let now = self.clock.now();
        if let Some(state) = self.leaves.borrow_mut().services.get_mut(service) {
            change(&mut state.replicas, now, &self.replica_settings);
        }
    }

    /// Takes an idle connection to a leaf other than `excluded`, if there is one.
    pub fn take_idle(
        &self,
        leaf: &LeafIdentity,
        excluded: &[ConnectionNumber],
    ) -> Option<LeafConnection> {
        self.leaves.borrow_mut().pools.get_mut(leaf)?.take_idle(excluded)
    }

    /// Reserves a connection that is about to be opened; false if this broker has used up its share
    /// of those that the leaf accepts.
    pub fn reserve_connection(&self, accepted: usize, leaf: &ListedLeaf) -> bool {
        let limit = self.connections.share(accepted, &leaf.zone);
        self.leaves.borrow_mut().pools.entry(leaf.identity.clone()).or_default().reserve(limit)
    }

    /// The plan of standby connections to leaves of a service.
    fn plan(&self, leaves: &Leaves, service: &ServiceName, accepted: usize) -> Rc<ConnectionPlan> {
        self.connections.plan(service, accepted, || self.serving_leaves(leaves, service))
    }

    /// The leaves of a service that take new work, with their zones.
    fn serving_leaves(
        &self,
        leaves: &Leaves,
        service: &ServiceName,
    ) -> Vec<(LeafIdentity, ZoneName)> {
        let evacuated = self.evacuated.borrow();
        let usable = |leaf: &&ListedLeaf| {
            leaf.availability == LeafAvailability::Ready && !evacuated.contains(&leaf.zone)
        };
        let known = leaves.services.get(service).into_iter();
        let known = known.flat_map(|state| state.replicas.identities());
        let listed = known.filter_map(|identity| leaves.directory.leaves().get(identity));
        listed.filter(usable).map(|leaf| (leaf.identity.clone(), leaf.zone.clone())).collect()
    }

    /// Records the time of opening a connection to a leaf.
    pub fn connection_opened(&self, leaf: &ListedLeaf, took: Duration) {
        self.connections.record_open_time(self.distance(leaf), took);
        self.connect_succeeded(leaf);
    }

    /// Records that a connection to the address of a leaf was accepted.
    pub fn connect_succeeded(&self, leaf: &ListedLeaf) {
        self.with_replicas(&leaf.service, |replicas, now, settings| {
            replicas.record_connection_accepted(now, settings, &leaf.identity);
        });
    }

    /// Records that nothing listens at the address of a leaf.
    pub fn connect_refused(&self, leaf: &ListedLeaf) {
        self.with_replicas(&leaf.service, |replicas, _, _| {
            replicas.record_connection_refused(&leaf.identity);
        });
    }

    /// Returns the leaves whose liveness is to be probed; logs those that are newly presumed ended.
    pub fn leaves_to_probe(&self) -> Vec<ListedLeaf> {
        let now = self.clock.now();
        let mut leaves = self.leaves.borrow_mut();
        let Leaves { directory, services, .. } = &mut *leaves;
        let mut to_check = Vec::new();
        for (name, service) in services.iter_mut() {
            let missing = service.replicas.check_unresponsive(now, &self.replica_settings);
            for leaf in missing.presumed_ended {
                info!(event = "leaf_presumed_ended", service = %name, %leaf);
            }
            let listed = missing.to_check.iter().filter_map(|leaf| directory.leaves().get(leaf));
            to_check.extend(listed.cloned());
        }
        to_check
    }

    /// Whether standby connections are kept for requests with this target latency.
    pub fn keeps_ready(&self, target: Duration) -> bool {
        self.connections.keeps_ready(self.age(), target)
    }

    /// Leaves of a service to which a standby connection is planned and none is open, the nearest
    /// first. Leaves that are out of service are skipped.
    pub fn leaves_needing_connection(
        &self,
        service: &ServiceName,
        limits: ServiceLimits,
    ) -> Vec<ListedLeaf> {
        let now = self.clock.now();
        let leaves = self.leaves.borrow();
        let Some(state) = leaves.services.get(service) else {
            return Vec::new();
        };
        let wanted = |identity: &&LeafIdentity| {
            let open = leaves.pools.get(*identity).is_some_and(LeafPool::is_open);
            let waits = self.connections.is_standby_paused(now, identity);
            !open && !waits && state.replicas.is_in_service(identity, now, &self.replica_settings)
        };
        let plan = self.plan(&leaves, service, limits.connections);
        let identities = plan.ready().iter().filter(wanted);
        identities.filter_map(|leaf| leaves.directory.leaves().get(leaf)).cloned().collect()
    }

    /// Pauses standby connections to a leaf that accepted none.
    pub fn pause_standby(&self, leaf: &LeafIdentity) {
        self.connections.pause_standby(self.clock.now(), leaf);
    }

    /// How long leaves of a service keep idle connections, as they last stated.
    pub fn keep_alive_timeout(&self, service: &ServiceName) -> Option<Duration> {
        self.leaves.borrow().services.get(service)?.keep_alive_timeout
    }

    /// Records how long a leaf of a service keeps idle connections, if it stated that.
    pub fn record_keep_alive_timeout(&self, service: &ServiceName, stated: Option<Duration>) {
        if let Some(state) = self.leaves.borrow_mut().services.get_mut(service) {
            state.keep_alive_timeout = stated.or(state.keep_alive_timeout);
        }
    }

    /// Records that a leaf replied on a new connection.
    pub fn connection_accepted(&self, leaf: &LeafIdentity) {
        if let Some(pool) = self.leaves.borrow_mut().pools.get_mut(leaf) {
            pool.connection_accepted();
        }
    }

    /// Records that a leaf reset a new connection, which still counts as open; returns whether
    /// others to the leaf are open.
    pub fn connection_reset(&self, leaf: &LeafIdentity) -> bool {
        self.leaves.borrow_mut().pools.get_mut(leaf).is_some_and(LeafPool::connection_reset)
    }

    /// Releases a connection to a leaf that was closed.
    pub fn connection_closed(&self, leaf: &LeafIdentity) {
        if let Some(pool) = self.leaves.borrow_mut().pools.get_mut(leaf) {
            pool.connection_closed();
        }
    }

    /// Returns a connection to the idle pool of its leaf; closes it if the leaf is no longer
    /// listed.
    pub fn return_connection(&self, leaf: &LeafIdentity, connection: LeafConnection) {
        if let Some(pool) = self.leaves.borrow_mut().pools.get_mut(leaf) {
            pool.return_connection(connection);
        }
    }

    /// Closes idle connections past their keep-alive timeout.
    pub fn close_expired(&self) {
        self.leaves.borrow_mut().pools.values_mut().for_each(LeafPool::close_expired);
    }
}
