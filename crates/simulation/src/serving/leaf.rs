//! Simulated leaf with execution slots, a bounded queue, index versions, draining, deadlines and
//! cancellation.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use gingerkeel_domain::identifiers::{LeafRequestId, Snapshot};
use gingerkeel_domain::query::NotRunReason;
use gingerkeel_domain::time::Timestamp;
use rand::Rng;
use rand_distr::{Distribution, LogNormal};
use rand_pcg::Pcg64;

use super::broker::BrokerIndex;

/// Queue length at which a leaf sheds load.
const QUEUE_LIMIT: usize = 20;
/// Median service time.
const MEDIAN_SERVICE: Duration = Duration::from_millis(4);
/// Standard deviation of the logarithm of service times.
const SERVICE_SIGMA: f64 = 0.6;
/// Fraction of requests that are stragglers.
const STRAGGLER_SHARE: f64 = 0.01;
/// Factor on the service time of a straggler.
const STRAGGLER_FACTOR: f64 = 12.0;
/// Number of snapshots that a leaf retains.
const RETAINED_SNAPSHOTS: usize = 2;
/// Number of requests after a restart for which a leaf is cold.
const COLD_REQUESTS: u32 = 40;
/// Factor on the service time of a cold leaf.
const COLD_FACTOR: f64 = 4.0;

/// A request received by a leaf.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeafRequest {
    /// Broker that sent the request.
    pub broker: BrokerIndex,
    /// Identifier of the request.
    pub request: LeafRequestId,
    /// Requested snapshot.
    pub snapshot: Snapshot,
    /// Deadline, after which the request must not be started.
    pub deadline: Timestamp,
}

/// Action of a leaf on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeafAction {
    /// Start the request, which finishes after this time.
    Run(LeafRequest, Duration),
    /// Refuse the request.
    Refuse(LeafRequest, NotRunReason),
}

/// A simulated leaf process.
#[derive(Debug)]
pub struct LeafModel {
    /// Factor on service times.
    pub slow_factor: f64,
    /// Whether the process has been killed.
    pub dead: bool,
    /// Requests received while the process is paused, or `None` if it is not paused.
    pub frozen: Option<Vec<LeafRequest>>,
    /// Whether the leaf is draining: it marks its replies and refuses new requests.
    pub draining: bool,
    /// Whether the leaf fails all requests immediately.
    pub fail_fast: bool,
    /// Whether the leaf replies from another index version than the requested one.
    pub wrong_version: bool,
    /// Whether the leaf sends each reply twice.
    pub duplicate_replies: bool,
    /// Maximum additional delay of replies.
    pub reply_spread: Duration,
    /// Incremented at each kill, to discard events of earlier processes.
    pub run: u32,
    slots: usize,
    running: BTreeSet<(BrokerIndex, LeafRequestId)>,
    waiting: VecDeque<LeafRequest>,
    held: BTreeMap<Snapshot, ()>,
    cold_left: u32,
}

impl LeafModel {
    /// Creates a warm leaf with `snapshot`.
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

    /// Loads a snapshot and drops the oldest ones beyond the retention limit.
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

    /// Kills the process and returns the lost requests.
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

    /// Restarts the process, which is cold at first.
    pub fn restart(&mut self) {
        self.dead = false;
        self.draining = false;
        self.cold_left = COLD_REQUESTS;
    }

    /// Starts, queues or refuses a request. Returns `None` if it is queued.
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

    /// Ends a running request. Returns false if the leaf no longer runs it.
    pub fn finish(&mut self, broker: BrokerIndex, request: LeafRequestId) -> bool {
        self.running.remove(&(broker, request))
    }

    /// Starts queued requests while slots are free.
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

    /// Cancels a queued or running request.
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
