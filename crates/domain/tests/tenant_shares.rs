//! Fair sharing of scarce capacity among tenants of one priority.

use std::collections::BTreeMap;

use gingerkeel_domain::forwarding::{
    AdmissionDecision, AdmissionQueue, Candidate, OverloadGate, OverloadGateSettings,
    RequestOutcome, SharingTenant, TicketNumber,
};
use gingerkeel_domain::identifiers::TenantName;
use gingerkeel_domain::time::Timestamp;
use rand_pcg::Pcg64;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use rstest::rstest;

/// Milliseconds per simulation step.
const STEP: u64 = 10;
/// Milliseconds of work per request.
const WORK: u64 = 200;
/// Target latency in milliseconds.
const TARGET: u64 = 600;
/// Maximum queueing time in milliseconds.
const MAX_WAIT: u64 = 1_500;

fn at(milliseconds: u64) -> Timestamp {
    Timestamp::from_micros(milliseconds * 1_000)
}

fn tenant(number: usize, weight: u64) -> SharingTenant {
    SharingTenant::new(&TenantName::new(format!("tenant-{number}")), weight)
}

#[derive(Clone, Copy)]
struct Request {
    came: u64,
    admitted: u64,
    broker: usize,
    tenant: usize,
}

/// Brokers with a gate each in front of shared leaves, and the outcomes of the requests of each
/// tenant.
struct Replay {
    /// Request rate per second and weight of each tenant.
    tenants: Vec<(f64, u64)>,
    /// Whether the gates know the tenant of a request.
    named: bool,
    slots: usize,
    gates: Vec<OverloadGate>,
    waiting: BTreeMap<(usize, TicketNumber), Request>,
    queue: Vec<Request>,
    running: Vec<(u64, Request)>,
    came: Vec<u32>,
    in_time: Vec<u32>,
    random: Pcg64,
}

impl Replay {
    fn new(brokers: usize, slots: usize, tenants: Vec<(f64, u64)>, named: bool) -> Self {
        let settings = OverloadGateSettings::default();
        Self {
            named,
            slots,
            gates: (0..brokers).map(|_| OverloadGate::new(&settings)).collect(),
            waiting: BTreeMap::new(),
            queue: Vec::new(),
            running: Vec::new(),
            came: vec![0; tenants.len()],
            in_time: vec![0; tenants.len()],
            tenants,
            random: Pcg64::seed_from_u64(11),
        }
    }

    /// Simulates the given seconds and restarts the counters.
    fn play(&mut self, from_s: u64, to_s: u64) {
        self.came.fill(0);
        self.in_time.fill(0);
        for now in (from_s * 1_000..to_s * 1_000).step_by(STEP as usize) {
            self.end(now);
            (0..self.gates.len()).for_each(|broker| self.admit(now, broker));
            for tenant in 0..self.tenants.len() {
                let expected = self.tenants[tenant].0 * STEP as f64 / 1_000.0;
                for _ in 0..(expected + self.draw()) as usize {
                    self.arrive(now, tenant);
                }
            }
            self.give_up(now);
            (0..self.gates.len()).for_each(|broker| self.admit(now, broker));
            while self.running.len() < self.slots && !self.queue.is_empty() {
                let request = self.queue.remove(0);
                self.running.push((now + WORK, request));
            }
        }
    }

    fn draw(&mut self) -> f64 {
        f64::from(self.random.next_u32()) / (f64::from(u32::MAX) + 1.0)
    }

    fn arrive(&mut self, now: u64, number: usize) {
        self.came[number] += 1;
        let broker = (self.draw() * self.gates.len() as f64) as usize;
        let candidate = Candidate {
            rank: 0,
            in_time_until: at(now + TARGET - WORK),
            give_up_at: at(now + MAX_WAIT),
            tenant: self.named.then(|| tenant(number, self.tenants[number].1)),
        };
        let request = Request { came: now, admitted: now, broker, tenant: number };
        match self.gates[broker].enter(at(now), &OverloadGateSettings::default(), candidate) {
            AdmissionDecision::Admitted => self.queue.push(request),
            AdmissionDecision::Queued(ticket) => {
                self.waiting.insert((broker, ticket), request);
            }
            AdmissionDecision::Refused(_) => {}
        }
    }

