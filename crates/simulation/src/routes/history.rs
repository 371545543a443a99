//! What callers and leaves saw in a run.

use std::collections::{BTreeMap, BTreeSet};

use gingerkeel_domain::time::Timestamp;

use super::fault::LeafPlace;

/// Number of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestNumber(pub u64);

/// How a request ended for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ending {
    /// Answered with the parts of these services.
    Answered(BTreeSet<usize>),
    /// A leaf said that it failed; it has run.
    LeafFailed,
    /// Refused as not run.
    NotRun,
    /// It may have run.
    MayHaveRun,
    /// Its time was over; it may have run.
    TimedOut,
}

/// One request.
#[derive(Debug, Clone)]
pub struct RequestRecord {
    /// When it came.
    pub came: Timestamp,
    /// When it has to be answered.
    pub deadline: Timestamp,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// The services of its parts.
    pub services: Vec<usize>,
    /// How it ended, and when; more than one is a fault.
    pub endings: Vec<(Timestamp, Ending)>,
}

/// A request at a leaf.
#[derive(Debug, Clone, Copy)]
pub struct ArrivalRecord {
    /// When.
    pub at: Timestamp,
    /// The request.
    pub request: RequestNumber,
    /// The leaf.
    pub leaf: LeafPlace,
    /// Whether the leaf took it in, so that it may run.
    pub taken: bool,
}

/// What was seen.
#[derive(Debug, Default)]
pub struct History {
    /// Requests.
    pub requests: BTreeMap<RequestNumber, RequestRecord>,
    /// Requests at leaves, in order of time.
    pub arrivals: Vec<ArrivalRecord>,
    /// Replies that tell of success and reached the broker, by request and service.
    pub good_replies: BTreeSet<(RequestNumber, usize)>,
    /// Runs that a leaf finished, by request and service.
    pub runs: BTreeMap<(RequestNumber, usize), u32>,
    /// When the list said that a leaf leaves.
    pub leaving: BTreeMap<LeafPlace, Timestamp>,
}
