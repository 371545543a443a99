//! Whether the latency target of a route leaves time to send canaries first.

use std::time::Duration;

/// Relative step by which each answer moves the median estimate. A median ignores the few answers
/// that wait for a leaf that is paused for a moment.
const STEP: f64 = 0.1;
/// Maximum median latency as a fraction of the target latency: the canaries need less than half of
/// the median in addition.
const MAX_MEDIAN_SHARE: f64 = 0.5;
/// Minimum target latency for canaries on a route without latency data: twice the latency of a leaf
/// in another region, including the network.
const MIN_TARGET_WITHOUT_DATA: Duration = Duration::from_millis(200);

/// Latency of the answers of one route, from the time when all leaves have been asked.
#[derive(Debug, Default)]
pub struct CanaryHeadroom {
    /// Estimated median in seconds; none before the first answer.
    median: Option<f64>,
}

impl CanaryHeadroom {
    /// Records the time from asking all leaves until the answer was complete enough to be sent.
    pub fn observe(&mut self, took: Duration) {
        let took = took.as_secs_f64();
        self.median = Some(match self.median {
            None => took,
            Some(median) if took > median => median * (1.0 + STEP),
            Some(median) => median / (1.0 + STEP),
        });
    }

    /// Whether answers can meet the `target` latency although canaries are asked first.
    pub fn is_enough(&self, target: Duration) -> bool {
        match self.median {
            Some(median) => median <= target.as_secs_f64() * MAX_MEDIAN_SHARE,
            None => target >= MIN_TARGET_WITHOUT_DATA,
        }
    }
}
