//! Requests to admission and its decisions.

use std::time::Duration;

use crate::identifiers::QueryId;
use crate::time::Timestamp;

/// A query offered for admission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ticket {
    /// Number of the query.
    pub query: QueryId,
    /// Priority of the class; 0 is served first.
    pub priority: u8,
    /// Time at which the query is refused if it has not started.
    pub deadline: Timestamp,
}

/// Why a query was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RefusalReason {
    /// The queue of the class is full, or the shared limit is reached and no lower class is queued.
    QueueFull,
    /// The query was evicted from the queue by a query of a higher class.
    Evicted,
    /// The query could not have finished before its deadline.
    DeadlineTooClose,
    /// The class is below the overload threshold of the service.
    Overloaded,
    /// The broker is stopping or drained.
    Stopping,
    /// The caller's budget does not cover the price.
    BudgetSpent,
    /// The caller has no account.
    UnknownCaller,
    /// The service or class is not defined, or the service has no published snapshot.
    NotServed,
    /// No leaf ran any request of the query.
    LeavesRefused,
    /// The freshness lease has expired, so the configuration may be outdated.
    ConfigurationStale,
    /// The request key was used by a request with other content.
    KeyTaken,
    /// The request key table is full.
    KeysExhausted,
}

/// A refusal with its retry delay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Cause of the refusal.
    pub reason: RefusalReason,
    /// Time after which a retry may succeed.
    pub retry_after: Duration,
}

/// Decision of admission on one query.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The query starts now.
    Start(QueryId),
    /// The query is refused before any request of it was sent.
    Refuse {
        /// The refused query.
        query: QueryId,
        /// Cause of the refusal.
        reason: RefusalReason,
        /// Time after which a retry may succeed.
        retry_after: Duration,
    },
}

/// Queue limit and priority of a class.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClassLimit {
    /// Priority of the class.
    pub priority: u8,
    /// Greatest number of queued queries of the class.
    pub queue_limit: u32,
}

/// Release of the slot of a query that ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlotRelease {
    /// Priority of the class that the query was admitted with.
    pub priority: u8,
    /// Time for which the query held the slot.
    pub held: Duration,
    /// Whether the query was answered; only then does `held` count as a run time of its class.
    pub answered: bool,
}
