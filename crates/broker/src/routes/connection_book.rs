//! Planning of connections to leaves: the plan of each service, the observed time of opening a
//! connection, and the leaves to which standby connections are paused.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use gingerkeel_domain::feed::KnownBroker;
use gingerkeel_domain::forwarding::{
    BrokerCensus, ConnectionPlan, Distance, PlanningBroker, SharingBrokers, connection_share,
};
use gingerkeel_domain::identifiers::{BrokerName, LeafIdentity, ServiceName, ZoneName};
use gingerkeel_domain::time::Timestamp;

/// Weight of a sample above the known open time, so that a busy moment at either end does not count
/// as network distance. A shorter sample replaces the known time at once.
const OPEN_TIME_RISE: f64 = 0.02;
/// Share of the target latency from which opening a connection is expensive: a hedge is sent after
/// about a third of the target, and the rest has room for one more round trip. With regions 30 ms
/// apart and targets of 120 ms, standby connections raised the answers in time from 0.69 to 0.88 of
/// the credit, over one simulated day each.
const EXPENSIVE_OPEN_SHARE: f64 = 0.3;
/// Age of the process from which standby connections are opened. Before, leaves may still hold
/// connections of the previous process and need the rest for requests.
const STANDBY_MIN_AGE: Duration = Duration::from_secs(5);
/// Time without standby connections to a leaf that accepted none.
const STANDBY_PAUSE: Duration = Duration::from_secs(2);

/// The plan of a service, with the connection limit of its leaves for which it was computed.
struct CachedPlan {
    accepted: usize,
    plan: Rc<ConnectionPlan>,
}

/// Plans connections to leaves.
pub struct ConnectionPlanner {
    name: BrokerName,
    zone: ZoneName,
    zone_regions: BTreeMap<String, String>,
    census: RefCell<BrokerCensus>,
    /// Cache, invalidated by each change of brokers, leaves or evacuations.
    plans: RefCell<BTreeMap<ServiceName, CachedPlan>>,
    /// Estimated time of opening a connection by distance, in seconds.
    open_seconds: RefCell<BTreeMap<Distance, f64>>,
    /// When the pause of standby connections to a leaf ends.
    standby_paused_until: RefCell<BTreeMap<LeafIdentity, Timestamp>>,
}

impl ConnectionPlanner {
    /// Creates the planner of a broker that knows no others yet. `zone_regions` maps zones to
    /// regions.
    pub fn new(name: BrokerName, zone: ZoneName, zone_regions: BTreeMap<String, String>) -> Self {
        Self {
            name,
            zone,
            zone_regions,
            census: RefCell::default(),
            plans: RefCell::default(),
            open_seconds: RefCell::default(),
            standby_paused_until: RefCell::default(),
        }
    }

    /// Replaces the set of brokers and invalidates all plans.
    pub fn set_brokers(&self, brokers: &[KnownBroker]) {
        let live = brokers.iter().filter(|broker| broker.live).map(|broker| &broker.entry);
        let placed = live.map(|entry| (entry.placement.zone.clone(), entry.name.clone()));
        *self.census.borrow_mut() = BrokerCensus::new(placed);
        self.invalidate_plans();
    }

    /// Invalidates all plans, after a change of which leaves take new work.
    pub fn invalidate_plans(&self) {
        self.plans.borrow_mut().clear();
    }

    /// Invalidates the plan of a service, after a change of its leaves.
    pub fn invalidate_plan(&self, service: &ServiceName) {
        self.plans.borrow_mut().remove(service);
    }

    /// Number of connections that this broker may open to a leaf of a zone, which accepts
    /// `accepted` from all brokers together.
    pub fn share(&self, accepted: usize, leaf_zone: &ZoneName) -> usize {
        let census = self.census.borrow();
        let in_zone = census.in_zone(leaf_zone);
        let brokers = SharingBrokers { in_zone, elsewhere: census.total().max(1) - in_zone };
        connection_share(accepted, brokers, *leaf_zone == self.zone)
    }

    /// The plan of standby connections of a service whose leaves accept `accepted` connections
    /// each. `leaves` returns those that take new work, with their zones, if the plan has to be
    /// computed.
    pub fn plan(
        &self,
        service: &ServiceName,
        accepted: usize,
        leaves: impl FnOnce() -> Vec<(LeafIdentity, ZoneName)>,
    ) -> Rc<ConnectionPlan> {
        let known = self.plans.borrow();
        if let Some(planned) = known.get(service).filter(|planned| planned.accepted == accepted) {
            return planned.plan.clone();
        }
        drop(known);
        let broker = PlanningBroker { name: &self.name, zone: &self.zone };
        let (census, regions) = (self.census.borrow(), &self.zone_regions);
        let plan = ConnectionPlan::new(service, &leaves(), accepted, broker, &census, regions);
        let plan = Rc::new(plan);
        let planned = CachedPlan { accepted, plan: plan.clone() };
        self.plans.borrow_mut().insert(service.clone(), planned);
        plan
    }

    /// Records the time of opening a connection to a leaf at this distance.
    pub fn record_open_time(&self, distance: Distance, took: Duration) {
        let took = took.as_secs_f64();
        let mut open_seconds = self.open_seconds.borrow_mut();
        let known = open_seconds.entry(distance).or_insert(took);
        *known = took.min(*known + OPEN_TIME_RISE * (took - *known));
    }

    /// Whether a process of this age keeps standby connections for requests with this target
    /// latency: only if opening a connection takes a large share of it. Idle connections have a
    /// cost: after a power loss of the broker, leaves still hold them and have none left for its
    /// successor.
    pub fn keeps_ready(&self, age: Duration, target: Duration) -> bool {
        let expensive_from = target.as_secs_f64() * EXPENSIVE_OPEN_SHARE;
        age >= STANDBY_MIN_AGE
            && self.open_seconds.borrow().values().any(|took| *took >= expensive_from)
    }

    /// Pauses standby connections to a leaf that accepted none.
    pub fn pause_standby(&self, now: Timestamp, leaf: &LeafIdentity) {
        let mut standby_paused_until = self.standby_paused_until.borrow_mut();
        standby_paused_until.retain(|_, until| now < *until);
        standby_paused_until.insert(leaf.clone(), now.after(STANDBY_PAUSE));
    }

    /// Whether standby connections to a leaf are paused.
    pub fn is_standby_paused(&self, now: Timestamp, leaf: &LeafIdentity) -> bool {
        self.standby_paused_until.borrow().get(leaf).is_some_and(|until| now < *until)
    }
}
