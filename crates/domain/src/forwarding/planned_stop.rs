//! The times of a planned stop of a broker.
//!
//! The process that stops a broker kills it after a while. Whatever the broker has read by then has
//! its answer: requests that might not end in time are refused as not run, and those that are still
//! in flight shortly before the end are answered with what is known of them.

use std::time::Duration;

use crate::time::Timestamp;

/// Part of the stop for which idle connections of callers are kept.
const IDLE_SHARE: f64 = 0.4;
/// Part of the stop in which new connections may still come, from those that do not know of it yet.
const CALLERS_SHARE: f64 = 0.6;
/// Part of the stop after which everything in flight is answered.
const ANSWERS_SHARE: f64 = 0.86;
/// Part of the stop after which the process ends in any case.
const END_SHARE: f64 = 0.92;
/// How many times its expected time a request may take that is taken on.
const LATE_FACTOR: u32 = 2;

/// A planned stop that has begun.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlannedStop {
    began: Timestamp,
    length: Duration,
}

impl PlannedStop {
    /// A stop that begins now and may take `length`.
    pub fn begin(now: Timestamp, length: Duration) -> Self {
        Self { began: now, length }
    }

    /// Whether a request that comes now, and is expected to take so long, is taken on: it has to end
    /// in time even where it takes longer than expected.
    pub fn accepts(&self, now: Timestamp, expected: Duration) -> bool {
        now.after(expected * LATE_FACTOR) <= self.answers_by()
    }

    /// Until when idle connections of callers are kept.
    pub fn idle_until(&self) -> Timestamp {
        self.share(IDLE_SHARE)
    }

    /// Until when callers may come that do not know of the stop.
    pub fn callers_until(&self) -> Timestamp {
        self.share(CALLERS_SHARE)
    }

    /// When everything in flight is answered at the latest.
    pub fn answers_by(&self) -> Timestamp {
        self.share(ANSWERS_SHARE)
    }

    /// When the process ends at the latest.
    pub fn ends_by(&self) -> Timestamp {
        self.share(END_SHARE)
    }

    fn share(&self, share: f64) -> Timestamp {
        self.began.after(self.length.mul_f64(share))
    }
}
