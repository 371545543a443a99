//! Admission control when leaves run short of capacity.

use std::collections::BTreeMap;

use gingerkeel_domain::forwarding::{
    AdmissionDecision, Candidate, OverloadGate, OverloadGateSettings, RequestOutcome, TicketNumber,
};
use gingerkeel_domain::time::Timestamp;
use rstest::rstest;

fn at(milliseconds: u64) -> Timestamp {
    Timestamp::from_micros(milliseconds * 1_000)
}

fn ended(in_time: bool) -> RequestOutcome {
    if in_time { RequestOutcome::InTime } else { RequestOutcome::Late { parts: None } }
}

/// Settings without an initial limit.
fn warm() -> OverloadGateSettings {
    OverloadGateSettings { first_limit: f64::INFINITY, ..OverloadGateSettings::default() }
}

/// A request that may be queued until `give_up_at`.
fn candidate(rank: u32, now: u64, give_up_at: u64) -> Candidate {
    Candidate { rank, in_time_until: at(now + 50), give_up_at: at(give_up_at), tenant: None }
}

/// Offers a request that may not be queued.
fn admit(
    gate: &mut OverloadGate,
    now: Timestamp,
    settings: &OverloadGateSettings,
    rank: u32,
) -> AdmissionDecision {
    gate.enter(now, settings, Candidate { rank, in_time_until: now, give_up_at: now, tenant: None })
}

/// A request in the simulated world.
#[derive(Clone, Copy)]
struct Request {
    came: u64,
    admitted: u64,
    rank: usize,
}

/// Leaves that work on `capacity` requests at once, each for 50 ms. Callers send `per_tick`
/// requests of each of two ranks every 10 ms. A request that ends more than 100 ms after its
/// arrival is late; for the gate, one that ends more than 100 ms after its admission. Requests are
/// queued for at most `max_wait`.
struct World {
    gate: OverloadGate,
    settings: OverloadGateSettings,
    queue: Vec<Request>,
    running: Vec<(u64, Request)>,
    waiting: BTreeMap<TicketNumber, (u64, Request)>,
    capacity: usize,
    max_wait: u64,
    in_time: [u32; 2],
    late: [u32; 2],
    refused: [u32; 2],
}

impl World {
    fn new(capacity: usize) -> Self {
        Self::with(capacity, 0, warm())
    }

    fn with(capacity: usize, max_wait: u64, settings: OverloadGateSettings) -> Self {
        Self {
            gate: OverloadGate::new(&settings),
            settings,
            queue: Vec::new(),
            running: Vec::new(),
            waiting: BTreeMap::new(),
            capacity,
            max_wait,
            in_time: [0; 2],
            late: [0; 2],
            refused: [0; 2],
        }
    }

    fn run(&mut self, from: u64, to: u64, per_tick: usize) {
        (self.in_time, self.late, self.refused) = Default::default();
        for now in (from..to).step_by(10) {
            let over = self.running.extract_if(.., |(end, _)| *end <= now);
            for (_, request) in over.collect::<Vec<_>>() {
                let counts =
                    if now - request.came <= 100 { &mut self.in_time } else { &mut self.late };
                counts[request.rank] += 1;
                let in_time = now - request.admitted <= 100;
                self.gate.finish(at(now), &self.settings, ended(in_time));
            }
            self.give_up(now);
            for rank in (0..per_tick * 2).map(|number| number % 2) {
                self.arrive(now, rank);
            }
            while let Some(ticket) = self.gate.next(at(now), &self.settings) {
                let (_, request) = self.waiting.remove(&ticket).expect("one that waits");
                self.gate.confirm_admission(ticket);
                self.queue.push(Request { admitted: now, ..request });
            }
            for ticket in self.gate.take_unservable(at(now)) {
                let (_, request) = self.waiting.remove(&ticket).expect("one that waits");
                self.refused[request.rank] += 1;
            }
            while self.running.len() < self.capacity && !self.queue.is_empty() {
                let request = self.queue.remove(0);
                self.running.push((now + 50, request));
            }
        }
    }

    fn arrive(&mut self, now: u64, rank: usize) {
        let request = Request { came: now, admitted: now, rank };
        let until = now + self.max_wait;
        match self.gate.enter(at(now), &self.settings, candidate(rank as u32, now, until)) {
            AdmissionDecision::Admitted => self.queue.push(request),
            AdmissionDecision::Queued(ticket) => {
                self.waiting.insert(ticket, (until, request));
            }
            AdmissionDecision::Refused(_) => self.refused[rank] += 1,
        }
    }

