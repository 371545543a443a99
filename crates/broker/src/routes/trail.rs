//! Trail of one request: its attempts and decisions, kept until it ends.
//!
//! The log lines are written at the end: always for a request that failed, was refused, was late or
//! lacks parts, and for a sample of the others. Sampling hashes the request id, so that every
//! process samples the same requests.

use std::cell::{Cell, RefCell};
use std::time::{Duration, Instant};

use gingerkeel_domain::crash_suspects::Caution;
use gingerkeel_domain::forwarding::{AttemptError, LoadReport, NoLeafReason};
use gingerkeel_domain::identifiers::{LeafIdentity, ServiceName};
use gingerkeel_domain::leaf_warnings::ObservedOutcome;
use gingerkeel_domain::routes::RouteVersion;
use tracing::info;
use xxhash_rust::xxh3::xxh3_64;

/// Maximum number of attempts kept per request.
const ATTEMPT_LIMIT: usize = 256;
/// Maximum number of attempts of a request that are all logged. Of more, only unusual ones are: a
/// request to ninety shards would otherwise write a hundred nearly identical lines.
const MAX_LOGGED_IN_FULL: usize = 16;
/// Multiple of the median time of a request's attempts beyond which an attempt is unusual.
const USUAL_FACTOR: u32 = 2;
/// Minimum number of attempts of a request for its median to be a basis for comparison.
const MIN_ATTEMPTS_FOR_MEDIAN: usize = 5;
/// Multiple of the median time of a request's attempts beyond which a leaf counts as slow: above
/// the effect of momentary load, below that of a slow disk or a pause.
const SLOW_FACTOR: u32 = 4;
/// The outcome of an attempt whose leaf answered.
const ANSWERED: &str = "answered";
/// The outcome of an attempt whose leaf answered with a failure status.
const ANSWERED_FAILURE: &str = "answered_failure";
/// The outcome of an attempt that the leaf refused to run.
const REJECTED: &str = "rejected";
/// The outcome of an attempt whose connection was lost after the request was sent.
const LOST: &str = "connection_lost";
/// The outcome of an attempt whose reply was malformed or incomplete.
const UNUSABLE: &str = "unusable_reply";
/// Outcomes that count as a failure of the leaf.
const FAILED: [&str; 3] = [ANSWERED_FAILURE, LOST, UNUSABLE];

/// Reason of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptReason {
    /// First attempt of the request at the service.
    First,
    /// An earlier attempt has failed.
    Retry,
    /// An earlier attempt takes longer than expected.
    Hedge,
}

impl AttemptReason {
    /// The reason as written in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::First => "first",
            Self::Retry => "retry",
            Self::Hedge => "hedge",
        }
    }
}

struct Attempt {
    service: ServiceName,
    leaf: LeafIdentity,
    reason: AttemptReason,
    /// Whether the leaf had recently answered as expected.
    sound: bool,
    /// The load that the leaf had recently reported.
    load: Option<LoadReport>,
    began: Instant,
    ended: Option<Ended>,
}

struct Ended {
    took: Duration,
    outcome: &'static str,
}

/// Index of an attempt in the trail of its request.
#[derive(Debug, Clone, Copy)]
pub struct TrailEntry(usize);

/// Conduct of a leaf in one request.
pub struct LeafConduct {
    /// The leaf.
    pub leaf: LeafIdentity,
    /// When the attempt began.
    pub began: Instant,
    /// How the leaf did, relative to the others.
    pub conduct: ObservedOutcome,
}

/// Summary of a request that has ended, for its log line.
pub struct RequestEnd<'end> {
    /// Name of the route; empty when none matched.
    pub route: &'end str,
    /// Name of the tenant, if known.
    pub tenant: Option<&'end str>,
    /// Version of the configuration by which it was handled.
    pub routes_version: RouteVersion,
    /// Version of the directory of leaves.
    pub directory_version: u64,
    /// The outcome as written in logs and metrics.
    pub outcome: &'static str,
    /// HTTP status of the answer; 0 if the caller disconnected first.
    pub status: u16,
    /// Time from the arrival of the request to its outcome.
    pub held: Duration,
    /// Parts received, and all parts.
    pub parts: Option<(usize, usize)>,
    /// What the request exceeds, if it is refused for the quota of its tenant.
    pub quota_limit: Option<&'static str>,
    /// Retry-after, in milliseconds.
    pub retry_after_ms: Option<u64>,
    /// Whether the answer was complete and in time.
    pub ordinary: bool,
}

