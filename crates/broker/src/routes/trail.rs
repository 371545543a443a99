//! What was decided about one request, kept until it ends.
//!
//! The lines are written when the request has ended: always for one that failed, was refused,
//! came late or lacks parts, and for a sample of the others, chosen by the request's id so that
//! every process samples the same ones.

use std::cell::{Cell, RefCell};
use std::time::{Duration, Instant};

use gingerkeel_domain::crash_suspects::Caution;
use gingerkeel_domain::forwarding::{AttemptError, LoadReport, NobodyReason};
use gingerkeel_domain::identifiers::{LeafIdentity, ServiceName};
use gingerkeel_domain::leaf_warnings::Conduct;
use gingerkeel_domain::routes::RouteVersion;
use tracing::info;
use xxhash_rust::xxh3::xxh3_64;

/// Most attempts of one request that are kept.
const ATTEMPT_LIMIT: usize = 256;
/// Attempts of a request that are all written; of more, only those that tell something: a request to
/// ninety shards would else write a hundred lines, nearly all of them alike.
const MAX_LOGGED_IN_FULL: usize = 16;
/// Median times of the attempts of a request beyond which one of them is not usual.
const USUAL_FACTOR: u32 = 2;
/// Attempts of a request from which on their median tells what is slow.
const MIN_ATTEMPTS_FOR_MEDIAN: usize = 5;
/// Median times of the attempts of a request after which a leaf counts as slow in it: beyond what the
/// load of a moment does, and less than a slow disk or a pause.
const SLOW_FACTOR: u32 = 4;
/// The outcome of an attempt whose leaf answered.
const ANSWERED: &str = "answered";
/// The outcome of one whose leaf answered with a failure of its own.
const ANSWERED_FAILURE: &str = "answered_failure";
/// The outcome of one that the leaf did not run.
const REJECTED: &str = "rejected";
/// The outcome of one whose connection ended under the request.
const LOST: &str = "connection_lost";
/// The outcome of one whose reply was no whole answer.
const UNUSABLE: &str = "unusable_reply";
/// Outcomes of requests that a leaf took and did not answer.
const FAILED: [&str; 3] = [ANSWERED_FAILURE, LOST, UNUSABLE];

/// Why a leaf was asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptReason {
    /// It was the first.
    First,
    /// The one before has failed.
    Retry,
    /// The one before takes longer than expected.
    Hedge,
}

impl AttemptReason {
    /// In one word, as logs and metrics say it.
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
    /// Whether the leaf had answered as expected lately.
    sound: bool,
    /// The load that it had reported lately.
    load: Option<LoadReport>,
    began: Instant,
    ended: Option<Ended>,
}

struct Ended {
    took: Duration,
    outcome: &'static str,
}

/// An attempt in the trail of its request.
#[derive(Debug, Clone, Copy)]
pub struct TrailEntry(usize);

/// How a leaf did in one request.
pub struct LeafConduct {
    /// The leaf.
    pub leaf: LeafIdentity,
    /// When it was asked.
    pub began: Instant,
    /// What it did.
    pub conduct: Conduct,
}

/// What a request ended with.
pub struct RequestEnd<'end> {
    /// Name of the route; empty when none matched.
    pub route: &'end str,
    /// Name of the tenant; none where it is not known.
    pub tenant: Option<&'end str>,
    /// Version of the configuration by which it was handled.
    pub routes_version: RouteVersion,
    /// Version of the list of leaves.
    pub directory_version: u64,
    /// The outcome in one word.
    pub outcome: &'static str,
    /// The status that the caller gets; 0 when the caller left.
    pub status: u16,
    /// From its arrival until its outcome was known.
    pub held: Duration,
    /// Parts that are in, and all parts.
    pub parts: Option<(usize, usize)>,
    /// When the caller is to come back, in milliseconds.
    pub retry_after_ms: Option<u64>,
    /// Whether it was answered whole and in time.
    pub ordinary: bool,
}

/// What was decided about one request.
pub struct Trail {
    received: Instant,
    attempts: RefCell<Vec<Attempt>>,
    /// Parts that came within the target latency, and all parts, of a request to many shards.
    parts_in_time: Cell<Option<(usize, usize)>>,
    /// How carefully it was sent; none where it was not.
    caution: Cell<Option<Caution>>,
    /// Leaves that ended under it.
    leaves_ended: Cell<u32>,
    /// Why no leaf of a service could be asked; of several services, of the last.
    no_leaf_reason: Cell<Option<NobodyReason>>,
}

