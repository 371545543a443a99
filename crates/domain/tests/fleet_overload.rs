//! Many brokers, each with few requests, meet leaves that run short: a replay of the load on one set of shards
//! without a network. Callers that get no answer repeat once, at once.

use std::collections::{BTreeMap, VecDeque};

use gingerkeel_domain::forwarding::{
    Admitted, Candidate, Ended, OverloadGate, OverloadGateSettings, RoomFound, TicketNumber,
};
use gingerkeel_domain::time::Timestamp;
use rstest::rstest;

const SHARDS: usize = 12;
/// Parts that an answer needs.
const LEAST_PARTS: usize = 11;
const LEAVES: usize = 3;
const SLOTS: usize = 4;
const QUEUE: usize = 24;
/// Work of a part, target latency and time of a request, in milliseconds.
const WORK: u64 = 28;
const TARGET: u64 = 400;
const TIME: u64 = 1_500;

fn at(milliseconds: u64) -> Timestamp {
    Timestamp::from_micros(milliseconds * 1_000)
}

#[derive(Default)]
struct Leaf {
    queue: VecDeque<usize>,
    /// When each part ends that is worked on.
    running: Vec<(u64, usize)>,
}

struct Request {
    broker: usize,
    rank: u32,
    came: u64,
    repeated: bool,
    present: usize,
    /// Shards whose leaves were full when they were asked.
    refused: Vec<usize>,
}

#[derive(Default, Clone, Copy)]
struct Counts {
    asked: u32,
    in_time: u32,
}

struct Fleet {
    settings: OverloadGateSettings,
    gates: Vec<(OverloadGate, BTreeMap<TicketNumber, usize>)>,
    leaves: Vec<Leaf>,
    /// Requests that came, by number; none once they have ended.
    requests: Vec<Option<Request>>,
    under_way: Vec<usize>,
    random: u64,
    counts: [Counts; 2],
}

impl Fleet {
    fn new(brokers: usize) -> Self {
        let settings = OverloadGateSettings::default();
        let gate = || (OverloadGate::new(&settings), BTreeMap::new());
        Self {
            settings,
            gates: (0..brokers).map(|_| gate()).collect(),
            leaves: (0..SHARDS * LEAVES).map(|_| Leaf::default()).collect(),
            requests: Vec::new(),
            under_way: Vec::new(),
            random: 7,
            counts: Default::default(),
        }
    }

    fn below(&mut self, bound: usize) -> usize {
        self.random = self.random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        (self.random >> 33) as usize % bound
    }

    /// Callers ask `per_second` times; gives what became of those that came, of each rank.
    fn run(&mut self, from: u64, to: u64, per_second: u64) -> [Counts; 2] {
        self.counts = Default::default();
        for now in from..to {
            for _ in (now - 1) * per_second / 1_000..now * per_second / 1_000 {
                let rank = u32::from(self.below(4) == 0);
                self.counts[rank as usize].asked += 1;
                self.arrive(now, rank, false);
            }
            self.work(now);
            self.end_requests(now);
            (0..self.gates.len()).for_each(|broker| self.admit_waiting(now, broker));
        }
        self.counts
    }

    fn arrive(&mut self, now: u64, rank: u32, repeated: bool) {
        let broker = self.below(self.gates.len());
        let number = self.requests.len();
        self.requests.push(Some(Request {
            broker,
            rank,
            came: now,
            repeated,
            present: 0,
            refused: Vec::new(),
        }));
        let in_time_until = at(now + TARGET - WORK);
        let candidate =
            Candidate { rank, in_time_until, give_up_at: at(now + TIME * 7 / 10), tenant: None };
        let (gate, waiting) = &mut self.gates[broker];
        match gate.enter(at(now), &self.settings, candidate) {
            Admitted::Yes => self.begin(now, number),
            Admitted::Waits(ticket) => drop(waiting.insert(ticket, number)),
            Admitted::No(_) => self.refuse(now, number),
        }
    }

    fn admit_waiting(&mut self, now: u64, broker: usize) {
        let (gate, waiting) = &mut self.gates[broker];
        if let Some(ticket) = gate.next(at(now), &self.settings) {
            gate.begun(ticket);
            let number = waiting.remove(&ticket).expect("one that waits");
            self.begin(now, number);
            return self.admit_waiting(now, broker);
        }
        let mut over = gate.hopeless(at(now));
        let requests = &self.requests;
        let is_over = |number: &usize| {
            requests[*number].as_ref().is_some_and(|request| now >= request.came + TIME * 7 / 10)
        };
        over.extend(
            waiting.iter().filter(|(_, number)| is_over(number)).map(|(ticket, _)| *ticket),
        );
        for ticket in over {
            if let Some(number) = waiting.remove(&ticket) {
                gate.leave(at(now), &self.settings, ticket);
                self.refuse(now, number);
                return self.admit_waiting(now, broker);
            }
        }
    }

