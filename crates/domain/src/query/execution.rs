//! Scatter-gather state of one query over the shards of one snapshot.

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

/// Greatest number of attempts per shard and snapshot whose request may have reached a leaf.
const MAXIMUM_ATTEMPTS: usize = 3;
/// Greatest number of attempts per shard and snapshot that fail before a byte is written.
const MAXIMUM_UNSENT: usize = 8;
/// Greatest number of restarts of one query on another snapshot.
const MAXIMUM_RESTARTS: u8 = 2;

/// One request to one leaf.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Attempt {
    /// Number of the attempt within the query, over all shards and restarts.
    pub number: u16,
    /// Leaf that the request was sent to.
    pub leaf: LeafId,
    /// Time at which the request was sent.
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
    /// Identifier of the request.
    pub request: LeafRequestId,
    /// Destination of the request.
    pub leaf: LeafId,
    /// Snapshot that the leaf has to read.
    pub snapshot: Snapshot,
    /// Cause of the attempt, which decides the budget that it draws on.
    pub kind: AttemptKind,
}

/// A leaf request in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InFlightRequest {
    /// Identifier of the request.
    pub request: LeafRequestId,
    /// Leaf that the request was sent to.
    pub leaf: LeafId,
    /// Time at which the request was sent.
    pub sent: Timestamp,
}

/// Next step of the dispatcher after an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// No action is needed until the next event.
    Waiting,
    /// The shard needs another attempt, if a replica is left and the budget allows.
    Retry(ShardId),
    /// A leaf does not hold the snapshot: the query restarts on another or the shard is retried.
    SnapshotLost(ShardId),
    /// Every shard is settled, so the query can end.
    Complete,
}

/// Cause of a leaf request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptKind {
    /// First attempt, or one after attempts of which no byte was written; adds no extra load.
    Primary,
    /// Another attempt after a failure.
    Retry,
    /// Another attempt while the first one is late.
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

/// State of a running query.
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
    /// Starts a query on a snapshot without sending. `table` belongs to the epoch of the snapshot.
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

    /// Snapshot that the query is pinned to.
    pub fn snapshot(&self) -> Snapshot {
        self.snapshot
    }

    /// Routes of all shards of the query.
    pub fn table(&self) -> &Arc<ShardTable> {
        &self.table
    }

    /// Route of a shard; `None` when the table does not contain the shard.
    pub fn route(&self, shard: ShardId) -> Option<&ShardRoute> {
        Some(&self.table.shards[self.index(shard)?])
    }

    /// Whether the reply of at least one shard was merged.
    pub fn has_parts(&self) -> bool {
        self.merged > 0
    }

    /// Whether the reply of the shard was merged or the shard was given up.
    pub fn is_settled(&self, shard: ShardId) -> bool {
        self.progress_of(shard).is_some_and(ShardProgress::settled)
    }

    /// Leaves that a request for the shard was sent to, on the current snapshot.
    pub fn tried(&self, shard: ShardId) -> SmallVec<[LeafId; 4]> {
        self.progress_of(shard)
            .map(|progress| progress.attempts.iter().map(|attempt| attempt.leaf).collect())
            .unwrap_or_default()
    }

    /// Leaves that a retry of the shard must not go to: they refused or have a request in flight.
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

    /// Kind of the next attempt at the shard; `None` when no further attempt is allowed. A query
    /// that is not repeatable is written to one replica only once: another attempt is allowed only
    /// if no byte of the earlier ones was written.
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

    /// Shards whose only written attempt is still in flight; empty if the query is not repeatable.
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

    /// Records an attempt at the shard on `leaf`; `None` when the table does not contain the shard.
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

    /// Gives the shard up unless it is settled or has a request in flight.
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

    /// Attempt with the given request identifier, if it is in flight.
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

    /// All requests of the query that are in flight.
    pub fn in_flight(&self) -> Vec<InFlightRequest> {
        let mut in_flight = Vec::new();
        for (route, progress) in self.table.shards.iter().zip(&self.shards) {
            in_flight.extend(self.in_flight_of(route.shard, progress));
        }
        in_flight
    }

    /// Ends the attempts of a shard that are in flight and returns them, to be cancelled.
    pub fn withdraw(&mut self, shard: ShardId) -> SmallVec<[InFlightRequest; 2]> {
        let Some(index) = self.index(shard) else {
            return SmallVec::new();
        };
        let in_flight: SmallVec<[InFlightRequest; 2]> =
            self.in_flight_of(shard, &self.shards[index]).collect();
        for request in &in_flight {
            self.shards[index].end_attempt(request.request.attempt, AttemptState::MayHaveRun);
        }
        in_flight
    }

    /// Handles a well-formed reply. A reply of another snapshot is never merged.
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

    /// Handles the failure of a request without a well-formed reply.
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

    /// Restarts the query on another snapshot. Attempt numbers continue, so that late replies to
    /// earlier attempts match none.
    pub fn restart(&mut self, snapshot: Snapshot, table: Arc<ShardTable>) {
        let ran = self.may_have_run();
        let next_attempt = self.next_attempt;
        let restarts = self.restarts + 1;
        *self = Self::new(self.query, snapshot, table, self.repeatable);
        self.next_attempt = next_attempt;
        self.restarts = restarts;
        self.may_have_run_before = ran;
    }

    /// Whether the query may restart: only if a leaf request may run twice, and only a bounded
    /// number of times.
    pub fn may_restart(&self) -> bool {
        self.repeatable && self.restarts < MAXIMUM_RESTARTS
    }

    /// Outcome of the query with the shards merged so far.
    pub fn finish(&self, price: u64, retry_after: Duration) -> QueryOutcome {
        let answer = self.answer(price);
        let unknown = answer.missing.iter().any(|shard| shard.reason == MissingReason::Unknown);
        if answer.parts.is_empty() && !unknown {
            return QueryOutcome::NotRun { reason: RefusalReason::LeavesRefused, retry_after };
        }
        if answer.parts.is_empty() || (unknown && !self.repeatable) {
            // Only an answered query is charged.
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

    /// After a restart, a shard may have run on the earlier snapshot, whatever its later attempts
    /// say.
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

    fn in_flight_of<'progress>(
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
