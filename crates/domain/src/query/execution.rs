//! Scatter and gather of one query over the shards of one snapshot.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use smallvec::SmallVec;

use super::outcome::{Answer, MissingReason, MissingShard, QueryOutcome, ShardPart};
use super::reply::{LeafFailure, LeafReply, NotRunReason};
use crate::admission::RefusalReason;
use crate::identifiers::{LeafId, LeafRequestId, QueryId, ShardId, Snapshot};
use crate::routing::{ShardRoute, ShardTable};
use crate::time::Timestamp;

/// Attempts at one shard of one snapshot whose request may have reached a leaf.
const MAXIMUM_ATTEMPTS: usize = 3;
/// Attempts at one shard of one snapshot that failed before a byte was written.
const MAXIMUM_UNSENT: usize = 8;
/// Times that one query starts over on another snapshot.
const MAXIMUM_RESTARTS: u8 = 2;

/// One request to one leaf.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Attempt {
    /// Number of the attempt over the whole query.
    pub number: u16,
    /// The leaf.
    pub leaf: LeafId,
    /// When it was sent.
    pub sent: Timestamp,
    state: AttemptState,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AttemptState {
    InFlight,
    NotSent,
    NotRun,
    MayHaveRun,
}

impl AttemptState {
    fn is_certainly_not_run(self) -> bool {
        matches!(self, Self::NotSent | Self::NotRun)
    }
}

/// A leaf request to send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OutgoingRequest {
    /// Its identifier.
    pub request: LeafRequestId,
    /// Where it goes.
    pub leaf: LeafId,
    /// The snapshot it reads.
    pub snapshot: Snapshot,
    /// Why it is sent.
    pub kind: AttemptKind,
}

/// A leaf request in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InFlightRequest {
    /// Its identifier.
    pub request: LeafRequestId,
    /// The leaf that has it.
    pub leaf: LeafId,
    /// When it was sent.
    pub sent: Timestamp,
}

/// What the dispatcher has to do after an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// Wait on.
    Waiting,
    /// The shard needs another attempt, if a replica and the budget allow.
    Retry(ShardId),
    /// The whole query needs another snapshot.
    SnapshotLost(ShardId),
    /// Nothing is owed any more.
    Complete,
}

/// Why a request is sent to a leaf.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptKind {
    /// The first, or one after attempts of which no byte was written: no extra load.
    Primary,
    /// One more after a failure.
    Retry,
    /// One more beside one that is late.
    Hedge,
}

#[derive(Debug, Default)]
struct ShardProgress {
    attempts: SmallVec<[Attempt; 2]>,
    body: Option<Bytes>,
    given_up: bool,
}

impl ShardProgress {
    fn settled(&self) -> bool {
        self.body.is_some() || self.given_up
    }

    fn in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.state == AttemptState::InFlight)
    }

    fn unsent(&self) -> usize {
        self.attempts.iter().filter(|attempt| attempt.state == AttemptState::NotSent).count()
    }

    fn missing_reason(&self) -> MissingReason {
        let certain = self.attempts.iter().all(|attempt| attempt.state.is_certainly_not_run());
        if certain { MissingReason::NotRun } else { MissingReason::Unknown }
    }

    fn end_attempt(&mut self, number: u16, state: AttemptState) {
        if let Some(attempt) = self.attempts.iter_mut().find(|attempt| attempt.number == number) {
            attempt.state = state;
        }
    }
}

/// State of a query that runs.
#[derive(Debug)]
pub struct Execution {
    query: QueryId,
    snapshot: Snapshot,
    table: Arc<ShardTable>,
    repeatable: bool,
    may_have_run_before: bool,
    next_attempt: u16,
    restarts: u8,
    shards: Vec<ShardProgress>,
    unsettled: usize,
    merged: usize,
}

impl Execution {
    /// Starts a query on a snapshot; nothing is sent yet. `table` is that of the snapshot's epoch.
    pub fn new(
        query: QueryId,
        snapshot: Snapshot,
        table: Arc<ShardTable>,
        repeatable: bool,
    ) -> Self {
        let mut shards = Vec::new();
        shards.resize_with(table.shards.len(), ShardProgress::default);
        let unsettled = shards.len();
        Self {
            query,
            snapshot,
            table,
            repeatable,
            may_have_run_before: false,
            next_attempt: 0,
            restarts: 0,
            shards,
            unsettled,
            merged: 0,
        }
    }

    /// The pinned snapshot.
    pub fn snapshot(&self) -> Snapshot {
        self.snapshot
    }

    /// The routes of the query's shards.
    pub fn table(&self) -> &Arc<ShardTable> {
        &self.table
    }

    /// The route of a shard.
    pub fn route(&self, shard: ShardId) -> Option<&ShardRoute> {
        Some(&self.table.shards[self.index(shard)?])
    }

    /// Whether any shard's reply was merged.
    pub fn has_parts(&self) -> bool {
        self.merged > 0
    }

    /// Whether the shard's reply was merged or the shard was given up.
    pub fn is_settled(&self, shard: ShardId) -> bool {
        self.progress_of(shard).is_some_and(ShardProgress::settled)
    }