/// Attempts and decisions of one request.
pub struct Trail {
    received: Instant,
    attempts: RefCell<Vec<Attempt>>,
    /// Parts received within the target latency, and all parts, of a request to many shards.
    parts_in_time: Cell<Option<(usize, usize)>>,
    /// Caution with which the request was sent; none if it was not sent.
    caution: Cell<Option<Caution>>,
    /// Number of leaves that ended under the request.
    leaves_ended: Cell<u32>,
    /// Why no leaf could be asked; of several services, that of the last.
    no_leaf_reason: Cell<Option<NoLeafReason>>,
}

impl Trail {
    /// Creates an empty trail.
    pub fn new(received: Instant) -> Self {
        Self {
            received,
            attempts: RefCell::default(),
            parts_in_time: Cell::default(),
            caution: Cell::default(),
            leaves_ended: Cell::default(),
            no_leaf_reason: Cell::default(),
        }
    }

    /// Records that `present` of `whole` parts arrived within the target latency.
    pub fn gathered(&self, present: usize, whole: usize) {
        self.parts_in_time.set(Some((present, whole)));
    }

    /// The counts recorded by [`Self::gathered`], if any.
    pub fn parts_in_time(&self) -> Option<(usize, usize)> {
        self.parts_in_time.get()
    }

    /// Records the caution with which the request is sent to leaves.
    pub fn sent_with(&self, caution: Caution) {
        self.caution.set(Some(caution));
    }

    /// Counts a leaf that ended under the request.
    pub fn leaf_ended(&self) {
        self.leaves_ended.set(self.leaves_ended.get() + 1);
    }

    /// Number of leaves that ended under the request.
    pub fn leaves_ended(&self) -> u32 {
        self.leaves_ended.get()
    }

    /// Records why no leaf of a service could be asked within the request's time.
    pub fn set_no_leaf_reason(&self, reason: NoLeafReason) {
        self.no_leaf_reason.set(Some(reason));
    }

    /// The reason recorded last by [`Self::set_no_leaf_reason`], if any.
    pub fn no_leaf_reason(&self) -> Option<NoLeafReason> {
        self.no_leaf_reason.get()
    }

    /// Whether the request was sent to any leaf.
    pub fn has_attempts(&self) -> bool {
        !self.attempts.borrow().is_empty()
    }

    /// Records the start of an attempt.
    pub fn attempt_started(
        &self,
        service: &ServiceName,
        leaf: &LeafIdentity,
        reason: AttemptReason,
        sound: bool,
        load: Option<LoadReport>,
    ) -> TrailEntry {
        let mut attempts = self.attempts.borrow_mut();
        let entry = TrailEntry(attempts.len());
        if attempts.len() < ATTEMPT_LIMIT {
            attempts.push(Attempt {
                service: service.clone(),
                leaf: leaf.clone(),
                reason,
                sound,
                load,
                began: Instant::now(),
                ended: None,
            });
        }
        entry
    }

    /// Records the end of an attempt: the status of the reply, or the error.
    pub fn attempt_ended(&self, entry: TrailEntry, outcome: Result<u16, AttemptError>) {
        // Attempts beyond the limit are not kept.
        if let Some(attempt) = self.attempts.borrow_mut().get_mut(entry.0) {
            let took = attempt.began.elapsed();
            attempt.ended = Some(Ended { took, outcome: outcome_name(outcome) });
        }
    }

    /// Conduct of the leaves that were asked: which failed, and among first attempts of a request
    /// to many shards also which took far longer than the others. With few attempts no leaf counts
    /// as slow or sound.
    pub fn leaf_conducts(&self) -> Vec<LeafConduct> {
        let attempts = self.attempts.borrow();
        let enough = attempts.len() >= MIN_ATTEMPTS_FOR_MEDIAN;
        let slow_after = median_time(&attempts).filter(|_| enough).map(|time| time * SLOW_FACTOR);
        attempts.iter().filter_map(|attempt| attempt.leaf_conduct(slow_after)).collect()
    }

    /// Writes the log lines of a request that has ended. Of ordinary requests only one in `sample`
    /// is logged.
    pub fn write(&self, id: &[u8], end: &RequestEnd<'_>, sample: u64) {
        let sampled = sample > 0 && xxh3_64(id).is_multiple_of(sample);
        if end.ordinary && !sampled {
            return;
        }
        let request = String::from_utf8_lossy(id);
        let attempts = self.attempts.borrow();
        let (parts_in, parts) = end.parts.or(self.parts_in_time()).unwrap_or((0, 0));
        info!(
            event = "request_ended",
            %request,
            route = end.route,
            tenant = end.tenant,
            outcome = end.outcome,
            status = end.status,
            held_ms = end.held.as_millis() as u64,
            parts_in,
            parts,
            attempts = attempts.len(),
            caution = self.caution.get().map(Caution::as_str),
            leaves_ended = (self.leaves_ended() > 0).then_some(self.leaves_ended()),
            no_leaf = self.no_leaf_reason.get().map(NoLeafReason::as_str),
            quota_limit = end.quota_limit,
            retry_after_ms = end.retry_after_ms,
            routes_version = end.routes_version.0,
            directory_version = end.directory_version
        );
        let usual = usual_time(&attempts);
        for attempt in attempts.iter().filter(|attempt| sampled || !attempt.is_usual(usual)) {
            attempt.write(&request, self.received);
        }
    }
}

