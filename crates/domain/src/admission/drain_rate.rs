//! The measured rate at which queries leave a service.

use std::time::Duration;

use crate::time::Timestamp;

/// Weight of the newest interval in the smoothed interval.
const SMOOTHING: f64 = 0.1;
/// Time between completions that is assumed before any was seen.
const INITIAL_INTERVAL: Duration = Duration::from_millis(100);
/// Shortest advice given to a refused caller.
const MINIMUM_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Longest advice given to a refused caller.
const MAXIMUM_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Smoothed time between completions of queries.
#[derive(Debug, Clone, Copy)]
pub struct DrainRate {
    interval: f64,
    last: Option<Timestamp>,
}

impl Default for DrainRate {
    fn default() -> Self {
        Self { interval: INITIAL_INTERVAL.as_secs_f64(), last: None }
    }
}

impl DrainRate {
    /// Records one completion.
    pub fn record(&mut self, now: Timestamp) {
        if let Some(last) = self.last {
            let seen = now.since(last).as_secs_f64();
            self.interval += SMOOTHING * (seen - self.interval);
        }
        self.last = Some(now);
    }

    /// Time in which `count` queries leave at the measured rate, within the advised bounds.
    pub fn time_to_drain(&self, count: usize) -> Duration {
        let seconds = self.interval * count as f64;
        Duration::from_secs_f64(seconds.min(MAXIMUM_RETRY_AFTER.as_secs_f64()))
            .max(MINIMUM_RETRY_AFTER)
    }
}
