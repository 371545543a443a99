//! A token bucket that may be in debt.

use std::time::Duration;

use crate::time::Timestamp;

/// Time in which a debt of that size is paid back, besides the capacity and [`FIXED_DEBT`]. A longer debt would come
/// from counts that are wrong (told twice), and would shut a tenant out.
const LONGEST_DEBT: Duration = Duration::from_secs(10);
/// Requests of debt that are kept at any rate: as many as operators tolerate beyond small quotas.
const FIXED_DEBT: f64 = 100.0;

/// The debt that a bucket keeps at most.
pub(super) fn deepest_debt(rate: f64, capacity: f64) -> f64 {
    rate * LONGEST_DEBT.as_secs_f64() + capacity + FIXED_DEBT
}

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
    pub(super) fn new(now: Timestamp, rate: f64, capacity: f64, level: f64) -> Self {
        Self { rate, capacity, level: level.min(capacity), refilled: now }
    }

    /// Changes rate and capacity; a level above the capacity is cut to it.
    pub(super) fn configure(&mut self, now: Timestamp, rate: f64, capacity: f64) {
        self.refill(now);
        self.rate = rate;
        self.capacity = capacity;
        let deepest = deepest_debt(rate, capacity);
        self.level = self.level.min(capacity).max(-deepest);
    }

    /// Takes `requests`, whether or not the bucket has them.
    pub(super) fn take(&mut self, now: Timestamp, requests: f64) {
        self.refill(now);
        let deepest = deepest_debt(self.rate, self.capacity);
        self.level = (self.level - requests).max(-deepest);
    }

    /// Gives requests back that were taken without need, as far as there is room; gives how many.
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