    fn admit(&mut self, now: u64, broker: usize) {
        let gate = &mut self.gates[broker];
        while let Some(ticket) = gate.next(at(now), &OverloadGateSettings::default()) {
            gate.confirm_admission(ticket);
            let request = self.waiting.remove(&(broker, ticket)).expect("one that waits");
            self.queue.push(Request { admitted: now, ..request });
        }
        for ticket in gate.take_unservable(at(now)) {
            self.waiting.remove(&(broker, ticket));
        }
    }

    fn give_up(&mut self, now: u64) {
        let over = |request: &Request| request.came + MAX_WAIT <= now;
        let over: Vec<_> =
            self.waiting.iter().filter(|(_, request)| over(request)).map(|(key, _)| *key).collect();
        for (broker, ticket) in over {
            self.waiting.remove(&(broker, ticket));
            self.gates[broker].leave(at(now), &OverloadGateSettings::default(), ticket);
        }
    }

    fn end(&mut self, now: u64) {
        let ended: Vec<_> = self.running.extract_if(.., |(end, _)| *end <= now).collect();
        let expired = self.queue.extract_if(.., |request| request.came + MAX_WAIT <= now);
        for request in expired {
            let late = RequestOutcome::Late { parts: None };
            self.gates[request.broker].finish(at(now), &OverloadGateSettings::default(), late);
        }
        for (_, request) in ended {
            self.in_time[request.tenant] += u32::from(now - request.came <= TARGET);
            let was_late = request.admitted - request.came > TARGET - WORK;
            let since = if was_late { request.admitted } else { request.came };
            let ended = match now - since <= TARGET {
                true => RequestOutcome::InTime,
                false => RequestOutcome::Late { parts: None },
            };
            self.gates[request.broker].finish(at(now), &OverloadGateSettings::default(), ended);
        }
    }

    /// Share of the requests of the given tenants that were answered in time.
    fn share_in_time(&self, tenants: std::ops::Range<usize>) -> f64 {
        let came: u32 = self.came[tenants.clone()].iter().sum();
        let in_time: u32 = self.in_time[tenants].iter().sum();
        f64::from(in_time) / f64::from(came.max(1))
    }
}

/// Twenty small tenants and a large one within capacity; then the large one sends twenty times its
/// usual rate. Each broker receives 24 requests per second before, and may send 30 to leaves.
fn hot(brokers: usize, named: bool) -> Replay {
    let many = brokers as f64;
    let mut tenants = vec![(many, 1); 20];
    tenants.push((4.0 * many, 4));
    let mut replay = Replay::new(brokers, 6 * brokers, tenants, named);
    replay.play(0, 20);
    replay.tenants[20].0 *= 20.0;
    replay.play(20, 50);
    replay
}

/// The weighted share of the large tenant is 10 of 30 requests per second.
#[rstest]
#[case::one_broker(1, 0.65)]
#[case::brokers_that_share_leaves(4, 0.5)]
fn a_tenant_beyond_its_share_gets_what_the_others_leave(
    #[case] brokers: usize,
    #[case] least: f64,
) {
    let (before, replay) = (hot(brokers, false), hot(brokers, true));
    let small = [&before, &replay].map(|replay| replay.share_in_time(0..20));
    assert!(small[0] < 0.3 && small[1] > least, "{small:?}");
    let large = replay.share_in_time(20..21);
    assert!(large > 0.08, "it keeps its share: {large}");
    for number in 0..20 {
        let share = replay.share_in_time(number..number + 1);
        assert!(share > small[1] / 2.0, "tenant {number} has {share} of {small:?}");
    }
}

#[rstest]
fn with_equal_overload_shares_cost_no_goodput(#[values(1, 4)] brokers: usize) {
    let in_time = [false, true].map(|named| {
        let many = brokers as f64;
        let mut replay = Replay::new(brokers, 6 * brokers, vec![(many, 1); 20], named);
        replay.play(0, 20);
        replay.tenants.iter_mut().for_each(|tenant| tenant.0 *= 5.0);
        replay.play(20, 30);
        replay.share_in_time(0..20)
    });
    assert!((in_time[0] - in_time[1]).abs() < 0.02, "{in_time:?}");
}

