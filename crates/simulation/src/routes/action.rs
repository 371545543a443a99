//! Actions and timers of a simulated broker.

use std::time::Duration;

use gingerkeel_domain::forwarding::TicketNumber;
use gingerkeel_domain::identifiers::LeafIdentity;

use super::history::{Ending, RequestNumber};
use super::request::RouteKind;

/// Key of an attempt at a broker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptKey {
    /// Request of the attempt.
    pub request: RequestNumber,
    /// Index of the part in the request.
    pub part: usize,
    /// Leaf to which the attempt was sent.
    pub leaf: LeafIdentity,
}

/// Timer of a broker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Timer {
    /// Check whether an answer is complete enough.
    Progress(RequestNumber),
    /// Check whether to hedge a part, with the index of the part and the number of leaves tried.
    Hedge(RequestNumber, usize, usize),
    /// Check whether a connection is available for a part.
    Connection(RequestNumber, usize),
    /// Admission timeout of a request.
    Admission(RouteKind, TicketNumber),
}

/// Action of a broker.
#[derive(Debug)]
pub enum Action {
    /// Send a request to a leaf.
    Send(AttemptKey),
    /// Close the connection of an attempt.
    Cancel(AttemptKey),
    /// Set a timer with this delay.
    Wake(Duration, Timer),
    /// Respond to a caller.
    End(RequestNumber, Ending),
}
