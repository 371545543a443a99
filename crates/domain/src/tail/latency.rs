//! Streaming latency quantiles over a sliding window.

use std::time::Duration;

use crate::time::Timestamp;

/// Sub-buckets per power of two, which bounds the relative error of a quantile by 1/16.
const SUB_BUCKETS: usize = 16;
/// Groups of sub-buckets: the first covers 0 to 15 microseconds, each further one a power of two,
/// up to 2^30 microseconds (18 minutes). Longer latencies fall into the last bucket.
const POWERS: usize = 27;
const BUCKETS: usize = POWERS * SUB_BUCKETS;
/// Length of one half of the sliding window.
const HALF_WINDOW: Duration = Duration::from_secs(5);
/// Samples needed before a quantile is given.
const MINIMUM_OBSERVATIONS: u64 = 100;

/// Histogram of the latencies of the last five to ten seconds, in logarithmic buckets.
#[derive(Debug)]
pub struct LatencyWindow {
    current: Histogram,
    former: Histogram,
    rotated: Timestamp,
}

#[derive(Debug)]
struct Histogram {
    counts: Box<[u32]>,
    total: u64,
}

impl Default for LatencyWindow {
    fn default() -> Self {
        Self {
            current: Histogram::default(),
            former: Histogram::default(),
            rotated: Timestamp::ZERO,
        }
    }
}

impl Default for Histogram {
    fn default() -> Self {
        Self { counts: vec![0; BUCKETS].into_boxed_slice(), total: 0 }
    }
}

impl LatencyWindow {
    /// Adds one sample to the current half of the window.
    pub fn record(&mut self, now: Timestamp, latency: Duration) {
        self.rotate(now);
        self.current.counts[bucket(latency)] += 1;
        self.current.total += 1;
    }

    /// Upper bound of the bucket that holds `quantile` (0 to 1); `None` below 100 samples.
    pub fn quantile(&self, quantile: f64) -> Option<Duration> {
        let total = self.current.total + self.former.total;
        if total < MINIMUM_OBSERVATIONS {
            return None;
        }
        let rank = (quantile * total as f64).ceil() as u64;
        let mut seen = 0;
        for index in 0..BUCKETS {
            seen += u64::from(self.current.counts[index]) + u64::from(self.former.counts[index]);
            if seen >= rank {
                return Some(upper_bound(index));
            }
        }
        None
    }

    fn rotate(&mut self, now: Timestamp) {
        let age = now.since(self.rotated);
        if age < HALF_WINDOW {
            return;
        }
        std::mem::swap(&mut self.current, &mut self.former);
        self.current.clear();
        if age >= 2 * HALF_WINDOW {
            self.former.clear();
        }
        self.rotated = now;
    }
}

impl Histogram {
    fn clear(&mut self) {
        self.counts.fill(0);
        self.total = 0;
    }
}

fn bucket(latency: Duration) -> usize {
    let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
    if micros < SUB_BUCKETS as u64 {
        return micros as usize;
    }
    let power = micros.ilog2() as usize;
    let shift = power - SUB_BUCKETS.ilog2() as usize;
    let sub_bucket = (micros >> shift) as usize - SUB_BUCKETS;
    ((shift + 1) * SUB_BUCKETS + sub_bucket).min(BUCKETS - 1)
}

fn upper_bound(index: usize) -> Duration {
    if index < SUB_BUCKETS {
        return Duration::from_micros(index as u64);
    }
    let shift = index / SUB_BUCKETS - 1;
    let sub_bucket = (index % SUB_BUCKETS + SUB_BUCKETS) as u64;
    Duration::from_micros(((sub_bucket + 1) << shift) - 1)
}
