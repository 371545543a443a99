//! The attempts at one request at the leaves of one service: how many there may be and whether
//! another one follows. Whether the request may have run is judged over all services, by
//! [`ExecutionEvidence`](super::ExecutionEvidence).

use std::time::Duration;

use quick_error::quick_error;

use crate::identifiers::LeafIdentity;
use crate::time::Timestamp;

/// Lowest HTTP status that counts as a failure of the leaf.
const FIRST_FAILURE_STATUS: u16 = 500;

/// Upper bound of the hedge delay, as a share of the target latency.
const MAX_HEDGE_SHARE: f64 = 0.35;
/// Lower bound of the hedge delay.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(8);

quick_error! {
    /// Why an attempt gave no reply.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum AttemptError {
        /// This broker has no free connection to the leaf; nothing was sent.
        NoConnection {
            display("no free connection to the leaf: wait for one, or raise its connection limit")
        }
        /// The leaf is at its connection limit; nothing was sent.
        NotAccepted {
            display("the leaf is at its connection limit: wait for a connection")
        }
        /// The leaf's address refused the connection; nothing was sent.
        ConnectionRefused {
            display("the leaf's address refused the connection: check that the leaf runs")
        }
        /// No connection to the leaf could be established; nothing was sent.
        NotConnected {
            display("could not connect to the leaf: check that it runs and is reachable")
        }
        /// The leaf refused the request and did not run it.
        Rejected {
            display("the leaf refused the request: retry later")
        }
        /// Another leaf answered at the address; it did not run the request.
        AnotherLeaf {
            display("another leaf answered at the address: wait for an updated list of leaves")
        }
        /// The connection failed after the request was sent; the request may have run.
        Lost {
            display("the connection was lost after sending: check whether the request has run")
        }
        /// The reply was unusable; the request may have run.
        Unusable {
            display("the reply is unusable: check the leaf")
        }
    }
}

impl AttemptError {
    /// Whether the request has certainly not run.
    pub fn certainly_not_run(self) -> bool {
        !matches!(self, Self::Lost | Self::Unusable)
    }

    /// Whether the request reached a leaf, which then counts it as received.
    pub fn arrived(self) -> bool {
        match self {
            Self::NoConnection
            | Self::NotAccepted
            | Self::ConnectionRefused
            | Self::NotConnected => false,
            Self::Rejected | Self::AnotherLeaf | Self::Lost | Self::Unusable => true,
        }
    }
}

/// Consequence of the end of an attempt for its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AfterAttempt {
    /// The reply is the final outcome.
    Reply,
    /// There is no reply, and no other leaf may be asked.
    NoReply,
    /// Another leaf may be asked.
    AskAnother {
        /// Whether the reply is a failure that becomes the outcome if no other one arrives.
        keep_reply: bool,
    },
}

/// The attempts at one request at the leaves of one service.
#[derive(Debug)]
pub struct RequestAttempts {
    repeatable: bool,
    limit: u32,
    /// Leaves with an open attempt and its start, the latest attempt last.
    open: Vec<(LeafIdentity, Timestamp)>,
    /// Number of attempts.
    asked: u32,
    tried: Vec<LeafIdentity>,
    /// Tried leaves that certainly did not run the request.
    refused: Vec<LeafIdentity>,
    /// Number of leaves on which the request may have run.
    may_have_run: u32,
    /// Number of leaves that received the request, whether they ran it or not.
    arrived: u32,
}

impl RequestAttempts {
    /// State before the first attempt. A request runs on at most `limit` leaves, and on one if it
    /// is not repeatable.
    pub fn new(repeatable: bool, limit: u32) -> Self {
        Self {
            repeatable,
            limit: limit.max(1),
            open: Vec::new(),
            asked: 0,
            tried: Vec::new(),
            refused: Vec::new(),
            may_have_run: 0,
            arrived: 0,
        }
    }

    /// Whether another leaf may be asked.
    pub fn may_ask(&self) -> bool {
        self.may_have_run < self.limit
    }

    /// Whether another leaf may be asked while an attempt is open.
    pub fn may_hedge(&self) -> bool {
        self.repeatable && self.may_ask()
    }

    /// Whether the next attempt must be covered by the extra-load budget: every one beyond the
    /// first that reaches a leaf.
    pub fn next_is_extra(&self) -> bool {
        self.arrived > 0 || !self.open.is_empty()
    }

    /// Leaves that are not to be asked again.
    pub fn tried(&self) -> &[LeafIdentity] {
        &self.tried
    }

    /// Whether no leaf was asked yet.
    pub fn is_first(&self) -> bool {
        self.asked == 0
    }

    /// The leaf of the latest open attempt.
    pub fn newest_open(&self) -> Option<&LeafIdentity> {
        self.open.last().map(|(leaf, _)| leaf)
    }

    /// Leaves with an open attempt, and its start.
    pub fn open(&self) -> impl Iterator<Item = (&LeafIdentity, Timestamp)> {
        self.open.iter().map(|(leaf, since)| (leaf, *since))
    }

    /// Leaves whose attempt has been open for at least `span`.
    pub fn open_for(&self, now: Timestamp, span: Duration) -> impl Iterator<Item = &LeafIdentity> {
        let open = self.open.iter();
        open.filter(move |(_, since)| now.since(*since) >= span).map(|(leaf, _)| leaf)
    }

    /// Records the start of an attempt.
    pub fn asked(&mut self, now: Timestamp, leaf: LeafIdentity) {
        self.may_have_run += 1;
        self.asked += 1;
        self.open.push((leaf.clone(), now));
        self.tried.push(leaf);
    }

    /// Records the end of an attempt, with the status of the reply or the error.
    pub fn ended(
        &mut self,
        leaf: &LeafIdentity,
        outcome: Result<u16, AttemptError>,
    ) -> AfterAttempt {
        self.open.retain(|(open, _)| open != leaf);
        match outcome {
            Ok(status) => self.on_reply(status),
            Err(error) => self.on_error(leaf, error),
        }
    }

    fn on_reply(&mut self, status: u16) -> AfterAttempt {
        if status < FIRST_FAILURE_STATUS || !self.repeatable {
            return AfterAttempt::Reply;
        }
        self.arrived += 1;
        AfterAttempt::AskAnother { keep_reply: true }
    }

    fn on_error(&mut self, leaf: &LeafIdentity, error: AttemptError) -> AfterAttempt {
        if error == AttemptError::NoConnection {
            // Nothing was sent, so the attempt does not count.
            self.tried.retain(|tried| tried != leaf);
            self.asked -= 1;
        }
        self.arrived += u32::from(error.arrived());
        if error.certainly_not_run() {
            self.may_have_run -= 1;
            self.refused.push(leaf.clone());
            return AfterAttempt::AskAnother { keep_reply: false };
        }
        match self.repeatable {
            true => AfterAttempt::AskAnother { keep_reply: false },
            false => AfterAttempt::NoReply,
        }
    }

    /// Allows another attempt at leaves that did not run the request.
    pub fn forget_refusals(&mut self) {
        let refused = std::mem::take(&mut self.refused);
        self.tried.retain(|tried| !refused.contains(tried));
    }
}

/// Delay of a hedge: the `measured` latency of the route, if known, within bounds derived from the
/// target latency.
pub fn hedge_delay(measured: Option<Duration>, target: Duration) -> Duration {
    let latest = target.mul_f64(MAX_HEDGE_SHARE).max(MIN_HEDGE_DELAY);
    measured.unwrap_or(latest).clamp(MIN_HEDGE_DELAY, latest)
}
