//! What a simulated broker does and waits for.

use std::time::Duration;

use gingerkeel_domain::forwarding::TicketNumber;
use gingerkeel_domain::identifiers::LeafIdentity;

use super::history::{Ending, RequestNumber};
use super::request::RouteKind;

/// An attempt of a broker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptKey {
    /// The request.
    pub request: RequestNumber,
    /// Place of the part.
    pub part: usize,
    /// The leaf.
    pub leaf: LeafIdentity,
}

/// Something that a broker waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Timer {
    /// Whether an answer is complete enough.
    Progress(RequestNumber),
    /// Whether another leaf is asked as well, after so many were.
    Hedge(RequestNumber, usize, usize),
    /// Whether a connection is free.
    Connection(RequestNumber, usize),
    /// Whether a request still waits for admission.
    Admission(RouteKind, TicketNumber),
}

/// What a broker does.
#[derive(Debug)]
pub enum Action {
    /// It sends a request to a leaf.
    Send(AttemptKey),
    /// It closes the connection of an attempt.
    Cancel(AttemptKey),
    /// It wants to be told after this time.
    Wake(Duration, Timer),
    /// It answers a caller.
    End(RequestNumber, Ending),
}
