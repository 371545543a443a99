//! Scatter and gather of one query over the shards of one snapshot.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use smallvec::SmallVec;

use super::outcome::{Answer, MissingReason, MissingShard, QueryOutcome, ShardPart};
use super::reply::{LeafFailure, LeafReply, NotRunReason};
use crate::admission::RefusalReason;
use crate::catalog::PartitionMap;
use crate::identifiers::{LeafId, LeafRequestId, QueryId, ShardId, Snapshot};
use crate::time::Timestamp;

/// Attempts at one shard that are made at most, over the whole query.
const MAXIMUM_ATTEMPTS: usize = 3;

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
    NotRun,
    MayHaveRun,
}

/// A leaf request to send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sending {
    /// Its identifier.
    pub request: LeafRequestId,
    /// Where it goes.
    pub leaf: LeafId,
    /// The snapshot it reads.
    pub snapshot: Snapshot,
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

#[derive(Debug)]
struct ShardProgress {
    replicas: Vec<LeafId>,
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

    fn missing_reason(&self) -> MissingReason {
        let certain = self.attempts.iter().all(|attempt| attempt.state == AttemptState::NotRun);
        if certain { MissingReason::NotRun } else { MissingReason::Unknown }
    }
}

/// State of a query that runs.
#[derive(Debug)]
pub struct Execution {
    query: QueryId,
    snapshot: Snapshot,
    repeatable: bool,
    may_have_run_before: bool,
    next_attempt: u16,
    shards: BTreeMap<ShardId, ShardProgress>,
    unsettled: usize,
}

impl Execution {
    /// Starts a query on a snapshot; nothing is sent yet.
    pub fn new(query: QueryId, snapshot: Snapshot, map: &PartitionMap, repeatable: bool) -> Self {
        let shards: BTreeMap<ShardId, ShardProgress> = map
            .shards
            .iter()
            .map(|(shard, replicas)| {
                let progress = ShardProgress {
                    replicas: replicas.clone(),
                    attempts: SmallVec::new(),
                    body: None,
                    given_up: false,
                };
                (*shard, progress)
            })
            .collect();
        let unsettled = shards.len();
        Self {
            query,
            snapshot,
            repeatable,
            may_have_run_before: false,
            next_attempt: 0,
            shards,
            unsettled,
        }
    }

    /// The pinned snapshot.
    pub fn snapshot(&self) -> Snapshot {
        self.snapshot
    }

    /// All shards of the query.
    pub fn shard_ids(&self) -> Vec<ShardId> {
        self.shards.keys().copied().collect()
    }

    /// Replicas of a shard.
    pub fn replicas(&self, shard: ShardId) -> &[LeafId] {
        self.shards.get(&shard).map_or(&[], |progress| &progress.replicas)
    }

    /// Leaves that were asked for the shard.
    pub fn tried(&self, shard: ShardId) -> SmallVec<[LeafId; 4]> {
        self.shards
            .get(&shard)
            .map(|progress| progress.attempts.iter().map(|attempt| attempt.leaf).collect())
            .unwrap_or_default()
    }

    /// Whether another attempt at the shard is allowed: always the first one; later ones only
    /// for a repeatable query, or when no byte of the earlier ones was written.
    pub fn may_attempt(&self, shard: ShardId) -> bool {
        let Some(progress) = self.shards.get(&shard) else {
            return false;
        };
        if progress.settled() || progress.attempts.len() >= MAXIMUM_ATTEMPTS {
            return false;
        }
        self.repeatable || progress.attempts.is_empty()
    }

    /// Records that the shard is asked of `leaf` now.
    pub fn send(&mut self, now: Timestamp, shard: ShardId, leaf: LeafId) -> Option<Sending> {
        let number = self.next_attempt;
        let progress = self.shards.get_mut(&shard)?;
        let state = AttemptState::InFlight;
        progress.attempts.push(Attempt { number, leaf, sent: now, state });
        self.next_attempt += 1;
        let request = LeafRequestId { query: self.query, shard, attempt: number };
        Some(Sending { request, leaf, snapshot: self.snapshot })
    }