impl Attempt {
    /// Conduct of the leaf; none if the attempt says nothing about it.
    fn leaf_conduct(&self, slow_after: Option<Duration>) -> Option<LeafConduct> {
        let conduct = self.conduct(slow_after)?;
        Some(LeafConduct { leaf: self.leaf.clone(), began: self.began, conduct })
    }

    fn conduct(&self, slow_after: Option<Duration>) -> Option<ObservedOutcome> {
        let outcome = self.ended.as_ref().map(|ended| ended.outcome);
        if outcome.is_some_and(|outcome| FAILED.contains(&outcome)) {
            return Some(ObservedOutcome::Failed);
        }
        if outcome == Some(REJECTED) {
            return Some(ObservedOutcome::Refused);
        }
        let slow_after = slow_after.filter(|_| self.reason == AttemptReason::First)?;
        let took = self.ended.as_ref().map_or_else(|| self.began.elapsed(), |ended| ended.took);
        match outcome {
            _ if took > slow_after => Some(ObservedOutcome::Slow),
            Some(ANSWERED) => Some(ObservedOutcome::Sound),
            _ => None,
        }
    }

    /// Whether this is a first attempt at a sound leaf that answered about as fast as the leaves of
    /// the other parts. Such an attempt does not explain the outcome and is not logged.
    fn is_usual(&self, usual: Option<Duration>) -> bool {
        let answered = |ended: &Ended| ended.outcome == ANSWERED && Some(ended.took) <= usual;
        self.reason == AttemptReason::First
            && self.sound
            && self.ended.as_ref().is_some_and(answered)
    }

    fn write(&self, request: &str, received: Instant) {
        let given_up = || self.began.elapsed();
        let ended = self.ended.as_ref();
        info!(
            event = "leaf_asked",
            %request,
            service = %self.service,
            leaf = %self.leaf,
            reason = self.reason.as_str(),
            sound = self.sound,
            reported_waiting = self.load.map(|load| load.waiting),
            reported_pace = self.load.map(|load| load.pace_percent),
            at_ms = self.began.duration_since(received).as_millis() as u64,
            took_ms = ended.map_or_else(given_up, |ended| ended.took).as_millis() as u64,
            outcome = ended.map_or("given_up", |ended| ended.outcome)
        );
    }
}

/// Time up to which an attempt is left out of the log lines of a request to many shards; none if
/// there are few enough attempts to log all.
fn usual_time(attempts: &[Attempt]) -> Option<Duration> {
    if attempts.len() <= MAX_LOGGED_IN_FULL {
        return None;
    }
    median_time(attempts).map(|median| median * USUAL_FACTOR)
}

/// The median time of the attempts that were answered.
fn median_time(attempts: &[Attempt]) -> Option<Duration> {
    let ended = attempts.iter().filter_map(|attempt| attempt.ended.as_ref());
    let answered = ended.filter(|ended| ended.outcome == ANSWERED);
    let mut times: Vec<Duration> = answered.map(|ended| ended.took).collect();
    if times.is_empty() {
        return None;
    }
    let middle = times.len() / 2;
    Some(*times.select_nth_unstable(middle).1)
}

/// The outcome of an attempt as written in logs and metrics.
pub fn outcome_name(outcome: Result<u16, AttemptError>) -> &'static str {
    match outcome {
        Ok(200..=299) => ANSWERED,
        Ok(_) => ANSWERED_FAILURE,
        Err(AttemptError::NoConnection) => "no_connection_to_spare",
        Err(AttemptError::NotAccepted) => "not_accepted",
        Err(AttemptError::ConnectionRefused) => "connection_refused",
        Err(AttemptError::NotConnected) => "not_connected",
        Err(AttemptError::Rejected) => REJECTED,
        Err(AttemptError::AnotherLeaf) => "another_leaf",
        Err(AttemptError::Lost) => LOST,
        Err(AttemptError::Unusable) => UNUSABLE,
    }
}
