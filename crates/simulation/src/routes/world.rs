//! Simulated world of route serving, and the dispatch of its events.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use gingerkeel_domain::directory::{LeafAvailability, ListedLeaf};
use gingerkeel_domain::forwarding::{AttemptError, Distance};
use gingerkeel_domain::identifiers::{LeafIdentity, ServiceName, SoftwareVersion, ZoneName};
use gingerkeel_domain::time::Timestamp;
use rand::Rng;
use rand_pcg::Pcg64;

use super::action::{Action, AttemptKey, Timer};
use super::bounds::TIMEOUT;
use super::broker::BrokerModel;
use super::fault::{Fault, LeafPlace, Mutant};
use super::history::{ArrivalRecord, Ending, History, RequestNumber, RequestRecord};
use super::leaf::{Arrival, AttemptNumber, LeafMode, LeafModel, SLOTS};
use super::request::RouteKind;
use crate::trace::Trace;
use crate::virtual_clock::{Schedule, World};

/// Number of brokers.
pub const BROKERS: usize = 3;
/// Number of shards. The service after the shards serves single requests.
pub const SHARDS: usize = 6;
/// Number of leaves of each service.
pub const LEAVES: usize = 3;
/// Index, in its service, of a new leaf at a reused address.
const NEW_LEAF: usize = LEAVES;
/// Fraction of requests that gather parts from all shards.
const GATHERED_SHARE: f64 = 0.7;
/// Mean interval between requests.
const BETWEEN_CALLERS: Duration = Duration::from_millis(4);
/// One-way network delay between a broker and a leaf.
const NETWORK_DELAY: std::ops::Range<Duration> =
    Duration::from_micros(300)..Duration::from_micros(1_500);
/// Maximum time until a change of the directory reaches a broker.
pub const LIST_DELAY: Duration = Duration::from_millis(400);
/// Interval between a broker's checks of unresponsive leaves.
const CHECK_ROUND: Duration = Duration::from_millis(200);
/// Duration of a leaf's pauses, and the interval between them.
const PAUSE: [Duration; 2] = [Duration::from_millis(100), Duration::from_millis(2_500)];

/// Event of the simulated world.
#[derive(Debug)]
pub enum Event {
    /// Arrival of the next request at a broker.
    CallerComes,
    /// Arrival of an attempt at a leaf.
    AtLeaf(AttemptNumber),
    /// Arrival of a cancellation at a leaf.
    CancelAtLeaf(AttemptNumber),
    /// End of an execution at a leaf.
    Done(LeafPlace, AttemptNumber),
    /// Start of a pause of a leaf.
    Pause(LeafPlace),
    /// Arrival of the outcome of an attempt at its broker.
    EndAtBroker(AttemptNumber, Result<u16, AttemptError>),
    /// Timer of a broker.
    Timer(usize, Timer),
    /// Arrival of a directory entry at a broker.
    ListAtBroker(usize, LeafPlace),
    /// Arrival at a broker of the directory entry of a new leaf of this service, at the address of
    /// an ended leaf.
    TakenAddressAtBroker(usize, LeafPlace, usize),
    /// Start of a broker's check of unresponsive leaves.
    Check(usize),
    /// Result of a check, which tells whether the leaf accepted the connection.
    CheckedAtBroker(usize, LeafPlace, bool),
    /// Injected fault.
    Fault(Fault),
}

/// An attempt with its broker and leaf.
#[derive(Debug, Clone)]
struct Attempt {
    broker: usize,
    key: AttemptKey,
    leaf: LeafPlace,
}

/// State of the simulated brokers, leaves and callers.
pub struct RouteWorld {
    brokers: Vec<BrokerModel>,
    leaves: BTreeMap<LeafPlace, LeafModel>,
    attempts: BTreeMap<AttemptNumber, Attempt>,
    numbers: BTreeMap<(RequestNumber, usize, LeafIdentity), AttemptNumber>,
    next_attempt: u64,
    next_request: u64,
    load: f64,
    arrivals_end: Timestamp,
    random: Pcg64,
    mutant: Option<Mutant>,
    /// Observations for the checks.
    pub history: History,
    /// Event trace.
    pub trace: Trace,
}

