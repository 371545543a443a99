//! Observations of callers and leaves.

use std::collections::{BTreeMap, BTreeSet};

use gingerkeel_domain::time::Timestamp;

use super::fault::LeafPlace;

/// Number of a request, unique in a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestNumber(pub u64);

/// Response to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ending {
    /// Answered with the parts of these services.
    Answered(BTreeSet<usize>),
    /// A leaf executed the request and reported a failure.
    LeafFailed,
    /// Refused as not run.
    NotRun,
    /// Failed, with unknown execution.
    MayHaveRun,
    /// Timed out, with unknown execution.
    TimedOut,
}

/// A request as observed by its caller.
#[derive(Debug, Clone)]
pub struct RequestRecord {
    /// Time of the request.
    pub came: Timestamp,
    /// Time limit for the response.
    pub deadline: Timestamp,
    /// Whether the request may be executed more than once.
    pub repeatable: bool,
    /// Services of the parts of the request.
    pub services: Vec<usize>,
    /// Each response with its time. More than one is a violation.
    pub endings: Vec<(Timestamp, Ending)>,
}

/// Arrival of a request at a leaf.
#[derive(Debug, Clone, Copy)]
pub struct ArrivalRecord {
    /// Arrival time.
    pub at: Timestamp,
    /// Number of the request.
    pub request: RequestNumber,
    /// Leaf that received the request.
    pub leaf: LeafPlace,
    /// Whether the leaf accepted the request for execution.
    pub taken: bool,
}

/// Observations of a run.
#[derive(Debug, Default)]
pub struct History {
    /// Requests by number.
    pub requests: BTreeMap<RequestNumber, RequestRecord>,
    /// Arrivals of requests at leaves, ordered by time.
    pub arrivals: Vec<ArrivalRecord>,
    /// Successful replies received by brokers, by request and service.
    pub good_replies: BTreeSet<(RequestNumber, usize)>,
    /// Number of completed executions, by request and service.
    pub runs: BTreeMap<(RequestNumber, usize), u32>,
    /// Times at which the directory listed leaves as leaving.
    pub leaving: BTreeMap<LeafPlace, Timestamp>,
}
