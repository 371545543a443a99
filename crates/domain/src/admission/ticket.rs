//! What admission is asked and what it decides.

use std::time::Duration;

use crate::identifiers::QueryId;
use crate::time::Timestamp;

/// A query that asks to be admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ticket {
    /// The query.
    pub query: QueryId,
    /// Priority of its class; 0 is served first.
    pub priority: u8,
    /// Moment after which an answer is of no use.
    pub deadline: Timestamp,
}

/// Why a query was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RefusalReason {
    /// The queue of its class is full, or all queues together are and no lower class waits.
    QueueFull,
    /// A query of a higher class took its place in the queue.
    Evicted,
    /// It could not have finished before its deadline.
    DeadlineTooClose,
    /// The service's brokers are overloaded and admit higher classes only.
    Overloaded,
    /// The broker is stopping.
    Stopping,
    /// The caller's budget is spent.
    BudgetSpent,
    /// The caller has no account.
    UnknownCaller,
    /// The service or class is not defined, or the service has no published snapshot.
    NotServed,
    /// Every leaf asked for it said that it did not run it.
    LeavesRefused,
    /// The broker cannot tell whether its configuration is still the accepted one.
    ConfigurationStale,
    /// Its request key belongs to another request.
    KeyTaken,
    /// As many request keys are known as may be.
    KeysExhausted,
}

/// Why something was not run, and when asking again is worth while.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// When asking again is worth while.
    pub retry_after: Duration,
}

/// What becomes of a ticket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The query starts now.
    Start(QueryId),
    /// The query is given up before anything of it was run.
    Refuse {
        /// The query.
        query: QueryId,
        /// Why.
        reason: RefusalReason,
        /// When asking again is worth while.
        retry_after: Duration,
    },
}

/// Queue length and priority of a class.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClassLimit {
    /// Priority of the class.
    pub priority: u8,
    /// Queries of it that may wait.
    pub queue_limit: u32,
}

/// A query that ends and gives its slot back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlotRelease {
    /// Priority of its class.
    pub priority: u8,
    /// Time for which it held the slot.
    pub held: Duration,
    /// Whether it was answered; only then does it tell how fast its class runs.
    pub answered: bool,
}