    fn begin(&mut self, now: u64, number: usize) {
        self.under_way.push(number);
        self.ask(now, number, (0..SHARDS).collect());
    }

    /// Each part goes to the nearest leaf of its shard that has room.
    fn ask(&mut self, now: u64, number: usize, shards: Vec<usize>) {
        let share = (LEAVES * SLOTS) as f64 / self.gates.len() as f64;
        let request = self.requests[number].as_mut().expect("a request");
        for shard in shards {
            let leaves = (0..LEAVES).map(|turn| shard * LEAVES + (request.broker + turn) % LEAVES);
            let nearest = shard * LEAVES + request.broker % LEAVES;
            let found = match self.leaves[nearest].queue.len() < QUEUE {
                true => RoomFound::Room,
                false => RoomFound::NoRoom,
            };
            match leaves.into_iter().find(|leaf| self.leaves[*leaf].queue.len() < QUEUE) {
                Some(leaf) => self.leaves[leaf].queue.push_back(number),
                None => request.refused.push(shard),
            }
            self.gates[request.broker]
                .0
                .looked_for_room(at(now), &self.settings, found, || Some(share));
        }
    }

    /// Shards that were full are asked again while there is time, as long as the gate does not say that
    /// more requests come than end.
    fn ask_again(&mut self, now: u64, number: usize) {
        let request = self.requests[number].as_mut().expect("a request");
        let patient = now < request.came + TIME * 7 / 10;
        if patient && (now - request.came).is_multiple_of(20) {
            let gate = &self.gates[request.broker].0;
            if !gate.is_overrun() {
                let shards = std::mem::take(&mut request.refused);
                self.ask(now, number, shards);
            }
        }
    }

    fn work(&mut self, now: u64) {
        for leaf in &mut self.leaves {
            for (_, number) in leaf.running.extract_if(.., |(ends, _)| *ends <= now) {
                if let Some(request) = &mut self.requests[number] {
                    request.present += 1;
                }
            }
            // Leaves drop what brokers have given up.
            leaf.queue.retain(|number| self.requests[*number].is_some());
            leaf.running.retain(|(_, number)| self.requests[*number].is_some());
            while leaf.running.len() < SLOTS {
                let Some(number) = leaf.queue.pop_front() else { break };
                leaf.running.push((now + WORK, number));
            }
        }
    }

    fn end_requests(&mut self, now: u64) {
        for number in std::mem::take(&mut self.under_way) {
            self.ask_again(now, number);
            let request = self.requests[number].as_ref().expect("a request");
            let held = now - request.came;
            let (broker, rank) = (request.broker, request.rank as usize);
            let enough = request.present >= LEAST_PARTS;
            let ended = if request.present == SHARDS || enough && held >= TARGET {
                let in_time = held <= TARGET;
                self.counts[rank].in_time += u32::from(in_time);
                if in_time { Ended::InTime } else { Ended::Late { parts: None } }
            } else if request.refused.len() > SHARDS - LEAST_PARTS
                && (held >= TIME * 7 / 10 || self.gates[broker].0.is_overrun())
            {
                Ended::NoRoom
            } else if held >= TIME {
                Ended::Late { parts: None }
            } else {
                self.under_way.push(number);
                continue;
            };
            self.gates[broker].0.finish(at(now), &self.settings, ended);
            match enough {
                true => self.requests[number] = None,
                false => self.refuse(now, number),
            }
        }
    }

    /// A request ends without an answer; its caller repeats it once.
    fn refuse(&mut self, now: u64, number: usize) {
        let request = self.requests[number].take().expect("a request");
        if !request.repeated && now < request.came + TIME {
            self.arrive(now, request.rank, true);
        }
    }
}

/// Leaves can answer 428 requests a second; a broker of a hundred gets one or two of them in its judgement's time.
#[rstest]
#[case::many_brokers(100)]
#[case::few_brokers(6)]
fn leaves_that_run_short_go_on_answering_what_they_can(#[case] brokers: usize) {
    let mut fleet = Fleet::new(brokers);
    fleet.run(1, 4_000, 100);
    let burst = fleet.run(4_000, 12_000, 640);
    let after = fleet.run(14_000, 16_000, 100).map(|counts| (counts.in_time, counts.asked));
    let share = |count: u32| f64::from(count) / (8.0 * 428.0);
    let in_time = share(burst[0].in_time + burst[1].in_time);
    assert!(in_time > 0.6, "{in_time}");
    let of_rank = |rank: usize| f64::from(burst[rank].in_time) / f64::from(burst[rank].asked);
    assert!(of_rank(0) > of_rank(1), "{} {}", of_rank(0), of_rank(1));
    assert!(
        after.iter().all(|(in_time, asked)| *in_time as f64 > *asked as f64 * 0.9),
        "{after:?}"
    );
}
