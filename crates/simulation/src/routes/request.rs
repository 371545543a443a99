//! State of a request at a simulated broker.

use std::collections::BTreeMap;

use gingerkeel_domain::forwarding::{ExecutionEvidence, Gathering, RequestAttempts};
use gingerkeel_domain::identifiers::LeafIdentity;
use gingerkeel_domain::time::Timestamp;

/// Route of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RouteKind {
    /// Gathers one part from each shard.
    Gathered,
    /// Is sent to one leaf and is not repeatable.
    Once,
}

/// Part of a request: its attempts at the leaves of one service.
#[derive(Debug)]
pub struct Part {
    /// Index of the service.
    pub service: usize,
    /// Attempts at leaves of the service.
    pub attempts: RequestAttempts,
    /// Start times of the attempts in flight.
    pub began: BTreeMap<LeafIdentity, Timestamp>,
    /// Whether a reply was received, or `None` while attempts are pending.
    pub came: Option<bool>,
    /// Whether the reply reports a failure of the leaf.
    pub leaf_failed: bool,
    /// Whether the part has been hedged because it was overdue compared to the other parts.
    pub overdue_hedged: bool,
}

/// A request in progress.
#[derive(Debug)]
pub struct Request {
    /// Route of the request.
    pub kind: RouteKind,
    /// Admission time.
    pub admitted: Timestamp,
    /// Time limit for the response.
    pub deadline: Timestamp,
    /// Received parts, or `None` for a request to one leaf.
    pub gathering: Option<Gathering>,
    /// Parts of the request.
    pub parts: Vec<Part>,
    /// Evidence from all attempts on whether the request has been executed.
    pub evidence: ExecutionEvidence,
}
