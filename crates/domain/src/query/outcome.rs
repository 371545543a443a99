//! What a caller is told.

use std::time::Duration;

use bytes::Bytes;

use crate::admission::RefusalReason;
use crate::identifiers::{ShardId, Snapshot};

/// Why a shard is not part of an answer.
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
    /// The shard.
    pub shard: ShardId,
    /// Why it is missing.
    pub reason: MissingReason,
}

/// The reply of one shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShardPart {
    /// The shard.
    pub shard: ShardId,
    /// Its reply body.
    pub body: Bytes,
}

/// An answer: every part is of the same snapshot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// The snapshot that every part was read from.
    pub snapshot: Snapshot,
    /// Merged replies, by shard.
    pub parts: Vec<ShardPart>,
    /// Shards that are not part of the answer, by shard.
    pub missing: Vec<MissingShard>,
    /// Charge for the answer.
    pub price: u64,
}

impl Answer {
    /// Shards of the snapshot's partition map.
    pub fn shard_count(&self) -> usize {
        self.parts.len() + self.missing.len()
    }

    /// Share of the shards that are part of the answer, from 0 to 1.
    pub fn coverage(&self) -> f64 {
        if self.shard_count() == 0 {
            return 0.0;
        }
        self.parts.len() as f64 / self.shard_count() as f64
    }
}

/// What becomes of a query; given once and at once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QueryOutcome {
    /// At least one shard replied and, if the query is not repeatable, no shard's outcome is
    /// unknown.
    Answered(Answer),
    /// Nothing of the query was run.
    NotRun {
        /// Why.
        reason: RefusalReason,
        /// When asking again is worth while.
        retry_after: Duration,
    },
    /// A leaf may have run the query, but there is no answer that tells.
    Unknown {
        /// What is known: merged parts and missing shards.
        known: Answer,
        /// When asking again is worth while.
        retry_after: Duration,
    },
    /// The request may have run under its key, but this broker has no record that tells.
    Unrecorded(UnrecordedReason),
}

/// Why nothing is known of what became of a request under its key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnrecordedReason {
    /// The key was issued by another broker or an earlier run of this one.
    OtherRun,
    /// The key was not issued, was issued to another caller, or has expired with its record.
    NotKnown,
    /// The first request under the key runs on after the deadline of this one.
    StillRunning,
}