    /// Leaves that were asked for the shard.
    pub fn tried(&self, shard: ShardId) -> SmallVec<[LeafId; 4]> {
        self.progress_of(shard)
            .map(|progress| progress.attempts.iter().map(|attempt| attempt.leaf).collect())
            .unwrap_or_default()
    }

    /// Leaves of the shard that it makes no sense to ask again: they refused, or have it still.
    pub fn excluded_from_retry(&self, shard: ShardId) -> SmallVec<[LeafId; 4]> {
        let excluded_from_retry = |attempt: &&Attempt| {
            matches!(attempt.state, AttemptState::NotRun | AttemptState::InFlight)
        };
        self.progress_of(shard)
            .map(|progress| {
                progress.attempts.iter().filter(excluded_from_retry).map(|a| a.leaf).collect()
            })
            .unwrap_or_default()
    }

    /// What another attempt at the shard would be; none when no further one is allowed. A query
    /// that is not repeatable is written to one replica once: another attempt is allowed only
    /// when no byte of the earlier ones was written.
    pub fn next_attempt(&self, shard: ShardId) -> Option<AttemptKind> {
        let progress = self.progress_of(shard)?;
        if progress.settled() {
            return None;
        }
        let unsent = progress.unsent();
        let written = progress.attempts.len() - unsent;
        if written == 0 {
            return (unsent < MAXIMUM_UNSENT).then_some(AttemptKind::Primary);
        }
        (self.repeatable && written < MAXIMUM_ATTEMPTS).then_some(AttemptKind::Retry)
    }

    /// Shards whose only written attempt is in flight still, when hedging them is allowed.
    pub fn late_shards(&self) -> SmallVec<[ShardId; 8]> {
        if !self.repeatable {
            return SmallVec::new();
        }
        let late = |progress: &ShardProgress| {
            !progress.settled()
                && progress.in_flight()
                && progress.attempts.len() - progress.unsent() == 1
        };
        let shards = self.table.shards.iter().zip(&self.shards);
        shards.filter(|(_, progress)| late(progress)).map(|(route, _)| route.shard).collect()
    }

    /// Records that the shard is asked of `leaf` now.
    pub fn send(
        &mut self,
        now: Timestamp,
        shard: ShardId,
        leaf: LeafId,
        kind: AttemptKind,
    ) -> Option<OutgoingRequest> {
        let number = self.next_attempt;
        let progress = self.progress_mut(shard)?;
        let state = AttemptState::InFlight;
        progress.attempts.push(Attempt { number, leaf, sent: now, state });
        self.next_attempt += 1;
        let request = LeafRequestId { query: self.query, shard, attempt: number };
        Some(OutgoingRequest { request, leaf, snapshot: self.snapshot, kind })
    }

    /// No replica can be asked for the shard any more.
    pub fn give_up(&mut self, shard: ShardId) -> Progress {
        if let Some(progress) = self.progress_mut(shard)
            && !progress.settled()
            && !progress.in_flight()
        {
            progress.given_up = true;
            self.unsettled -= 1;
        }
        self.progress()
    }

    /// The attempt that a request identifier names, while it is in flight.
    pub fn attempt_in_flight(&self, request: LeafRequestId) -> Option<Attempt> {
        let progress = self.progress_of(request.shard)?;
        progress
            .attempts
            .iter()
            .find(|attempt| {
                attempt.number == request.attempt && attempt.state == AttemptState::InFlight
            })
            .copied()
    }

    /// All requests in flight.
    pub fn in_flight(&self) -> Vec<InFlightRequest> {
        let mut owed = Vec::new();
        for (route, progress) in self.table.shards.iter().zip(&self.shards) {
            owed.extend(self.owed_by(route.shard, progress));
        }
        owed
    }

    /// Takes the requests of a shard that are in flight back; their replies are not wanted.
    pub fn withdraw(&mut self, shard: ShardId) -> SmallVec<[InFlightRequest; 2]> {
        let Some(index) = self.index(shard) else {
            return SmallVec::new();
        };
        let owed: SmallVec<[InFlightRequest; 2]> =
            self.owed_by(shard, &self.shards[index]).collect();
        for request in &owed {
            self.shards[index].end_attempt(request.request.attempt, AttemptState::MayHaveRun);
        }
        owed
    }

    /// A leaf replied. A reply of another snapshot is never merged.
    pub fn replied(&mut self, request: LeafRequestId, reply: LeafReply) -> Progress {
        if self.attempt_in_flight(request).is_none() {
            return self.progress();
        }
        match reply {
            LeafReply::Result { snapshot, body } if snapshot == self.snapshot => {
                self.merge(request, body)
            }
            LeafReply::Result { .. } => self.attempt_ended(request, AttemptState::MayHaveRun),
            LeafReply::NotRun(NotRunReason::SnapshotUnavailable) => {
                match self.attempt_ended(request, AttemptState::NotRun) {
                    Progress::Retry(shard) => Progress::SnapshotLost(shard),
                    progress => progress,
                }
            }
            LeafReply::NotRun(_) => self.attempt_ended(request, AttemptState::NotRun),
        }
    }

