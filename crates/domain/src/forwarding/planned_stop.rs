//! Schedule of a planned stop of a broker.
//!
//! The supervisor kills the process after a fixed time. Every request that the broker has read by
//! then gets its answer: requests that might not end in time are refused as not run, and those
//! still in flight shortly before the end are answered with what is known of them.

use std::time::Duration;

use crate::time::Timestamp;

/// Share of the stop for which idle connections of callers are kept.
const IDLE_SHARE: f64 = 0.4;
/// Share of the stop in which connections may still arrive from callers that do not know of it yet.
const CALLERS_SHARE: f64 = 0.6;
/// Share of the stop after which everything in flight is answered.
const ANSWERS_SHARE: f64 = 0.86;
/// Share of the stop after which the process exits in any case.
const END_SHARE: f64 = 0.92;
/// Safety factor on the expected time of a request that is accepted.
const LATE_FACTOR: u32 = 2;

/// A planned stop in progress.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlannedStop {
    began: Timestamp,
    length: Duration,
}

impl PlannedStop {
    /// Starts a stop that may take `length`.
    pub fn begin(now: Timestamp, length: Duration) -> Self {
        Self { began: now, length }
    }

    /// Whether a request that arrives now and is expected to take `expected` is accepted: it must
    /// end in time even if it takes longer than expected.
    pub fn accepts(&self, now: Timestamp, expected: Duration) -> bool {
        now.after(expected * LATE_FACTOR) <= self.answers_by()
    }

    /// Time until which idle connections of callers are kept.
    pub fn idle_until(&self) -> Timestamp {
        self.share(IDLE_SHARE)
    }

    /// Time until which callers that do not know of the stop may connect.
    pub fn callers_until(&self) -> Timestamp {
        self.share(CALLERS_SHARE)
    }

    /// Latest time at which everything in flight is answered.
    pub fn answers_by(&self) -> Timestamp {
        self.share(ANSWERS_SHARE)
    }

    /// Latest time at which the process exits.
    pub fn ends_by(&self) -> Timestamp {
        self.share(END_SHARE)
    }

    fn share(&self, share: f64) -> Timestamp {
        self.began.after(self.length.mul_f64(share))
    }
}
