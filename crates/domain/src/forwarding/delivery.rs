//! How long it takes from when an answer is complete enough until its last byte is handed on.
//!
//! Merging, writing, and the wait for the processor behind the parts that still come in: next to
//! nothing on a large machine, and a tenth of a target latency on one with a tenth of a core. An answer
//! that has to leave by a moment is therefore finished that much earlier.

use std::time::Duration;

use crate::time::Timestamp;

/// Weight of the newest answer in the mean (RFC 6298 uses the same for round trips).
const MEAN_WEIGHT: f64 = 0.125;
/// Weight of the newest answer in the mean deviation (as there).
const DEVIATION_WEIGHT: f64 = 0.25;
/// Mean deviations beyond the mean that are expected of an answer: all but a few per cent keep to it.
const DEVIATIONS: f64 = 2.0;

/// The smoothed time and its mean deviation, in seconds.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Estimate {
    mean: f64,
    deviation: f64,
}

/// What the answers of one broker took to leave.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct DeliveryTime {
    estimate: Option<Estimate>,
}

/// Bounds of the time before a target latency at which an answer is finished.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerMargin {
    /// Least: what the way to the caller takes, which cannot be observed here.
    pub least: Duration,
    /// What an answer is expected to take to leave while this broker has observed none: where each broker has few
    /// requests, that is most answers for a while after a start.
    pub unobserved: Duration,
    /// Most, whatever was observed.
    pub most: Duration,
}

impl DeliveryTime {
    /// An answer took this long.
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

    /// What the next answer is expected to take at most; none before the first.
    pub fn expected(&self) -> Option<Duration> {
        let expected = |estimate: Estimate| estimate.mean + DEVIATIONS * estimate.deviation;
        let expected = self.estimate.map(expected)?;
        Some(Duration::from_secs_f64(expected.max(0.0)))
    }
}

impl AnswerMargin {
    /// When an answer is finished that should be with its caller `target` after it was `received`.
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
