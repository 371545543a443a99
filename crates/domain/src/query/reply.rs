//! Replies and failures of leaf requests.

use bytes::Bytes;

use crate::identifiers::Snapshot;

/// Why a leaf did not run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotRunReason {
    /// The leaf sheds load.
    Shedding,
    /// The leaf is draining.
    Draining,
    /// The leaf does not hold the requested snapshot.
    SnapshotUnavailable,
    /// The deadline had passed.
    DeadlinePassed,
    /// The request was cancelled before it ran.
    Cancelled,
}

/// A well-formed reply to a request of this broker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeafReply {
    /// The leaf ran the request.
    Result {
        /// Snapshot that the leaf read.
        snapshot: Snapshot,
        /// Result for the shard.
        body: Bytes,
    },
    /// The leaf did not run the request.
    NotRun(NotRunReason),
}

/// Cause for which a request ended without a well-formed reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeafFailure {
    /// No byte of the request was written, so it was not run.
    NotSent,
    /// The connection broke, or the reply was truncated, malformed or for another request.
    Broken,
    /// The leaf reported an internal error.
    LeafError,
}
