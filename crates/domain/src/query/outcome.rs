//! Outcome of a query as reported to the caller.

use std::time::Duration;

use bytes::Bytes;

use crate::admission::RefusalReason;
use crate::identifiers::{ShardId, Snapshot};

/// Cause for which a shard is missing from an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MissingReason {
    /// No leaf ran the request.
    NotRun,
    /// A leaf may have run the request, but its reply was not merged.
    Unknown,
}

/// A shard that is not part of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MissingShard {
    /// Number of the shard.
    pub shard: ShardId,
    /// Whether a leaf may have run the request.
    pub reason: MissingReason,
}

/// Merged reply of one shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShardPart {
    /// Number of the shard.
    pub shard: ShardId,
    /// Body of the reply.
    pub body: Bytes,
}

/// Answer to a query; all parts are read from the same snapshot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// Snapshot that all parts were read from.
    pub snapshot: Snapshot,
    /// Merged replies, ordered by shard.
    pub parts: Vec<ShardPart>,
    /// Shards without a merged reply, ordered by shard.
    pub missing: Vec<MissingShard>,
    /// Charge in price units; 0 when the outcome is unknown.
    pub price: u64,
}

impl Answer {
    /// Number of shards in the partition map of the snapshot.
    pub fn shard_count(&self) -> usize {
        self.parts.len() + self.missing.len()
    }

    /// Share of the shards that the answer covers, from 0 to 1.
    pub fn coverage(&self) -> f64 {
        if self.shard_count() == 0 {
            return 0.0;
        }
        self.parts.len() as f64 / self.shard_count() as f64
    }
}

/// Final outcome of a query, reported exactly once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QueryOutcome {
    /// At least one shard replied and, if the query is not repeatable, no shard's outcome is
    /// unknown.
    Answered(Answer),
    /// No leaf ran any part of the query.
    NotRun {
        /// Cause of the refusal.
        reason: RefusalReason,
        /// Time after which a retry may succeed.
        retry_after: Duration,
    },
    /// A leaf may have run the query, but no complete result is known.
    Unknown {
        /// Merged parts and missing shards.
        known: Answer,
        /// Time after which a retry may succeed.
        retry_after: Duration,
    },
    /// The request may have run under its key, but this broker has no record of the outcome.
    Unrecorded(UnrecordedReason),
}

/// Cause for which the outcome of a keyed request is not known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnrecordedReason {
    /// The key was issued by another broker or an earlier run of this one.
    OtherRun,
    /// The key was not issued, was issued to another caller, or has expired with its record.
    NotKnown,
    /// The first request under the key is still running at the deadline of this one.
    StillRunning,
}
