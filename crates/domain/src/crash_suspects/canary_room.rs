//! Whether the requests of a route have the time to go to few leaves first.

use std::time::Duration;

/// Share by which each answer moves what is held for the median: one answer in a few waits for a leaf that has stopped
/// for a moment, and says nothing of the others.
const STEP: f64 = 0.1;
/// Most that half of the answers of a route may take, as a part of its target latency: the leaves that are asked first
/// need less than half as long again.
const MOST_TAKEN: f64 = 0.5;
/// Least target latency that leaves time while nothing is known of the route: twice what a leaf in another region
/// needs, the way included.
const LEAST_UNMEASURED_TARGET: Duration = Duration::from_millis(200);

/// What the answers of one route take from when all leaves are asked.
#[derive(Debug, Default)]
pub struct CanaryHeadroom {
    /// About their median, in seconds; none before the first.
    median: Option<f64>,
}

impl CanaryHeadroom {
    /// An answer was complete enough to leave so long after all its leaves had been asked.
    pub fn observe(&mut self, took: Duration) {
        let took = took.as_secs_f64();
        self.median = Some(match self.median {
            None => took,
            Some(median) if took > median => median * (1.0 + STEP),
            Some(median) => median / (1.0 + STEP),
        });
    }

    /// Whether an answer can be in time though few leaves are asked before the others.
    pub fn is_enough(&self, target: Duration) -> bool {
        match self.median {
            Some(median) => median <= target.as_secs_f64() * MOST_TAKEN,
            None => target >= LEAST_UNMEASURED_TARGET,
        }
    }
}
