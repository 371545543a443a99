//! Queries: submission, scatter-gather execution and outcome.

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
    /// Number assigned by the broker.
    pub query: QueryId,
    /// Service that the query is addressed to.
    pub service: ServiceName,
    /// Class that decides priority, price and answer policy.
    pub class: ClassName,
    /// Account that is charged.
    pub caller: CallerName,
    /// Time at which the query ends in any case.
    pub deadline: Timestamp,
    /// Whether leaf requests of the query may run more than once.
    pub repeatable: bool,
    /// Request key under which the outcome is recorded, so that a resend runs nothing twice.
    pub key: Option<KeyedRequest>,
}
