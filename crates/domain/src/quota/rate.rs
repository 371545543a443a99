//! Exponentially decaying request rates.

use std::time::Duration;

use crate::time::Timestamp;

/// Requests per second, averaged with weights that decay by 1/e per `memory`.
#[derive(Debug, Clone, Copy)]
pub(super) struct DecayedRate {
    memory: Duration,
    sum: f64,
    at: Timestamp,
    /// Start of counting.
    since: Timestamp,
}

impl DecayedRate {
    /// An empty rate that counts from `now` on.
    pub(super) fn new(now: Timestamp, memory: Duration) -> Self {
        Self { memory, sum: 0.0, at: now, since: now }
    }

    pub(super) fn add(&mut self, now: Timestamp, requests: f64) {
        self.sum = self.sum_at(now) + requests;
        self.at = self.at.max(now);
    }

    /// Average requests per second.
    pub(super) fn per_second(&self, now: Timestamp) -> f64 {
        self.sum_at(now) / self.memory.as_secs_f64()
    }

    /// Requests per second corrected for a counting time shorter than the memory, which is taken to
    /// be at least `least`.
    pub(super) fn per_second_seen(&self, now: Timestamp, least: Duration) -> f64 {
        let seen = now.since(self.since).max(least);
        self.per_second(now) / (1.0 - decay(seen, self.memory))
    }

    /// Decayed sum of the requests.
    pub(super) fn sum_at(&self, now: Timestamp) -> f64 {
        self.sum * decay(now.since(self.at), self.memory)
    }
}

/// A rate that excludes the most recent requests.
#[derive(Debug, Clone, Copy)]
pub(super) struct LaggedRate {
    rate: DecayedRate,
    lag: Duration,
    /// Requests of the current and the previous lag interval, not part of the rate yet.
    present: f64,
    last: f64,
    began: Timestamp,
}

impl LaggedRate {
    /// A rate that excludes the requests of the last one to two `lag` intervals.
    pub(super) fn new(now: Timestamp, memory: Duration, lag: Duration) -> Self {
        let rate = DecayedRate::new(now.after(lag), memory);
        Self { rate, lag, present: 0.0, last: 0.0, began: now }
    }

    pub(super) fn add(&mut self, now: Timestamp, requests: f64) {
        self.pass_on(now);
        self.present += requests;
    }

    /// Decayed sum of the requests.
    pub(super) fn sum_at(&mut self, now: Timestamp) -> f64 {
        self.pass_on(now);
        self.rate.sum_at(now)
    }

    /// Requests per second, see [`DecayedRate::per_second_seen`].
    pub(super) fn per_second_seen(&mut self, now: Timestamp, least: Duration) -> f64 {
        self.pass_on(now);
        self.rate.per_second_seen(now, least)
    }

    fn pass_on(&mut self, now: Timestamp) {
        let passed = now.since(self.began);
        if passed < self.lag {
            return;
        }
        let all_are_old = passed >= self.lag * 2;
        let old = if all_are_old { self.last + self.present } else { self.last };
        if old > 0.0 {
            self.rate.add(now, old);
        }
        self.last = if all_are_old { 0.0 } else { self.present };
        self.present = 0.0;
        self.began = now;
    }
}

/// The fraction left after `passed` of a quantity that decays by 1/e per `memory`.
pub(super) fn decay(passed: Duration, memory: Duration) -> f64 {
    (-passed.as_secs_f64() / memory.as_secs_f64()).exp()
}
