//! One query: what a caller submits, how its scatter and gather goes on, and what comes of it.

mod execution;
mod outcome;
mod reply;
mod snapshots;

use crate::identifiers::{CallerName, ClassName, QueryId, ServiceName};
use crate::request_key::KeyedRequest;
use crate::time::Timestamp;

pub use execution::{Attempt, AttemptKind, Execution, InFlightRequest, OutgoingRequest, Progress};
pub use outcome::{Answer, MissingReason, MissingShard, QueryOutcome, ShardPart, UnrecordedReason};
pub use reply::{LeafFailure, LeafReply, NotRunReason};
pub use snapshots::SnapshotDirectory;

/// A query as a caller submits it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Submission {
    /// Number given by the broker.
    pub query: QueryId,
    /// Service that is asked.
    pub service: ServiceName,
    /// Class that the caller pays for.
    pub class: ClassName,
    /// Who asks.
    pub caller: CallerName,
    /// Moment after which an answer is of no use.
    pub deadline: Timestamp,
    /// Whether a leaf may be asked more than once.
    pub repeatable: bool,
    /// Under which the outcome is recorded, so that the request can be sent again.
    pub key: Option<KeyedRequest>,
}
