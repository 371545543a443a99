//! Whether a request has run, from what was sent to leaves and what came back.
//!
//! All attempts at one request count together: those of every part, retries, hedges, and those that were
//! cancelled. A caller that is told "not run" may safely send a request again that must run once only, so
//! that this is said only when no leaf can have run any of it.

use super::attempts::AttemptError;

/// Why a caller gets no answer to its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestFailure {
    /// No leaf has run any of it, and none will.
    NotRun,
    /// Its time is over; it may have run.
    TimedOut,
    /// No usable answer came; it may have run.
    NoAnswer,
}

/// What the attempts at one request tell of whether it has run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ExecutionEvidence {
    /// Attempts that were sent and not heard of since. One that is cancelled stays among them.
    unheard: u32,
    /// Whether an attempt has ended after which the request may have run.
    may_have_run: bool,
}

impl ExecutionEvidence {
    /// The first byte of the request goes to a leaf.
    pub fn sent(&mut self) {
        self.unheard += 1;
    }

    /// An attempt that was sent has ended, with the status of a reply or without a reply.
    pub fn heard(&mut self, outcome: Result<u16, AttemptError>) {
        self.unheard = self.unheard.saturating_sub(1);
        self.may_have_run |= !outcome.is_err_and(AttemptError::certainly_not_run);
    }

    /// Whether it is certain that no leaf has run any of it.
    pub fn certainly_not_run(&self) -> bool {
        self.unheard == 0 && !self.may_have_run
    }

    /// What to tell a caller that gets no answer.
    pub fn failure(&self, time_is_over: bool) -> RequestFailure {
        match (time_is_over, self.certainly_not_run()) {
            (true, _) => RequestFailure::TimedOut,
            (false, true) => RequestFailure::NotRun,
            (false, false) => RequestFailure::NoAnswer,
        }
    }
}