    /// No replica can be asked for the shard any more.
    pub fn give_up(&mut self, shard: ShardId) -> Progress {
        if let Some(progress) = self.shards.get_mut(&shard)
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
        let progress = self.shards.get(&request.shard)?;
        progress
            .attempts
            .iter()
            .find(|attempt| {
                attempt.number == request.attempt && attempt.state == AttemptState::InFlight
            })
            .copied()
    }

    /// All requests in flight.
    pub fn in_flight(&self) -> Vec<Sending> {
        let mut sendings = Vec::new();
        for (shard, progress) in &self.shards {
            for attempt in &progress.attempts {
                if attempt.state == AttemptState::InFlight {
                    let request =
                        LeafRequestId { query: self.query, shard: *shard, attempt: attempt.number };
                    sendings.push(Sending { request, leaf: attempt.leaf, snapshot: self.snapshot });
                }
            }
        }
        sendings
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
                self.attempt_ended(request, AttemptState::NotRun);
                Progress::SnapshotLost(request.shard)
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
            LeafFailure::NotSent => self.attempt_ended(request, AttemptState::NotRun),
            LeafFailure::Broken | LeafFailure::LeafError => {
                self.attempt_ended(request, AttemptState::MayHaveRun)
            }
        }
    }

    /// Starts over on another snapshot within the same query.
    pub fn restart(&mut self, snapshot: Snapshot, map: &PartitionMap) {
        let ran = self.may_have_run();
        let next_attempt = self.next_attempt;
        *self = Self::new(self.query, snapshot, map, self.repeatable);
        self.next_attempt = next_attempt;
        self.may_have_run_before = ran;
    }

    /// Whether the query may start over: only when running a leaf request twice is allowed.
    pub fn may_restart(&self) -> bool {
        self.repeatable
    }

    /// Ends the query with what there is now.
    pub fn finish(&self, price: u64, retry_after: Duration) -> QueryOutcome {
        let answer = self.answer(price);
        let unknown = answer.missing.iter().any(|shard| shard.reason == MissingReason::Unknown);
        if answer.parts.is_empty() && !unknown && !self.may_have_run_before {
            return QueryOutcome::NotRun { reason: RefusalReason::LeavesRefused, retry_after };
        }
        if answer.parts.is_empty() || (unknown && !self.repeatable) {
            return QueryOutcome::Unknown { known: answer, retry_after };
        }
        QueryOutcome::Answered(answer)
    }

    fn answer(&self, price: u64) -> Answer {
        let mut parts = Vec::with_capacity(self.shards.len());
        let mut missing = Vec::new();
        for (shard, progress) in &self.shards {
            match &progress.body {
                Some(body) => parts.push(ShardPart { shard: *shard, body: body.clone() }),
                None => {
                    missing.push(MissingShard { shard: *shard, reason: progress.missing_reason() })
                }
            }
        }
        Answer { snapshot: self.snapshot, parts, missing, price }
    }

    fn may_have_run(&self) -> bool {
        self.may_have_run_before
            || self.shards.values().any(|progress| {
                progress.body.is_some() || progress.missing_reason() == MissingReason::Unknown
            })
    }

    fn merge(&mut self, request: LeafRequestId, body: Bytes) -> Progress {
        let progress = self.shards.get_mut(&request.shard).expect("the attempt is in flight");
        progress.end_attempt(request.attempt, AttemptState::MayHaveRun);
        if !progress.settled() {
            progress.body = Some(body);
            self.unsettled -= 1;
        }
        self.progress()
    }

    fn attempt_ended(&mut self, request: LeafRequestId, state: AttemptState) -> Progress {
        let progress = self.shards.get_mut(&request.shard).expect("the attempt is in flight");
        progress.end_attempt(request.attempt, state);
        if progress.settled() || progress.in_flight() {
            return self.progress();
        }
        Progress::Retry(request.shard)
    }

    fn progress(&self) -> Progress {
        if self.unsettled == 0 { Progress::Complete } else { Progress::Waiting }
    }
}

impl ShardProgress {
    fn end_attempt(&mut self, number: u16, state: AttemptState) {
        if let Some(attempt) = self.attempts.iter_mut().find(|attempt| attempt.number == number) {
            attempt.state = state;
        }
    }
}
