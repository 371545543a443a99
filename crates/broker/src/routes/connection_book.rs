//! What this broker decides about connections to leaves: its plan for each service, what opening one is
//! observed to take, and which leaves are left alone for a while.

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

/// How fast the time of opening a connection follows longer ones: what a busy moment adds at either end is
/// not the way there. A shorter one counts at once.
const OPEN_TIME_RISE: f64 = 0.02;
/// Part of the target latency from which on opening a connection is dear: a hedge leaves after about a
/// third of the target, and what is left has room for the way to the leaf and back once more. With regions
/// 30 ms apart and targets of 120 ms, connections kept ready raised the answers in time from 0.69 to 0.88
/// of the credit, on one simulated day each.
const EXPENSIVE_OPEN_SHARE: f64 = 0.3;
/// Age of the process from which connections are kept ready. Leaves may still hold those of whatever ran
/// before it, and have none to spare but for requests.
const STANDBY_MIN_AGE: Duration = Duration::from_secs(5);
/// Time for which no connection is kept ready to a leaf that took none.
const STANDBY_PAUSE: Duration = Duration::from_secs(2);

/// The plan of a service, and the connections accepted by each leaf for which it was made.
struct CachedPlan {
    accepted: usize,
    plan: Rc<ConnectionPlan>,
}

/// Decisions about connections.
pub struct ConnectionPlanner {
    name: BrokerName,
    zone: ZoneName,
    zone_regions: BTreeMap<String, String>,
    census: RefCell<BrokerCensus>,
    /// Forgotten with every change of brokers, leaves or evacuations.
    plans: RefCell<BTreeMap<ServiceName, CachedPlan>>,
    /// What opening a connection takes at least, in seconds; by distance.
    open_seconds: RefCell<BTreeMap<Distance, f64>>,
    /// Leaves to which no connection is kept ready until then.
    standby_paused_until: RefCell<BTreeMap<LeafIdentity, Timestamp>>,
}

impl ConnectionPlanner {
    /// The book of a broker that knows no others yet. `zone_regions` gives the region of each zone.
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

    /// The brokers have changed.
    pub fn set_brokers(&self, brokers: &[KnownBroker]) {
        let live = brokers.iter().filter(|broker| broker.live).map(|broker| &broker.entry);
        let placed = live.map(|entry| (entry.placement.zone.clone(), entry.name.clone()));
        *self.census.borrow_mut() = BrokerCensus::new(placed);
        self.invalidate_plans();
    }

    /// Which leaves take new work has changed anywhere.
    pub fn invalidate_plans(&self) {
        self.plans.borrow_mut().clear();
    }

    /// The leaves of a service have changed.
    pub fn invalidate_plan(&self, service: &ServiceName) {
        self.plans.borrow_mut().remove(service);
    }

    /// How many connections this broker may open to a leaf of a zone that accepts `accepted` from all.
    pub fn share(&self, accepted: usize, leaf_zone: &ZoneName) -> usize {
        let census = self.census.borrow();
        let in_zone = census.in_zone(leaf_zone);
        let brokers = SharingBrokers { in_zone, elsewhere: census.total().max(1) - in_zone };
        connection_share(accepted, brokers, *leaf_zone == self.zone)
    }

    /// What is kept ready of the leaves of a service, each of which accepts `accepted` connections. `leaves` gives those
    /// that take new work with their zones, when a plan has to be made.
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

    /// A connection to a leaf at this distance was opened in this time.
    pub fn record_open_time(&self, distance: Distance, took: Duration) {
        let took = took.as_secs_f64();
        let mut open_seconds = self.open_seconds.borrow_mut();
        let known = open_seconds.entry(distance).or_insert(took);
        *known = took.min(*known + OPEN_TIME_RISE * (took - *known));
    }

    /// Whether a process of this age keeps connections ready for requests with this target latency:
    /// where opening one is observed to take a large part of it. Idle connections have a price, too: leaves
    /// hold those of a broker that lost its power, and have none to spare for its successor.
    pub fn keeps_ready(&self, age: Duration, target: Duration) -> bool {
        let expensive_from = target.as_secs_f64() * EXPENSIVE_OPEN_SHARE;
        age >= STANDBY_MIN_AGE
            && self.open_seconds.borrow().values().any(|took| *took >= expensive_from)
    }

    /// A leaf took no connection: none is kept ready to it for a while.
    pub fn pause_standby(&self, now: Timestamp, leaf: &LeafIdentity) {
        let mut standby_paused_until = self.standby_paused_until.borrow_mut();
        standby_paused_until.retain(|_, until| now < *until);
        standby_paused_until.insert(leaf.clone(), now.after(STANDBY_PAUSE));
    }

    /// Whether a leaf is left alone.
    pub fn is_standby_paused(&self, now: Timestamp, leaf: &LeafIdentity) -> bool {
        self.standby_paused_until.borrow().get(leaf).is_some_and(|until| now < *until)
    }
}
