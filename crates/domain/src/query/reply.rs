//! What comes back from a leaf.

use bytes::Bytes;

use crate::identifiers::Snapshot;

/// Why a leaf did not run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotRunReason {
    /// It sheds load.
    Shedding,
    /// It is leaving.
    Draining,
    /// It does not hold the asked snapshot.
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
        /// Snapshot that was read.
        snapshot: Snapshot,
        /// Result of the shard.
        body: Bytes,
    },
    /// The leaf did not run the request.
    NotRun(NotRunReason),
}

/// Why there is no well-formed reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeafFailure {
    /// No byte of the request was written, so it was not run.
    NotSent,
    /// The connection broke, or the reply was cut short, malformed or of another request.
    Broken,
    /// The leaf ran into an error of its own.
    LeafError,
}