impl Trail {
    /// Nothing was decided yet.
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

    /// Of a request to many shards, `present` of `whole` parts came within the target latency.
    pub fn gathered(&self, present: usize, whole: usize) {
        self.parts_in_time.set(Some((present, whole)));
    }

    /// What [`Self::gathered`] was told; none before.
    pub fn parts_in_time(&self) -> Option<(usize, usize)> {
        self.parts_in_time.get()
    }

    /// It goes to leaves with this caution.
    pub fn sent_with(&self, caution: Caution) {
        self.caution.set(Some(caution));
    }

    /// A leaf has ended under the request.
    pub fn leaf_ended(&self) {
        self.leaves_ended.set(self.leaves_ended.get() + 1);
    }

    /// How many leaves have ended under the request.
    pub fn leaves_ended(&self) -> u32 {
        self.leaves_ended.get()
    }

    /// No leaf of a service could be asked, or could be by the end of the request's time.
    pub fn set_no_leaf_reason(&self, reason: NobodyReason) {
        self.no_leaf_reason.set(Some(reason));
    }

    /// What [`Self::nobody`] was told last; none before.
    pub fn no_leaf_reason(&self) -> Option<NobodyReason> {
        self.no_leaf_reason.get()
    }

    /// Whether any leaf was asked.
    pub fn has_attempts(&self) -> bool {
        !self.attempts.borrow().is_empty()
    }

    /// A leaf is asked.
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

    /// A leaf replied with a status, or failed.
    pub fn attempt_ended(&self, entry: TrailEntry, outcome: Result<u16, AttemptError>) {
        // One beyond the limit is not kept.
        if let Some(attempt) = self.attempts.borrow_mut().get_mut(entry.0) {
            let took = attempt.began.elapsed();
            attempt.ended = Some(Ended { took, outcome: outcome_name(outcome) });
        }
    }

    /// What the attempts say of the leaves that were asked: which failed, and of those asked first for a
    /// request to many shards also which took far longer than the others. Where few were asked, nobody
    /// is slow or sound.
    pub fn leaf_conducts(&self) -> Vec<LeafConduct> {
        let attempts = self.attempts.borrow();
        let enough = attempts.len() >= MIN_ATTEMPTS_FOR_MEDIAN;
        let slow_after = median_time(&attempts).filter(|_| enough).map(|time| time * SLOW_FACTOR);
        attempts.iter().filter_map(|attempt| attempt.leaf_conduct(slow_after)).collect()
    }

    /// Writes the lines of a request that has ended, unless it is an ordinary one that is not in
    /// the sample: one in `sample` is.
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
            no_leaf = self.no_leaf_reason.get().map(NobodyReason::as_str),
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
    /// How the leaf did; none when it could not show it.
    fn leaf_conduct(&self, slow_after: Option<Duration>) -> Option<LeafConduct> {
        let conduct = self.conduct(slow_after)?;
        Some(LeafConduct { leaf: self.leaf.clone(), began: self.began, conduct })
    }

    fn conduct(&self, slow_after: Option<Duration>) -> Option<Conduct> {
        let outcome = self.ended.as_ref().map(|ended| ended.outcome);
        if outcome.is_some_and(|outcome| FAILED.contains(&outcome)) {
            return Some(Conduct::Failed);
        }
        if outcome == Some(REJECTED) {
            return Some(Conduct::Refused);
        }
        let slow_after = slow_after.filter(|_| self.reason == AttemptReason::First)?;
        let took = self.ended.as_ref().map_or_else(|| self.began.elapsed(), |ended| ended.took);
        match outcome {
            _ if took > slow_after => Some(Conduct::Slow),
            Some(ANSWERED) => Some(Conduct::Sound),
            _ => None,
        }
    }

    /// Whether a sound leaf, asked first, answered about as soon as the leaves of the other parts:
    /// such an attempt explains nothing.
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

/// What an attempt may take that is left out of the lines of a request to many shards; none where
/// there are too few attempts to leave one out.
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

/// How an attempt ended, in one word, as logs and metrics say it.
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
