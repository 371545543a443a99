//! Decides whether a request may have run, from what was sent to leaves and what came back.
//!
//! All attempts at a request count together: those of every part, retries, hedges and cancelled
//! ones. A caller that is told "not run" may safely resend a request that must run only once, so
//! this is said only when no leaf can have run any part of it.

use super::attempts::AttemptError;

/// Reason why a caller gets no answer to its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestFailure {
    /// No leaf has run any part of the request, and none will.
    NotRun,
    /// The deadline has passed; the request may have run.
    TimedOut,
    /// No usable answer arrived; the request may have run.
    NoAnswer,
}

/// Whether a response of this status tells its caller that the request has not run and will not:
/// 408, 421, 429 and 503.
pub fn promises_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

/// Evidence from all attempts at one request of whether it may have run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ExecutionEvidence {
    /// Attempts that were sent and have not ended; cancelled ones stay counted.
    outstanding: u32,
    /// Whether an attempt ended in a way after which the request may have run.
    may_have_run: bool,
}

impl ExecutionEvidence {
    /// Records that the first byte of an attempt goes to a leaf.
    pub fn sent(&mut self) {
        self.outstanding += 1;
    }

    /// Records the end of a sent attempt, with the status of the reply or the error.
    pub fn heard(&mut self, outcome: Result<u16, AttemptError>) {
        self.outstanding = self.outstanding.saturating_sub(1);
        self.may_have_run |= !outcome.is_err_and(AttemptError::certainly_not_run);
    }

    /// Whether certainly no leaf has run any part of the request.
    pub fn certainly_not_run(&self) -> bool {
        self.outstanding == 0 && !self.may_have_run
    }

    /// Failure to report to a caller that gets no answer.
    pub fn failure(&self, deadline_passed: bool) -> RequestFailure {
        match (deadline_passed, self.certainly_not_run()) {
            (true, _) => RequestFailure::TimedOut,
            (false, true) => RequestFailure::NotRun,
            (false, false) => RequestFailure::NoAnswer,
        }
    }
}
