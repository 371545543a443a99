//! A leaf in simulation: slots, a short queue, versions, drain, deadlines and cancellation.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use gingerkeel_domain::identifiers::{LeafRequestId, Snapshot};
use gingerkeel_domain::query::NotRunReason;
use gingerkeel_domain::time::Timestamp;
use rand::Rng;
use rand_distr::{Distribution, LogNormal};
use rand_pcg::Pcg64;

use super::broker::BrokerIndex;

/// Requests that wait for a slot before a leaf sheds.
const QUEUE_LIMIT: usize = 20;
/// Median service time.
const MEDIAN_SERVICE: Duration = Duration::from_millis(4);
/// Spread of the logarithm of service times.
const SERVICE_SIGMA: f64 = 0.6;
/// Share of requests that are stragglers.
const STRAGGLER_SHARE: f64 = 0.01;
/// How much longer a straggler takes.
const STRAGGLER_FACTOR: f64 = 12.0;
/// Snapshots that a leaf holds.
const RETAINED_SNAPSHOTS: usize = 2;
/// Requests during which a restarted leaf is cold.
const COLD_REQUESTS: u32 = 40;
/// How much longer a cold leaf takes.
const COLD_FACTOR: f64 = 4.0;

/// A request as it reaches a leaf.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeafRequest {
    /// The broker that sent it.
    pub broker: BrokerIndex,
    /// The request.
    pub request: LeafRequestId,
    /// The snapshot that it reads.
    pub snapshot: Snapshot,
    /// Moment after which it is not to be started.
    pub deadline: Timestamp,
}

/// What a leaf does on an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeafAction {
    /// It starts the request and will have finished after this time.
    Run(LeafRequest, Duration),
    /// It refuses the request.
    Refuse(LeafRequest, NotRunReason),
}

/// One leaf.
#[derive(Debug)]
pub struct LeafModel {
    /// Factor on service times.
    pub slow_factor: f64,
    /// It is killed.
    pub dead: bool,
    /// It is stopped by a signal; arrivals wait here.
    pub frozen: Option<Vec<LeafRequest>>,
    /// It marks its replies and takes no new work.
    pub draining: bool,
    /// It fails requests at once.
    pub fail_fast: bool,
    /// It answers with another version.
    pub wrong_version: bool,
    /// It answers twice.
    pub duplicate_replies: bool,
    /// Most that is added to a reply's delay.
    pub reply_spread: Duration,
    /// Counts its starts, so that what an earlier run had is known as lost.
    pub run: u32,
    slots: usize,
    running: BTreeSet<(BrokerIndex, LeafRequestId)>,
    waiting: VecDeque<LeafRequest>,
    held: BTreeMap<Snapshot, ()>,
    cold_left: u32,
}

impl LeafModel {
    /// A warm leaf that holds `snapshot`.
    pub fn new(slots: usize, snapshot: Snapshot) -> Self {
        Self {
            slow_factor: 1.0,
            dead: false,
            frozen: None,
            draining: false,
            fail_fast: false,
            wrong_version: false,
            duplicate_replies: false,
            reply_spread: Duration::ZERO,
            run: 0,
            slots,
            running: BTreeSet::new(),
            waiting: VecDeque::new(),
            held: BTreeMap::from([(snapshot, ())]),
            cold_left: 0,
        }
    }

    /// Loads a snapshot and drops the oldest beyond those that it keeps.
    pub fn load(&mut self, snapshot: Snapshot) {
        self.held.insert(snapshot, ());
        while self.held.len() > RETAINED_SNAPSHOTS {
            self.held.pop_first();
        }
    }

    /// Drops a snapshot.
    pub fn lose(&mut self, snapshot: Snapshot) {
        self.held.remove(&snapshot);
    }

    /// Dies: what ran and waited is given back as lost.
    pub fn kill(&mut self) -> Vec<(BrokerIndex, LeafRequestId)> {
        self.dead = true;
        self.run += 1;
        let waiting = std::mem::take(&mut self.waiting);
        let mut lost: Vec<_> = std::mem::take(&mut self.running).into_iter().collect();
        lost.extend(waiting.iter().map(|request| (request.broker, request.request)));
        let frozen = self.frozen.take().unwrap_or_default();
        lost.extend(frozen.iter().map(|request| (request.broker, request.request)));
        lost
    }

    /// Starts again, cold.
    pub fn restart(&mut self) {
        self.dead = false;
        self.draining = false;
        self.cold_left = COLD_REQUESTS;
    }

    /// A request arrives.
    pub fn arrive(
        &mut self,
        now: Timestamp,
        request: LeafRequest,
        random: &mut Pcg64,
    ) -> Option<LeafAction> {
        if self.draining {
            return Some(LeafAction::Refuse(request, NotRunReason::Draining));
        }
        if !self.held.contains_key(&request.snapshot) {
            return Some(LeafAction::Refuse(request, NotRunReason::SnapshotUnavailable));
        }
        if self.running.len() < self.slots {
            return Some(self.start(now, request, random));
        }
        if self.waiting.len() >= QUEUE_LIMIT {
            return Some(LeafAction::Refuse(request, NotRunReason::Shedding));
        }
        self.waiting.push_back(request);
        None
    }

    /// A request that ran has finished; false when the leaf does not have it any more.
    pub fn finish(&mut self, broker: BrokerIndex, request: LeafRequestId) -> bool {
        self.running.remove(&(broker, request))
    }

    /// Starts what waits, while there are slots.
    pub fn start_waiting(&mut self, now: Timestamp, random: &mut Pcg64) -> Vec<LeafAction> {
        let mut actions = Vec::new();
        while self.running.len() < self.slots {
            let Some(request) = self.waiting.pop_front() else {
                return actions;
            };
            actions.push(self.start(now, request, random));
        }
        actions
    }

    /// A request is cancelled: it leaves the queue, or its slot becomes free.
    pub fn cancel(&mut self, broker: BrokerIndex, request: LeafRequestId) {
        self.running.remove(&(broker, request));
        self.waiting.retain(|waiting| (waiting.broker, waiting.request) != (broker, request));
    }

    fn start(&mut self, now: Timestamp, request: LeafRequest, random: &mut Pcg64) -> LeafAction {
        if request.deadline <= now {
            return LeafAction::Refuse(request, NotRunReason::DeadlinePassed);
        }
        self.running.insert((request.broker, request.request));
        LeafAction::Run(request, self.service_time(random))
    }

    fn service_time(&mut self, random: &mut Pcg64) -> Duration {
        let median = MEDIAN_SERVICE.as_secs_f64();
        let spread = LogNormal::new(median.ln(), SERVICE_SIGMA).expect("the spread is finite");
        let mut seconds = spread.sample(random) * self.slow_factor;
        if random.random_bool(STRAGGLER_SHARE) {
            seconds *= STRAGGLER_FACTOR;
        }
        if self.cold_left > 0 {
            self.cold_left -= 1;
            seconds *= COLD_FACTOR;
        }
        Duration::from_secs_f64(seconds)
    }
}
