//! Figures of a run: outcomes, coverage, latency, extra load.

use std::collections::{BTreeMap, BTreeSet};

use hdrhistogram::Histogram;
use serde::Serialize;

use super::evidence::Evidence;
use crate::record::{CallerOutcome, CallerRecord};

/// Digits to which histograms are exact.
const HISTOGRAM_DIGITS: u8 = 3;

/// Figures of a run.
#[derive(Debug, Clone, Serialize)]
pub struct Summary {
    /// Queries of all classes.
    pub total: ClassSummary,
    /// Leaf requests that were started beyond one for each shard of each query, as a share of the
    /// latter.
    pub extra_load: f64,
    /// Leaf requests that were started.
    pub leaf_requests: u64,
    /// Figures by service and class, as `service/class`.
    pub classes: BTreeMap<String, ClassSummary>,
}

/// Figures of one class, or of all.
#[derive(Debug, Clone, Serialize)]
pub struct ClassSummary {
    /// Queries that were to be sent.
    pub offered: u64,
    /// Queries that were answered.
    pub answered: u64,
    /// Queries that were refused as not run.
    pub refused_not_run: u64,
    /// Queries of which the broker said that they may have run.
    pub outcome_unknown: u64,
    /// Queries without an outcome from a broker.
    pub without_outcome: u64,
    /// Mean coverage of the answers.
    pub coverage_mean: f64,
    /// Latency of the answers from the intended time, in milliseconds.
    pub p50_ms: f64,
    /// As `p50_ms`, 99 in 100.
    pub p99_ms: f64,
    /// As `p50_ms`, 999 in 1000.
    pub p999_ms: f64,
}

struct Collector {
    offered: u64,
    outcomes: BTreeMap<CallerOutcome, u64>,
    coverage: f64,
    latency: Histogram<u64>,
}

impl Collector {
    fn new() -> Self {
        let latency = Histogram::new(HISTOGRAM_DIGITS).expect("the number of digits is allowed");
        Self { offered: 0, outcomes: BTreeMap::new(), coverage: 0.0, latency }
    }

    fn add(&mut self, record: &CallerRecord) {
        self.offered += 1;
        *self.outcomes.entry(record.outcome).or_default() += 1;
        if record.outcome == CallerOutcome::Answered {
            self.coverage += record.coverage.unwrap_or_default();
            let latency = record.ended.saturating_sub(record.intended);
            self.latency.record(latency).expect("the histogram grows with what it is given");
        }
    }

    fn count(&self, outcome: CallerOutcome) -> u64 {
        self.outcomes.get(&outcome).copied().unwrap_or_default()
    }

    fn quantile_ms(&self, quantile: f64) -> f64 {
        self.latency.value_at_quantile(quantile) as f64 / 1000.0
    }

    fn summary(&self) -> ClassSummary {
        let answered = self.count(CallerOutcome::Answered);
        let refused_not_run = self.count(CallerOutcome::NotRun);
        let outcome_unknown = self.count(CallerOutcome::OutcomeUnknown);
        ClassSummary {
            offered: self.offered,
            answered,
            refused_not_run,
            outcome_unknown,
            without_outcome: self.offered - answered - refused_not_run - outcome_unknown,
            coverage_mean: self.coverage / answered.max(1) as f64,
            p50_ms: self.quantile_ms(0.5),
            p99_ms: self.quantile_ms(0.99),
            p999_ms: self.quantile_ms(0.999),
        }
    }
}

impl Summary {
    /// The figures of a run.
    pub fn new(evidence: &Evidence) -> Self {
        let mut total = Collector::new();
        let mut classes: BTreeMap<String, Collector> = BTreeMap::new();
        for record in &evidence.callers {
            total.add(record);
            let class = format!("{}/{}", record.service, record.class);
            classes.entry(class).or_insert_with(Collector::new).add(record);
        }
        let leaf_requests = evidence.started().count() as u64;
        let needed: BTreeSet<(&str, u32)> =
            evidence.started().map(|entry| (entry.query.as_str(), entry.shard)).collect();
        let needed = needed.len() as u64;
        Self {
            total: total.summary(),
            extra_load: (leaf_requests - needed) as f64 / needed.max(1) as f64,
            leaf_requests,
            classes: classes.iter().map(|(name, class)| (name.clone(), class.summary())).collect(),
        }
    }
}