impl RouteWorld {
    /// Creates a world with requests until `arrivals_end`.
    pub fn new(
        mut random: Pcg64,
        arrivals_end: Timestamp,
        mutant: Option<Mutant>,
        trace: Trace,
    ) -> Self {
        let brokers = (0..BROKERS).map(|_| BrokerModel::new(BROKERS, random.random(), mutant));
        let mut world = Self {
            brokers: brokers.collect(),
            leaves: places().map(|place| (place, LeafModel::new())).collect(),
            attempts: BTreeMap::new(),
            numbers: BTreeMap::new(),
            next_attempt: 0,
            next_request: 0,
            load: 1.0,
            arrivals_end,
            random,
            mutant,
            history: History::default(),
            trace,
        };
        for broker in 0..BROKERS {
            places().for_each(|place| world.list(Timestamp::ZERO, broker, place));
        }
        world
    }

    /// Schedules the initial events.
    pub fn start(&mut self, schedule: &mut Schedule<Event>) {
        (0..BROKERS).for_each(|broker| schedule.after(CHECK_ROUND, Event::Check(broker)));
        schedule.after(Duration::ZERO, Event::CallerComes);
        for place in places() {
            schedule.after(self.random.random_range(Duration::ZERO..PAUSE[1]), Event::Pause(place));
        }
    }

    /// Opens connections to unresponsive leaves, without a request.
    fn check_leaves(&mut self, now: Timestamp, broker: usize, schedule: &mut Schedule<Event>) {
        schedule.after(CHECK_ROUND, Event::Check(broker));
        for leaf in self.brokers[broker].leaves_to_check(now) {
            let place = place_of(&leaf);
            if let Some(taken) = self.leaves[&place].takes_connection() {
                let round_trip = self.delay() + self.delay();
                schedule.after(round_trip, Event::CheckedAtBroker(broker, place, taken));
            }
        }
    }

    fn list(&mut self, now: Timestamp, broker: usize, place: LeafPlace) {
        let leaving = self.history.leaving.contains_key(&place);
        let unheard = self.mutant == Some(Mutant::LeavingUnheard);
        let availability = match leaving && !unheard {
            true => LeafAvailability::Leaving,
            false => LeafAvailability::Ready,
        };
        let listed = ListedLeaf {
            identity: identity(place),
            service: ServiceName::new(format!("s{}", place.service)),
            address: address(place),
            zone: ZoneName::new(format!("z{}", place.leaf)),
            slots: SLOTS as u32,
            availability,
            cold_ms: 0,
            version: SoftwareVersion::default(),
        };
        let distance = if place.leaf == broker { Distance::Zone } else { Distance::Region };
        self.brokers[broker].list(now, place.service, &listed, distance);
    }

    fn request_arrives(&mut self, now: Timestamp, schedule: &mut Schedule<Event>) {
        if now >= self.arrivals_end {
            return;
        }
        let pause = -self.random.random_range(1e-9..1.0f64).ln() / self.load;
        schedule.after(BETWEEN_CALLERS.mul_f64(pause), Event::CallerComes);
        let gathered = self.random.random_bool(GATHERED_SHARE);
        let kind = if gathered { RouteKind::Gathered } else { RouteKind::Once };
        let services: Vec<usize> = if gathered { (0..SHARDS).collect() } else { vec![SHARDS] };
        let number = RequestNumber(self.next_request);
        self.next_request += 1;
        let record = RequestRecord {
            came: now,
            deadline: now.after(TIMEOUT),
            repeatable: gathered,
            services: services.clone(),
            endings: Vec::new(),
        };
        self.history.requests.insert(number, record);
        let broker = self.random.random_range(0..BROKERS);
        self.trace.record(now, format_args!("event=caller request={} broker={broker}", number.0));
        let actions = self.brokers[broker].receive(now, number, kind, &services);
        self.carry_out(now, broker, actions, schedule);
    }

    fn carry_out(
        &mut self,
        now: Timestamp,
        broker: usize,
        actions: Vec<Action>,
        schedule: &mut Schedule<Event>,
    ) {
        for action in actions {
            match action {
                Action::Send(key) => {
                    let number = self.add_attempt(broker, key);
                    schedule.after(self.delay(), Event::AtLeaf(number));
                }
                Action::Cancel(key) => {
                    if let Some(number) = self.number(&key) {
                        schedule.after(self.delay(), Event::CancelAtLeaf(number));
                    }
                }
                Action::Wake(after, timer) => schedule.after(after, Event::Timer(broker, timer)),
                Action::End(number, ending) => self.end(now, number, ending),
            }
        }
    }

