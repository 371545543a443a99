//! Pauses between attempts to connect.

use std::time::Duration;

use rand_core::RngCore;

/// Exponential back-off with full jitter: each pause is drawn evenly from zero to a bound that
/// doubles, so that the brokers of a region that heals do not come at the same moment.
#[derive(Debug, Clone)]
pub struct BackOff {
    base: Duration,
    limit: Duration,
    failures: u32,
}

impl BackOff {
    /// Pauses of up to `base` at first and up to `limit` in the end.
    pub fn new(base: Duration, limit: Duration) -> Self {
        Self { base, limit, failures: 0 }
    }

    /// The pause after one more failure.
    pub fn next_pause(&mut self, random: &mut dyn RngCore) -> Duration {
        let factor = 1u32.checked_shl(self.failures).unwrap_or(u32::MAX);
        let bound = self.base.saturating_mul(factor).min(self.limit);
        self.failures = self.failures.saturating_add(1);
        let share = f64::from(random.next_u32()) / f64::from(u32::MAX);
        bound.mul_f64(share)
    }

    /// Starts again from the shortest pauses.
    pub fn succeeded(&mut self) {
        self.failures = 0;
    }
}