    fn give_up(&mut self, now: u64) {
        let over = self.waiting.iter().filter(|(_, (until, _))| *until <= now);
        let over: Vec<_> = over.map(|(ticket, (_, request))| (*ticket, *request)).collect();
        for (ticket, request) in over {
            self.waiting.remove(&ticket);
            self.gate.leave(at(now), &self.settings, ticket);
            self.refused[request.rank] += 1;
        }
    }
}

#[test]
fn nothing_is_refused_while_capacity_suffices() {
    let mut world = World::new(20);
    world.run(0, 5_000, 1);
    assert_eq!((world.refused, world.late), ([0; 2], [0; 2]));
    assert!(!world.gate.is_limiting());
}

#[test]
fn at_twice_the_capacity_the_higher_rank_is_answered_in_time() {
    let mut world = World::new(20);
    world.run(0, 3_000, 4);
    world.run(3_000, 10_000, 4);
    // 2,800 requests of each rank arrived; 2,800 of both together can be answered.
    assert!(world.in_time[0] > 1_800, "{:?}", world.in_time);
    assert!(world.in_time[0] > world.in_time[1], "{:?}", world.in_time);
    assert!(world.late[0] + world.late[1] < 500, "{:?}", world.late);
    assert!(world.refused[1] > world.refused[0], "{:?}", world.refused);
}

#[test]
fn after_an_overload_everything_is_admitted_again() {
    let mut world = World::new(20);
    world.run(0, 4_000, 6);
    assert!(world.gate.is_limiting());
    world.run(4_000, 8_000, 1);
    world.run(8_000, 10_000, 1);
    assert_eq!(world.refused, [0; 2]);
    assert!(!world.gate.is_limiting());
}

#[test]
fn a_few_late_requests_limit_nothing() {
    let (mut gate, settings) = (OverloadGate::new(&warm()), warm());
    for number in 0..1_000 {
        let now = at(number * 5);
        assert_eq!(admit(&mut gate, now, &settings, 3), AdmissionDecision::Admitted);
        gate.finish(now, &settings, ended(number % 8 != 0));
    }
    assert!(!gate.is_limiting());
}

/// Every request lacks two of ten parts at its target latency, or most of them.
#[rstest]
#[case::a_few_slow_shards(8, false)]
#[case::all_leaves_are_short(3, true)]
fn only_parts_late_at_most_shards_indicate_a_lack_of_capacity(
    #[case] in_time: usize,
    #[case] limits: bool,
) {
    let (mut gate, settings) = (OverloadGate::new(&warm()), warm());
    for number in 0..200 {
        let now = at(number * 10);
        if admit(&mut gate, now, &settings, 1) == AdmissionDecision::Admitted {
            gate.finish(now, &settings, RequestOutcome::Late { parts: Some((in_time, 10)) });
        }
    }
    assert_eq!(gate.is_limiting(), limits);
}

#[test]
fn cancelled_requests_are_no_samples_and_not_in_flight() {
    let (mut gate, settings) = (OverloadGate::new(&warm()), warm());
    for number in 0..1_000 {
        assert_eq!(admit(&mut gate, at(number), &settings, 0), AdmissionDecision::Admitted);
        gate.finish(at(number), &settings, RequestOutcome::GivenUp);
    }
    assert_eq!(gate.in_flight(), 0);
    assert!(!gate.is_limiting());
}

#[test]
fn the_retry_time_grows_with_the_duration_of_the_shortage() {
    let mut world = World::new(2);
    world.run(0, 1_000, 6);
    let asked = |world: &mut World, now| loop {
        if let AdmissionDecision::Refused(after) =
            admit(&mut world.gate, at(now), &world.settings, 5)
        {
            return after;
        }
    };
    let early = asked(&mut world, 1_000);
    let late = asked(&mut world, 60_000);
    assert!(early < late, "{early:?} {late:?}");
    assert_eq!(late, world.settings.retry_after[1]);
    assert!(early >= world.settings.retry_after[0]);
}

#[test]
fn a_short_surge_is_queued_instead_of_refused() {
    let mut queueing = World::with(20, 3_000, warm());
    let mut immediate = World::with(20, 0, warm());
    for world in [&mut queueing, &mut immediate] {
        // Two rounds of three times the capacity, after a second of half of it.
        world.run(0, 1_000, 1);
        world.run(1_000, 1_400, 6);
    }
    let during = [queueing.refused, immediate.refused].map(|refused| refused[0] + refused[1]);
    queueing.run(1_400, 6_000, 1);
    let after = queueing.refused[0] + queueing.refused[1];
    assert!(during[0] + after < during[1] / 4, "{during:?} {after}");
    assert!(queueing.waiting.is_empty());
}

