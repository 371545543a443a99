//! A request at a broker and its parts.

use std::collections::BTreeMap;

use gingerkeel_domain::forwarding::{ExecutionEvidence, Gathering, RequestAttempts};
use gingerkeel_domain::identifiers::LeafIdentity;
use gingerkeel_domain::time::Timestamp;

/// Kind of a request: the route that it takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RouteKind {
    /// One part of each shard.
    Gathered,
    /// One leaf; not repeatable.
    Once,
}

/// A part: the request at the leaves of one service.
#[derive(Debug)]
pub struct Part {
    /// Place of the service.
    pub service: usize,
    /// The attempts.
    pub attempts: RequestAttempts,
    /// When each attempt began that has not ended.
    pub began: BTreeMap<LeafIdentity, Timestamp>,
    /// Whether a reply came; none while that is open.
    pub came: Option<bool>,
    /// Whether the reply says that the leaf failed.
    pub leaf_failed: bool,
    /// Whether it was told that the other parts were faster.
    pub told_overdue: bool,
}

/// A request.
#[derive(Debug)]
pub struct Request {
    /// Its route.
    pub kind: RouteKind,
    /// When it was admitted.
    pub admitted: Timestamp,
    /// When it has to be answered.
    pub deadline: Timestamp,
    /// Which parts are in; none of a request to one leaf.
    pub gathering: Option<Gathering>,
    /// Its parts.
    pub parts: Vec<Part>,
    /// What the attempts at all parts tell of whether it has run.
    pub evidence: ExecutionEvidence,
}
