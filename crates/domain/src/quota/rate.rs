//! A rate that forgets.

use std::time::Duration;

use crate::time::Timestamp;

/// Requests a second, averaged with weights that fall by 1/e in each `memory`.
#[derive(Debug, Clone, Copy)]
pub(super) struct DecayedRate {
    memory: Duration,
    sum: f64,
    at: Timestamp,
    since: Option<Timestamp>,
}

impl DecayedRate {
    pub(super) fn new(memory: Duration) -> Self {
        Self { memory, sum: 0.0, at: Timestamp::ZERO, since: None }
    }

    pub(super) fn add(&mut self, now: Timestamp, requests: f64) {
        self.sum = self.sum_at(now) + requests;
        self.at = self.at.max(now);
        self.since.get_or_insert(now);
    }

    /// Requests a second.
    pub(super) fn per_second(&self, now: Timestamp) -> f64 {
        self.sum_at(now) / self.memory.as_secs_f64()
    }

    /// Requests a second of the time that was seen, also while that is less than the memory; of a few seconds at
    /// least.
    pub(super) fn per_second_seen(&self, now: Timestamp, least: Duration) -> f64 {
        let seen = self.since.map_or(Duration::ZERO, |since| now.since(since)).max(least);
        self.per_second(now) / (1.0 - remembered(seen, self.memory))
    }

    /// Requests of the last `memory`, as far as they are remembered.
    pub(super) fn sum_at(&self, now: Timestamp) -> f64 {
        self.sum * remembered(now.since(self.at), self.memory)
    }
}

/// What is left after `passed` of something that falls by 1/e in each `memory`.
pub(super) fn remembered(passed: Duration, memory: Duration) -> f64 {
    (-passed.as_secs_f64() / memory.as_secs_f64()).exp()
}
