//! Estimates the time from when an answer is complete enough until its last byte is handed on.
//!
//! It covers merging, writing, and the wait for CPU time behind parts that still arrive: close to
//! nothing on a large machine, and a tenth of a target latency on one with a tenth of a core. An
//! answer with a soft deadline is finished that much earlier.

use std::time::Duration;

use crate::time::Timestamp;

/// Weight of the newest sample in the mean, as for round-trip times in RFC 6298.
const MEAN_WEIGHT: f64 = 0.125;
/// Weight of the newest sample in the mean deviation, as in RFC 6298.
const DEVIATION_WEIGHT: f64 = 0.25;
/// Mean deviations added to the mean; all but a few per cent of answers stay below the sum.
const DEVIATION_FACTOR: f64 = 2.0;

/// Smoothed time and its mean deviation, in seconds.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Estimate {
    mean: f64,
    deviation: f64,
}

/// Estimated delivery time of the answers of one broker.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct DeliveryTime {
    estimate: Option<Estimate>,
}

/// Bounds of the margin before the target latency at which an answer is finished.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerMargin {
    /// Lower bound: the network time to the caller, which the broker cannot observe.
    pub least: Duration,
    /// Delivery time assumed before the first observation. Where each broker gets few requests, it
    /// applies to most answers for a while after a start.
    pub unobserved: Duration,
    /// Upper bound, whatever was observed.
    pub most: Duration,
}

impl DeliveryTime {
    /// Adds a sample.
    pub fn observe(&mut self, took: Duration) {
        let took = took.as_secs_f64();
        self.estimate = Some(match self.estimate {
            None => Estimate { mean: took, deviation: took / 2.0 },
            Some(Estimate { mean, deviation }) => Estimate {
                mean: mean + MEAN_WEIGHT * (took - mean),
                deviation: deviation + DEVIATION_WEIGHT * ((took - mean).abs() - deviation),
            },
        });
    }

    /// Expected upper bound of the next delivery time, `None` before the first sample.
    pub fn expected(&self) -> Option<Duration> {
        let expected = |estimate: Estimate| estimate.mean + DEVIATION_FACTOR * estimate.deviation;
        let expected = self.estimate.map(expected)?;
        Some(Duration::from_secs_f64(expected.max(0.0)))
    }
}

impl AnswerMargin {
    /// Soft deadline of an answer that should reach its caller within `target` of being `received`.
    pub fn soft_deadline(
        &self,
        received: Timestamp,
        target: Duration,
        delivery: &DeliveryTime,
    ) -> Timestamp {
        let expected = delivery.expected().unwrap_or(self.unobserved);
        let margin = (self.least + expected).min(self.most.max(self.least));
        received.after(target.saturating_sub(margin))
    }
}