#[test]
fn after_the_surge_all_tenants_are_served() {
    let mut replay = hot(1, true);
    replay.tenants[20].0 /= 20.0;
    replay.play(50, 60);
    replay.play(60, 80);
    let in_time = [replay.share_in_time(0..20), replay.share_in_time(20..21)];
    assert!(in_time.iter().all(|share| *share > 0.98), "{in_time:?}");
}

/// Priority rank of the competing requests.
const RANK: u32 = 1;

/// A request that can be in time for 100 s and may be queued for a second longer.
fn waiting(rank: u32, tenant: Option<SharingTenant>) -> Candidate {
    Candidate { rank, in_time_until: at(100_000), give_up_at: at(101_000), tenant }
}

/// A broker that receives ten requests per second of a large tenant, of which 1.5 start, and one
/// per second of twenty small tenants together, which starts.
fn busy_queue(until_s: u64) -> AdmissionQueue {
    let mut queue = AdmissionQueue::default();
    let (large, other) =
        (waiting(RANK, Some(tenant(20, 10))), |number| waiting(RANK, Some(tenant(number, 1))));
    for tenth in 0..until_s * 10 {
        let now = at(tenth * 100);
        queue.record_arrival(now, &large);
        if tenth % 10 == 0 {
            let small = other((tenth / 10 % 20) as usize);
            queue.record_arrival(now, &small);
            queue.record_start(&small);
        }
        if [0, 7, 13].contains(&(tenth % 20)) {
            queue.record_start(&large);
        }
    }
    queue
}

#[rstest]
#[case::after_a_second(1)]
#[case::after_three(3)]
#[case::after_half_a_minute(30)]
fn a_rare_request_goes_before_a_queue_of_a_large_tenant(#[case] seconds: u64) {
    let mut queue = busy_queue(seconds);
    let now = at(seconds * 1_000);
    let (rare, large) = (waiting(RANK, Some(tenant(7, 1))), waiting(RANK, Some(tenant(20, 10))));
    queue.record_arrival(now, &rare);
    let ticket = queue.join(rare);
    for _ in 0..50 {
        queue.record_arrival(now, &large);
        queue.join(large);
    }
    assert!(queue.is_within_share(&rare) && !queue.is_within_share(&large));
    assert_eq!(queue.take(now, |_| true).map(|(first, _)| first), Some(ticket));
}

#[test]
fn each_priority_has_shares_of_its_own() {
    let queue = busy_queue(10);
    let lower = waiting(RANK + 1, Some(tenant(20, 10)));
    assert!(queue.is_within_share(&lower), "nobody went without there");
    assert!(
        !queue.is_within_share(&waiting(RANK, None)),
        "whose tenant is not known waits as before"
    );
}

#[test]
fn without_started_requests_no_tenant_is_within_its_share() {
    let mut queue = AdmissionQueue::default();
    let request = |number| waiting(RANK, Some(tenant(number, 1)));
    for step in 0..40 {
        queue.record_arrival(at(step * 100), &request((step % 4) as usize));
    }
    assert!((0..4).all(|number| !queue.is_within_share(&request(number))));
}

#[test]
fn an_idle_tenant_regains_its_share() {
    let mut queue = busy_queue(10);
    let (large, small) = (waiting(RANK, Some(tenant(20, 10))), waiting(RANK, Some(tenant(1, 1))));
    assert!(!queue.is_within_share(&large));
    for second in 10..60 {
        queue.record_arrival(at(second * 1_000), &small);
        queue.record_start(&small);
    }
    queue.record_arrival(at(60_000), &large);
    assert!(queue.is_within_share(&large));
}

/// Ten requests of the large tenant are queued, two of small ones and three of higher priority.
#[rstest]
#[case::within_its_share(Some(tenant(7, 1)), 5)]
#[case::beyond_it(Some(tenant(20, 10)), 15)]
#[case::not_known(None, 15)]
fn only_requests_served_earlier_count_as_ahead(
    #[case] newcomer: Option<SharingTenant>,
    #[case] ahead: usize,
) {
    let mut queue = busy_queue(10);
    let (large, small) = (Some(tenant(20, 10)), Some(tenant(3, 1)));
    for (count, rank, tenant) in [(10, RANK, large), (2, RANK, small), (3, RANK - 1, None)] {
        (0..count).for_each(|_| {
            queue.join(waiting(rank, tenant));
        });
    }
    assert_eq!(queue.ahead(at(10_000), &waiting(RANK, newcomer)), ahead);
}