    fn end(&mut self, now: Timestamp, number: RequestNumber, ending: Ending) {
        self.trace.record(now, format_args!("event=end request={} ending={ending:?}", number.0));
        if let Some(record) = self.history.requests.get_mut(&number) {
            record.endings.push((now, ending));
        }
    }

    fn add_attempt(&mut self, broker: usize, key: AttemptKey) -> AttemptNumber {
        let number = AttemptNumber(self.next_attempt);
        self.next_attempt += 1;
        let leaf = place_of(&key.leaf);
        self.numbers.insert((key.request, key.part, key.leaf.clone()), number);
        self.attempts.insert(number, Attempt { broker, key, leaf });
        number
    }

    fn number(&self, key: &AttemptKey) -> Option<AttemptNumber> {
        self.numbers.get(&(key.request, key.part, key.leaf.clone())).copied()
    }

    fn delay(&mut self) -> Duration {
        self.random.random_range(NETWORK_DELAY)
    }

    fn at_leaf(&mut self, now: Timestamp, number: AttemptNumber, schedule: &mut Schedule<Event>) {
        let attempt = self.attempts[&number].clone();
        let leaf = self.leaves.get_mut(&attempt.leaf).expect("a leaf that is listed");
        let arrival = leaf.arrive(number);
        let taken = arrival == Arrival::Taken;
        let (request, leaf) = (attempt.key.request, attempt.leaf);
        self.trace.record(now, format_args!("event=at_leaf request={} {leaf:?}", request.0));
        let reached = match arrival {
            Arrival::Misdirected(service) => LeafPlace { service, leaf: NEW_LEAF },
            _ => leaf,
        };
        if arrival != Arrival::NotConnected {
            self.history.arrivals.push(ArrivalRecord { at: now, request, leaf: reached, taken });
        }
        let error = match arrival {
            Arrival::Taken => return self.start_work(now, leaf, schedule),
            Arrival::Swallowed => return,
            Arrival::Refused => AttemptError::Rejected,
            Arrival::NotConnected => AttemptError::ConnectionRefused,
            Arrival::Misdirected(_) => AttemptError::AnotherLeaf,
        };
        schedule.after(self.delay(), Event::EndAtBroker(number, Err(error)));
    }

    fn start_work(&mut self, now: Timestamp, place: LeafPlace, schedule: &mut Schedule<Event>) {
        let leaf = self.leaves.get_mut(&place).expect("a leaf that is listed");
        for (number, span) in leaf.start(now, &mut self.random) {
            schedule.after(span, Event::Done(place, number));
        }
    }

    fn done(
        &mut self,
        now: Timestamp,
        place: LeafPlace,
        number: AttemptNumber,
        schedule: &mut Schedule<Event>,
    ) {
        let leaf = self.leaves.get_mut(&place).expect("a leaf that is listed");
        if now < leaf.paused_until {
            return schedule.after(leaf.paused_until.since(now), Event::Done(place, number));
        }
        if !leaf.finish(number) {
            return;
        }
        let outcome = match leaf.mode {
            LeafMode::LosesAnswers => Err(AttemptError::Lost),
            LeafMode::Fails => Ok(500),
            _ => Ok(200),
        };
        let run = (self.attempts[&number].key.request, place.service);
        *self.history.runs.entry(run).or_insert(0) += 1;
        schedule.after(self.delay(), Event::EndAtBroker(number, outcome));
        self.start_work(now, place, schedule);
    }

    fn cancel(&mut self, now: Timestamp, number: AttemptNumber, schedule: &mut Schedule<Event>) {
        let place = self.attempts[&number].leaf;
        self.leaves.get_mut(&place).expect("a leaf that is listed").cancel(number);
        self.start_work(now, place, schedule);
    }

