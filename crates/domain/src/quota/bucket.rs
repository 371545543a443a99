//! A token bucket whose level may be negative.

use std::time::Duration;

use crate::time::Timestamp;

/// Refill time of the largest debt, besides the capacity and [`FIXED_DEBT`]. A larger debt can only
/// come from wrong counts (a duplicate report) and would lock a tenant out.
const MAX_DEBT_TIME: Duration = Duration::from_secs(10);
/// Debt in requests that is kept at any rate: the excess that operators tolerate for small quotas.
const FIXED_DEBT: f64 = 100.0;

/// Largest debt that a bucket keeps, in requests.
pub(super) fn max_debt(rate: f64, capacity: f64) -> f64 {
    rate * MAX_DEBT_TIME.as_secs_f64() + capacity + FIXED_DEBT
}

/// Requests that a quota has left, refilled at its rate up to its capacity. Negative when more
/// requests were taken than available.
#[derive(Debug, Clone, Copy)]
pub(super) struct Bucket {
    rate: f64,
    capacity: f64,
    level: f64,
    refilled: Timestamp,
}

impl Bucket {
    pub(super) fn new(now: Timestamp, rate: f64, capacity: f64, level: f64) -> Self {
        Self { rate, capacity, level: level.min(capacity), refilled: now }
    }

    /// Changes rate and capacity, and clamps the level to the new bounds.
    pub(super) fn configure(&mut self, now: Timestamp, rate: f64, capacity: f64) {
        self.refill(now);
        self.rate = rate;
        self.capacity = capacity;
        let max_debt = max_debt(rate, capacity);
        self.level = self.level.min(capacity).max(-max_debt);
    }

    /// Takes `requests`, into debt if necessary.
    pub(super) fn take(&mut self, now: Timestamp, requests: f64) {
        self.refill(now);
        let max_debt = max_debt(self.rate, self.capacity);
        self.level = (self.level - requests).max(-max_debt);
    }

    /// Returns requests that were not used, up to the capacity. Returns how many were credited.
    pub(super) fn give_back(&mut self, now: Timestamp, requests: f64) -> f64 {
        self.refill(now);
        let given = requests.min(self.capacity - self.level).max(0.0);
        self.level += given;
        given
    }

    pub(super) fn level_at(&mut self, now: Timestamp) -> f64 {
        self.refill(now);
        self.level
    }

    pub(super) fn capacity(&self) -> f64 {
        self.capacity
    }

    fn refill(&mut self, now: Timestamp) {
        let gained = now.since(self.refilled).as_secs_f64() * self.rate;
        self.level = (self.level + gained).min(self.capacity);
        self.refilled = self.refilled.max(now);
    }
}
