//! Actions that a dispatcher requests from its driver.

use std::time::Duration;

use crate::identifiers::{LeafId, LeafRequestId, QueryId};
use crate::query::{OutgoingRequest, QueryOutcome};

/// An action for the driver of a dispatcher.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Deliver the final outcome to the caller.
    Answer {
        /// The query that ended.
        query: QueryId,
        /// The final outcome.
        outcome: QueryOutcome,
    },
    /// Send a request to a leaf.
    Send {
        /// Identifier, leaf and snapshot of the request.
        sending: OutgoingRequest,
        /// Time until the caller's deadline.
        time_left: Duration,
    },
    /// Ask a leaf whether it is draining; nothing is reported when the leaf cannot be reached.
    Probe {
        /// The leaf to probe.
        leaf: LeafId,
    },
    /// Cancel a request in flight; its reply is ignored.
    Cancel {
        /// The request to cancel.
        request: LeafRequestId,
        /// The leaf that the request was sent to.
        leaf: LeafId,
    },
}
