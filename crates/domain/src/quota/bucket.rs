//! A token bucket that may be in debt.

use std::time::Duration;

use crate::time::Timestamp;

/// Longest advice on when to come back.
const LONGEST_WAIT: Duration = Duration::from_secs(60);

/// Requests that a quota has left: refilled by its rate up to its capacity, and below nothing where
/// more were taken than it had.
#[derive(Debug, Clone, Copy)]
pub(super) struct Bucket {
    rate: f64,
    capacity: f64,
    level: f64,
    refilled: Timestamp,
}

impl Bucket {
    pub(super) fn full(now: Timestamp, rate: f64, capacity: f64) -> Self {
        Self { rate, capacity, level: capacity, refilled: now }
    }

    /// Changes rate and capacity; a level above the capacity is cut to it.
    pub(super) fn configure(&mut self, now: Timestamp, rate: f64, capacity: f64) {
        self.refill(now);
        self.rate = rate;
        self.capacity = capacity;
        self.level = self.level.min(capacity);
    }

    /// Takes `requests`, whether or not the bucket has them.
    pub(super) fn take(&mut self, now: Timestamp, requests: f64) {
        self.refill(now);
        self.level -= requests;
    }

    /// The level as of the last change.
    pub(super) fn level(&self) -> f64 {
        self.level
    }

    pub(super) fn level_at(&mut self, now: Timestamp) -> f64 {
        self.refill(now);
        self.level
    }

    /// Time from the last change until the bucket holds `requests`.
    pub(super) fn time_until(&self, requests: f64) -> Duration {
        let missing = (requests - self.level).max(0.0);
        Duration::try_from_secs_f64(missing / self.rate).unwrap_or(LONGEST_WAIT).min(LONGEST_WAIT)
    }

    fn refill(&mut self, now: Timestamp) {
        let gained = now.since(self.refilled).as_secs_f64() * self.rate;
        self.level = (self.level + gained).min(self.capacity);
        self.refilled = self.refilled.max(now);
    }
}
