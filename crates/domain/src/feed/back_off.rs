//! Backoff between connection attempts.

use std::time::Duration;

use rand_core::RngCore;

/// Exponential backoff with full jitter: each pause is drawn uniformly from zero to a bound that
/// doubles, so that the brokers of a recovering region do not reconnect at the same time.
#[derive(Debug, Clone)]
pub struct BackOff {
    base: Duration,
    limit: Duration,
    failures: u32,
}

impl BackOff {
    /// Creates a backoff whose bound starts at `base` and grows to `limit`.
    pub fn new(base: Duration, limit: Duration) -> Self {
        Self { base, limit, failures: 0 }
    }

    /// Records a failure and draws the pause before the next attempt.
    pub fn next_pause(&mut self, random: &mut dyn RngCore) -> Duration {
        let factor = 1u32.checked_shl(self.failures).unwrap_or(u32::MAX);
        let bound = self.base.saturating_mul(factor).min(self.limit);
        self.failures = self.failures.saturating_add(1);
        let share = f64::from(random.next_u32()) / f64::from(u32::MAX);
        bound.mul_f64(share)
    }

    /// Records a success: the bound returns to `base`.
    pub fn succeeded(&mut self) {
        self.failures = 0;
    }
}
