//! Logarithmic latency buckets.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Buckets per doubling of the latency.
const PER_DOUBLING: f64 = 4.0;

/// A logarithmic latency bucket. Bounds grow by a factor of 1.19 per bucket, so that the latencies
/// of all brokers aggregate into few counters.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LatencyBucket(u8);

impl LatencyBucket {
    /// The bucket of a latency. Latencies below one millisecond share a bucket.
    pub fn of(latency: Duration) -> Self {
        let milliseconds = latency.as_secs_f64() * 1_000.0;
        Self((milliseconds.max(1.0).log2() * PER_DOUBLING) as u8)
    }

    /// The bucket of latencies `factor` times as long.
    pub fn times(self, factor: f64) -> Self {
        let buckets = (factor.log2() * PER_DOUBLING).round();
        Self((f64::from(self.0) + buckets).clamp(0.0, f64::from(u8::MAX)) as u8)
    }
}
