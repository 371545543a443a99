//! What a dispatcher wants done.

use std::time::Duration;

use crate::identifiers::{LeafId, LeafRequestId, QueryId};
use crate::query::{OutgoingRequest, QueryOutcome};

/// Something that the driver of a dispatcher has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Give the caller its final answer.
    Answer {
        /// The query.
        query: QueryId,
        /// What became of it.
        outcome: QueryOutcome,
    },
    /// Send a request to a leaf.
    Send {
        /// The request.
        sending: OutgoingRequest,
        /// Time until the caller's deadline.
        time_left: Duration,
    },
    /// Ask a leaf whether it is leaving; no answer is needed when it cannot be reached.
    Probe {
        /// The leaf.
        leaf: LeafId,
    },
    /// Cancel a request in flight; its reply is not wanted any more.
    Cancel {
        /// The request.
        request: LeafRequestId,
        /// The leaf that has it.
        leaf: LeafId,
    },
}
