//! What the health and load endpoints say: late, and on demand untrue.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// What a leaf says of itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HealthReport {
    /// Number of the leaf.
    pub leaf: u32,
    /// Whether it can take work.
    pub healthy: bool,
    /// Whether it is leaving.
    pub draining: bool,
    /// Requests that run.
    pub running: usize,
    /// Requests that wait for a slot.
    pub waiting: usize,
    /// Requests that can run at the same time.
    pub slots: usize,
}

/// Repeats a report until it is older than the lag.
pub struct LaggingReport {
    lag: Duration,
    last: Option<(Instant, HealthReport)>,
}

impl LaggingReport {
    /// A report that is up to `lag` old.
    pub fn new(lag: Duration) -> Self {
        Self { lag, last: None }
    }

    /// The report to give when `current` is true now.
    pub fn observe(&mut self, now: Instant, current: HealthReport) -> HealthReport {
        match &self.last {
            Some((taken, report)) if now.duration_since(*taken) < self.lag => report.clone(),
            _ => {
                self.last = Some((now, current.clone()));
                current
            }
        }
    }
}