    /// A request failed without a well-formed reply.
    pub fn failed(&mut self, request: LeafRequestId, failure: LeafFailure) -> Progress {
        if self.attempt_in_flight(request).is_none() {
            return self.progress();
        }
        match failure {
            LeafFailure::NotSent => self.attempt_ended(request, AttemptState::NotSent),
            LeafFailure::Broken | LeafFailure::LeafError => {
                self.attempt_ended(request, AttemptState::MayHaveRun)
            }
        }
    }

    /// Starts over on another snapshot within the same query. Attempts are numbered on, so that
    /// late replies to the former ones name no attempt any more.
    pub fn restart(&mut self, snapshot: Snapshot, table: Arc<ShardTable>) {
        let ran = self.may_have_run();
        let next_attempt = self.next_attempt;
        let restarts = self.restarts + 1;
        *self = Self::new(self.query, snapshot, table, self.repeatable);
        self.next_attempt = next_attempt;
        self.restarts = restarts;
        self.may_have_run_before = ran;
    }

    /// Whether the query may start over: only a bounded number of times, and only when running
    /// a leaf request twice is allowed.
    pub fn may_restart(&self) -> bool {
        self.repeatable && self.restarts < MAXIMUM_RESTARTS
    }

    /// Ends the query with what there is now.
    pub fn finish(&self, price: u64, retry_after: Duration) -> QueryOutcome {
        let answer = self.answer(price);
        let unknown = answer.missing.iter().any(|shard| shard.reason == MissingReason::Unknown);
        if answer.parts.is_empty() && !unknown {
            return QueryOutcome::NotRun { reason: RefusalReason::LeavesRefused, retry_after };
        }
        if answer.parts.is_empty() || (unknown && !self.repeatable) {
            // Only an answer is charged.
            return QueryOutcome::Unknown { known: Answer { price: 0, ..answer }, retry_after };
        }
        QueryOutcome::Answered(answer)
    }

    fn answer(&self, price: u64) -> Answer {
        let mut parts = Vec::with_capacity(self.merged);
        let mut missing = Vec::new();
        for (route, progress) in self.table.shards.iter().zip(&self.shards) {
            let shard = route.shard;
            match &progress.body {
                Some(body) => parts.push(ShardPart { shard, body: body.clone() }),
                None => missing.push(MissingShard { shard, reason: self.missing_reason(progress) }),
            }
        }
        Answer { snapshot: self.snapshot, parts, missing, price }
    }

    /// After a restart a shard may have run on the former snapshot, whatever came of it since.
    fn missing_reason(&self, progress: &ShardProgress) -> MissingReason {
        if self.may_have_run_before { MissingReason::Unknown } else { progress.missing_reason() }
    }

    fn may_have_run(&self) -> bool {
        self.may_have_run_before
            || self.shards.iter().any(|progress| {
                progress.body.is_some() || progress.missing_reason() == MissingReason::Unknown
            })
    }

    fn merge(&mut self, request: LeafRequestId, body: Bytes) -> Progress {
        let Some(progress) = self.progress_mut(request.shard) else {
            return self.progress();
        };
        progress.end_attempt(request.attempt, AttemptState::MayHaveRun);
        if !progress.settled() {
            progress.body = Some(body);
            self.unsettled -= 1;
            self.merged += 1;
        }
        self.progress()
    }

    fn attempt_ended(&mut self, request: LeafRequestId, state: AttemptState) -> Progress {
        let Some(progress) = self.progress_mut(request.shard) else {
            return self.progress();
        };
        progress.end_attempt(request.attempt, state);
        if progress.settled() || progress.in_flight() {
            return self.progress();
        }
        Progress::Retry(request.shard)
    }

    fn progress(&self) -> Progress {
        if self.unsettled == 0 { Progress::Complete } else { Progress::Waiting }
    }

    fn owed_by<'progress>(
        &self,
        shard: ShardId,
        progress: &'progress ShardProgress,
    ) -> impl Iterator<Item = InFlightRequest> + use<'progress> {
        let query = self.query;
        let in_flight =
            progress.attempts.iter().filter(|attempt| attempt.state == AttemptState::InFlight);
        in_flight.map(move |attempt| InFlightRequest {
            request: LeafRequestId { query, shard, attempt: attempt.number },
            leaf: attempt.leaf,
            sent: attempt.sent,
        })
    }

    fn index(&self, shard: ShardId) -> Option<usize> {
        let expected = shard.0 as usize;
        if self.table.shards.get(expected).is_some_and(|route| route.shard == shard) {
            return Some(expected);
        }
        self.table.shards.binary_search_by_key(&shard, |route| route.shard).ok()
    }

    fn progress_of(&self, shard: ShardId) -> Option<&ShardProgress> {
        Some(&self.shards[self.index(shard)?])
    }

    fn progress_mut(&mut self, shard: ShardId) -> Option<&mut ShardProgress> {
        let index = self.index(shard)?;
        Some(&mut self.shards[index])
    }
}
