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
const OPENING_RISE: f64 = 0.02;
/// Part of the target latency from which on opening a connection is dear: a hedge leaves after about a
/// third of the target, and what is left has room for the way to the leaf and back once more. With regions
/// 30 ms apart and targets of 120 ms, connections kept ready raised the answers in time from 0.69 to 0.88
/// of the credit, on one simulated day each.
const DEAR_OPENING: f64 = 0.3;
/// Age of the process from which connections are kept ready. Leaves may still hold those of whatever ran
/// before it, and have none to spare but for requests.
const READY_AFTER: Duration = Duration::from_secs(5);
/// Time for which no connection is kept ready to a leaf that took none.
const CONNECT_PAUSE: Duration = Duration::from_secs(2);

/// The plan of a service, and the connections accepted by each leaf for which it was made.
struct Planned {
    accepted: usize,
    plan: Rc<ConnectionPlan>,
}

/// Decisions about connections.
pub struct ConnectionBook {
    name: BrokerName,
    zone: ZoneName,
    zone_regions: BTreeMap<String, String>,
    census: RefCell<BrokerCensus>,
    /// Forgotten with every change of brokers, leaves or evacuations.
    plans: RefCell<BTreeMap<ServiceName, Planned>>,
    /// What opening a connection takes at least, in seconds; by distance.
    opening: RefCell<BTreeMap<Distance, f64>>,
    /// Leaves to which no connection is kept ready until then.
    refrain_until: RefCell<BTreeMap<LeafIdentity, Timestamp>>,
}

impl ConnectionBook {
    /// The book of a broker that knows no others yet. `zone_regions` gives the region of each zone.
    pub fn new(name: BrokerName, zone: ZoneName, zone_regions: BTreeMap<String, String>) -> Self {
        Self {
            name,
            zone,
            zone_regions,
            census: RefCell::default(),
            plans: RefCell::default(),
            opening: RefCell::default(),
            refrain_until: RefCell::default(),
        }
    }

    /// The brokers have changed.
    pub fn set_brokers(&self, brokers: &[KnownBroker]) {
        let live = brokers.iter().filter(|broker| broker.live).map(|broker| &broker.entry);
        let placed = live.map(|entry| (entry.placement.zone.clone(), entry.name.clone()));
        *self.census.borrow_mut() = BrokerCensus::new(placed);
        self.forget_plans();
    }

    /// Which leaves take new work has changed anywhere.
    pub fn forget_plans(&self) {
        self.plans.borrow_mut().clear();
    }

    /// The leaves of a service have changed.
    pub fn forget_plan(&self, service: &ServiceName) {
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
        let planned = Planned { accepted, plan: plan.clone() };
        self.plans.borrow_mut().insert(service.clone(), planned);
        plan
    }

    /// A connection to a leaf at this distance was opened in this time.
    pub fn opened(&self, distance: Distance, took: Duration) {
        let took = took.as_secs_f64();
        let mut opening = self.opening.borrow_mut();
        let known = opening.entry(distance).or_insert(took);
        *known = took.min(*known + OPENING_RISE * (took - *known));
    }

    /// Whether a process of this age keeps connections ready for requests with this target latency:
    /// where opening one is observed to take a large part of it. Idle connections have a price, too: leaves
    /// hold those of a broker that lost its power, and have none to spare for its successor.
    pub fn keeps_ready(&self, age: Duration, target: Duration) -> bool {
        let dear = target.as_secs_f64() * DEAR_OPENING;
        age >= READY_AFTER && self.opening.borrow().values().any(|took| *took >= dear)
    }

    /// A leaf took no connection: none is kept ready to it for a while.
    pub fn refrain(&self, now: Timestamp, leaf: &LeafIdentity) {
        let mut refrain_until = self.refrain_until.borrow_mut();
        refrain_until.retain(|_, until| now < *until);
        refrain_until.insert(leaf.clone(), now.after(CONNECT_PAUSE));
    }

    /// Whether a leaf is left alone.
    pub fn refrains(&self, now: Timestamp, leaf: &LeafIdentity) -> bool {
        self.refrain_until.borrow().get(leaf).is_some_and(|until| now < *until)
    }
}
