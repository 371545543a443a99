//! A rate that forgets.

use std::time::Duration;

use crate::time::Timestamp;

/// Requests a second, averaged with weights that fall by 1/e in each `memory`.
#[derive(Debug, Clone, Copy)]
pub(super) struct DecayedRate {
    memory: Duration,
    sum: f64,
    at: Timestamp,
    /// When requests began to be counted.
    since: Timestamp,
}

impl DecayedRate {
    /// Nothing counted; what comes from `now` on is.
    pub(super) fn new(now: Timestamp, memory: Duration) -> Self {
        Self { memory, sum: 0.0, at: now, since: now }
    }

    pub(super) fn add(&mut self, now: Timestamp, requests: f64) {
        self.sum = self.sum_at(now) + requests;
        self.at = self.at.max(now);
    }

    /// Requests a second.
    pub(super) fn per_second(&self, now: Timestamp) -> f64 {
        self.sum_at(now) / self.memory.as_secs_f64()
    }

    /// Requests a second of the time that was seen, also while that is less than the memory; of a few seconds at
    /// least.
    pub(super) fn per_second_seen(&self, now: Timestamp, least: Duration) -> f64 {
        let seen = now.since(self.since).max(least);
        self.per_second(now) / (1.0 - remembered(seen, self.memory))
    }

    /// Requests of the last `memory`, as far as they are remembered.
    pub(super) fn sum_at(&self, now: Timestamp) -> f64 {
        self.sum * remembered(now.since(self.at), self.memory)
    }
}

/// A rate without the requests of the last seconds.
#[derive(Debug, Clone, Copy)]
pub(super) struct LaggedRate {
    rate: DecayedRate,
    lag: Duration,
    /// Requests of the present and the last span of one lag, which are not part of the rate yet.
    present: f64,
    last: f64,
    began: Timestamp,
}

impl LaggedRate {
    /// A rate of which the requests of the last `lag`, or up to two of them, are no part.
    pub(super) fn new(now: Timestamp, memory: Duration, lag: Duration) -> Self {
        let rate = DecayedRate::new(now.after(lag), memory);
        Self { rate, lag, present: 0.0, last: 0.0, began: now }
    }

    pub(super) fn add(&mut self, now: Timestamp, requests: f64) {
        self.pass_on(now);
        self.present += requests;
    }

    /// Requests a second of the time that was seen; of `least` at least.
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

/// What is left after `passed` of something that falls by 1/e in each `memory`.
pub(super) fn remembered(passed: Duration, memory: Duration) -> f64 {
    (-passed.as_secs_f64() / memory.as_secs_f64()).exp()
}
