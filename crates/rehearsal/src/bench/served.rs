//! What callers saw of one step of load.

use std::path::Path;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::check::Evidence;
use crate::error::RehearsalError;
use crate::leaf::LeafBody;
use crate::record::{CallerOutcome, CallerRecord};

/// Digits to which histograms are exact.
const HISTOGRAM_DIGITS: u8 = 3;

/// Outcomes and latencies of the queries of one step.
pub struct Served {
    /// Queries that were to be sent.
    pub offered: u64,
    /// Queries that were answered.
    pub answered: u64,
    /// Mean coverage of the answers.
    pub coverage_mean: f64,
    /// Microseconds from the intended moment to the answer.
    pub latency: Histogram<u64>,
    /// Microseconds of the answer beyond the slowest leaf whose part is in it.
    pub added: Histogram<u64>,
}

/// Quantiles in milliseconds.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Quantiles {
    p50: f64,
    p99: f64,
    p999: f64,
}

impl Quantiles {
    /// Quantiles of a histogram of microseconds.
    pub fn of(histogram: &Histogram<u64>) -> Self {
        let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1000.0;
        Self { p50: at(0.5), p99: at(0.99), p999: at(0.999) }
    }
}

impl Served {
    /// Reads the callers' records of a folder.
    ///
    /// # Errors
    /// A [`RehearsalError`] when a record is not understood.
    pub fn read(folder: &Path) -> Result<Self, RehearsalError> {
        let records = Evidence::read(folder)?.callers;
        let answers: Vec<_> =
            records.iter().filter(|record| record.outcome == CallerOutcome::Answered).collect();
        let coverage: f64 = answers.iter().filter_map(|record| record.coverage).sum();
        let mut latency = histogram();
        let mut added = histogram();
        for record in &answers {
            record_into(&mut latency, record.ended.saturating_sub(record.intended));
            if let Some(microseconds) = added_latency(record) {
                record_into(&mut added, microseconds);
            }
        }
        Ok(Self {
            offered: records.len() as u64,
            answered: answers.len() as u64,
            coverage_mean: coverage / answers.len().max(1) as f64,
            latency,
            added,
        })
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new(HISTOGRAM_DIGITS).expect("the number of digits is allowed")
}

fn record_into(histogram: &mut Histogram<u64>, microseconds: u64) {
    histogram.record(microseconds).expect("the histogram grows with what it is given");
}

/// Microseconds from sending to the answer beyond the slowest leaf's own time.
fn added_latency(record: &CallerRecord) -> Option<u64> {
    let elapsed = |body: &str| LeafBody::from_text(body)?.elapsed_us;
    let slowest = record.parts.iter().filter_map(|part| elapsed(&part.body)).max()?;
    Some((record.ended - record.sent?).saturating_sub(slowest))
}