#[test]
fn an_initial_surge_is_admitted_gradually() {
    let mut world = World::with(20, 4_000, OverloadGateSettings::default());
    for _ in 0..400 {
        world.arrive(0, 0);
    }
    assert!(world.queue.len() <= 4, "{}", world.queue.len());
    world.run(0, 4_000, 1);
    assert_eq!(world.refused, [0; 2]);
    assert!(world.waiting.is_empty());
}

#[rstest]
#[case::higher_priority_first(&[(1, 100), (0, 100)], &[1, 0])]
#[case::the_newest_of_those_in_time(&[(0, 100), (0, 100), (0, 100)], &[2, 1, 0])]
#[case::in_time_before_late(&[(0, 0), (0, 100), (0, 0)], &[1, 0, 2])]
#[case::late_but_of_higher_priority(&[(1, 100), (0, 0)], &[1, 0])]
fn queued_requests_are_admitted_in_order(
    #[case] requests: &[(u32, u64)],
    #[case] expected: &[usize],
) {
    let settings = OverloadGateSettings { first_limit: 1.0, reserve: 0.0, ..warm() };
    let mut gate = OverloadGate::new(&settings);
    assert_eq!(admit(&mut gate, at(0), &settings, 0), AdmissionDecision::Admitted);
    let mut tickets = Vec::new();
    for (rank, in_time_until) in requests {
        let candidate = Candidate {
            rank: *rank,
            in_time_until: at(*in_time_until),
            give_up_at: at(1_000),
            tenant: None,
        };
        let AdmissionDecision::Queued(ticket) = gate.enter(at(0), &settings, candidate) else {
            panic!("it has to wait");
        };
        tickets.push(ticket);
    }
    let mut order = Vec::new();
    for _ in requests {
        assert_eq!(gate.next(at(50), &settings), None);
        gate.finish(at(50), &settings, RequestOutcome::GivenUp);
        let ticket = gate.next(at(50), &settings).expect("one that waits");
        order.extend(tickets.iter().position(|known| *known == ticket));
    }
    assert_eq!(order, expected);
}

#[test]
fn requests_that_leave_are_not_admitted_or_release_their_admission() {
    let settings = OverloadGateSettings { first_limit: 1.0, ..warm() };
    let mut gate = OverloadGate::new(&settings);
    assert_eq!(admit(&mut gate, at(0), &settings, 0), AdmissionDecision::Admitted);
    let wait = |gate: &mut OverloadGate| match gate.enter(at(0), &settings, candidate(0, 0, 900)) {
        AdmissionDecision::Queued(ticket) => ticket,
        other => panic!("{other:?}"),
    };
    let (left, stays) = (wait(&mut gate), wait(&mut gate));
    gate.leave(at(1), &settings, left);
    gate.finish(at(2), &settings, RequestOutcome::GivenUp);
    assert_eq!(gate.next(at(2), &settings), Some(stays));
    assert_eq!(gate.in_flight(), 1);
    // The caller leaves before it is told of the admission.
    gate.leave(at(3), &settings, stays);
    assert_eq!((gate.in_flight(), gate.waiting()), (0, 0));
}

#[test]
fn in_a_lasting_overload_unservable_requests_are_refused() {
    let mut world = World::with(20, 2_000, warm());
    world.run(0, 1_000, 1);
    // Four times the capacity.
    world.run(1_000, 3_000, 8);
    assert!(world.gate.is_overloaded());
    world.run(3_000, 8_000, 8);
    let waiting = world.waiting.len();
    let refused = world.refused[0] + world.refused[1];
    // 8,000 arrive and 2,000 can be served; few wait compared to those refused.
    assert!(refused > 5_000, "{refused}");
    assert!(waiting < 100, "{waiting}");
    let in_time = world.in_time[0] + world.in_time[1];
    assert!(in_time > 1_200, "{in_time}");
    assert!(in_time > 2 * (world.late[0] + world.late[1]), "{in_time} {:?}", world.late);
    // Once the overload is over, requests may be queued again.
    world.run(8_000, 11_000, 1);
    assert!(!world.gate.is_overloaded());
}

#[test]
fn a_request_refused_while_queued_does_not_count_as_in_flight() {
    let mut world = World::with(4, 5_000, warm());
    world.run(0, 4_000, 8);
    let ticket = world.gate.take_unservable(at(4_000)).first().copied();
    let in_flight = world.gate.in_flight();
    if let Some(ticket) = ticket {
        world.gate.leave(at(4_000), &world.settings, ticket);
    }
    assert_eq!(world.gate.in_flight(), in_flight);
    assert!(world.refused[0] + world.refused[1] > 0);
}