    fn end_at_broker(
        &mut self,
        now: Timestamp,
        number: AttemptNumber,
        outcome: Result<u16, AttemptError>,
        schedule: &mut Schedule<Event>,
    ) {
        let attempt = self.attempts[&number].clone();
        if outcome == Err(AttemptError::AnotherLeaf) {
            self.brokers[attempt.broker].cover_misdirected(now, address(attempt.leaf));
        }
        if outcome == Ok(200) {
            self.history.good_replies.insert((attempt.key.request, attempt.leaf.service));
        }
        let actions = self.brokers[attempt.broker].attempt_ended(now, &attempt.key, outcome);
        self.carry_out(now, attempt.broker, actions, schedule);
    }

    fn fault(&mut self, now: Timestamp, fault: Fault, schedule: &mut Schedule<Event>) {
        self.trace.record(now, format_args!("event=fault {fault:?}"));
        match fault {
            Fault::Load(load) => self.load = load,
            Fault::Mode(place, mode) => {
                self.with_leaf(place, |leaf| leaf.mode = mode);
                if let LeafMode::AddressTaken(service) = mode {
                    self.notify_brokers(schedule, |broker| {
                        Event::TakenAddressAtBroker(broker, place, service)
                    });
                }
            }
            Fault::Slow(place, factor) => self.with_leaf(place, |leaf| leaf.slow_factor = factor),
            Fault::Leaving(place) => {
                self.history.leaving.entry(place).or_insert(now);
                self.notify_brokers(schedule, |broker| Event::ListAtBroker(broker, place));
            }
        }
    }

    /// Sends a change of the directory to all brokers, with random delays.
    fn notify_brokers(&mut self, schedule: &mut Schedule<Event>, event: impl Fn(usize) -> Event) {
        for broker in 0..BROKERS {
            let delay = self.random.random_range(Duration::ZERO..LIST_DELAY);
            schedule.after(delay, event(broker));
        }
    }

    fn with_leaf(&mut self, place: LeafPlace, change: impl FnOnce(&mut LeafModel)) {
        if let Some(leaf) = self.leaves.get_mut(&place) {
            change(leaf);
        }
    }
}

impl World for RouteWorld {
    type Event = Event;

    fn handle(&mut self, now: Timestamp, event: Event, schedule: &mut Schedule<Event>) {
        match event {
            Event::CallerComes => self.request_arrives(now, schedule),
            Event::AtLeaf(number) => self.at_leaf(now, number, schedule),
            Event::CancelAtLeaf(number) => self.cancel(now, number, schedule),
            Event::Done(place, number) => self.done(now, place, number, schedule),
            Event::Pause(place) => {
                self.with_leaf(place, |leaf| leaf.paused_until = now.after(PAUSE[0]));
                schedule.after(PAUSE[1], Event::Pause(place));
            }
            Event::EndAtBroker(number, outcome) => {
                self.end_at_broker(now, number, outcome, schedule);
            }
            Event::Timer(broker, timer) => {
                let actions = self.brokers[broker].wake(now, timer);
                self.carry_out(now, broker, actions, schedule);
            }
            Event::ListAtBroker(broker, place) => self.list(now, broker, place),
            Event::TakenAddressAtBroker(broker, place, service) => {
                self.brokers[broker].list_at_taken_address(now, address(place), service);
            }
            Event::Check(broker) => self.check_leaves(now, broker, schedule),
            Event::CheckedAtBroker(broker, place, taken) => {
                self.brokers[broker].checked(now, place.service, &identity(place), taken);
            }
            Event::Fault(fault) => self.fault(now, fault, schedule),
        }
    }
}

/// Indexes of all listed leaves.
pub fn places() -> impl Iterator<Item = LeafPlace> {
    (0..=SHARDS).flat_map(|service| (0..LEAVES).map(move |leaf| LeafPlace { service, leaf }))
}

fn identity(place: LeafPlace) -> LeafIdentity {
    LeafIdentity::new(format!("{}-{}", place.service, place.leaf))
}

fn address(place: LeafPlace) -> SocketAddr {
    let port = 1 + place.service * LEAVES + place.leaf;
    SocketAddr::from((Ipv4Addr::LOCALHOST, port as u16))
}

fn place_of(identity: &LeafIdentity) -> LeafPlace {
    let found = places().find(|place| self::identity(*place) == *identity);
    found.expect("an identity that this world made")
}
