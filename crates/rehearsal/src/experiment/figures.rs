//! What one load under one policy gave.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::check::{Evidence, Summary};
use crate::clock::Microseconds;
use crate::record::{CallerOutcome, CallerRecord};

/// Quantiles of the latency curves.
pub const CURVE: [f64; 8] = [0.5, 0.75, 0.9, 0.95, 0.98, 0.99, 0.995, 0.999];

/// Figures of one load under one policy.
#[derive(Debug, Clone, Serialize)]
pub struct RunFigures {
    /// The policy.
    pub policy: &'static str,
    /// The load, as a multiple of the topology's rates.
    pub load: f64,
    /// Broken promises that the outside checker found.
    pub violations: usize,
    /// Leaf requests beyond one for each shard of each query, as a share of the latter.
    pub extra_load: f64,
    /// Mean coverage of all answers.
    pub coverage_mean: f64,
    /// Figures by service and class, as `service/class`.
    pub classes: BTreeMap<String, ClassFigures>,
}

/// Figures of one class.
#[derive(Debug, Clone, Serialize)]
pub struct ClassFigures {
    /// Queries that were to be sent.
    pub offered: u64,
    /// Queries that were answered.
    pub answered: u64,
    /// Answered queries per second.
    pub goodput: f64,
    /// Queries that were refused as not run.
    pub refused_not_run: u64,
    /// Queries of which the broker said that they may have run.
    pub outcome_unknown: u64,
    /// Mean coverage of the answers.
    pub coverage_mean: f64,
    /// Latency of the answers from the intended moment.
    pub p50_ms: f64,
    /// As `p50_ms`, 99 in 100.
    pub p99_ms: f64,
    /// As `p50_ms`, 999 in 1000.
    pub p999_ms: f64,
    /// Latency at each quantile of the curve that reports plot.
    pub curve_ms: Vec<f64>,
}

impl RunFigures {
    /// Figures of the queries that were due from `measured_from` on, over `seconds`.
    pub fn new(evidence: &Evidence, measured_from: Microseconds, seconds: f64) -> Self {
        let mut by_class: BTreeMap<String, Vec<&CallerRecord>> = BTreeMap::new();
        let measured = evidence.callers.iter().filter(|record| record.intended >= measured_from);
        for record in measured {
            let class = format!("{}/{}", record.service, record.class);
            by_class.entry(class).or_default().push(record);
        }
        let classes: BTreeMap<String, ClassFigures> = by_class
            .iter()
            .map(|(class, records)| (class.clone(), ClassFigures::new(records, seconds)))
            .collect();
        let answered: u64 = classes.values().map(|class| class.answered).sum();
        let covered: f64 =
            classes.values().map(|class| class.coverage_mean * class.answered as f64).sum();
        Self {
            policy: "",
            load: 0.0,
            violations: 0,
            extra_load: Summary::new(evidence).extra_load,
            coverage_mean: covered / answered.max(1) as f64,
            classes,
        }
    }
}

impl ClassFigures {
    fn new(records: &[&CallerRecord], seconds: f64) -> Self {
        let count = |outcome: CallerOutcome| {
            records.iter().filter(|record| record.outcome == outcome).count() as u64
        };
        let answered = count(CallerOutcome::Answered);
        let mut latency = Histogram::<u64>::new(3).expect("the number of digits is allowed");
        let mut coverage = 0.0;
        for record in records.iter().filter(|record| record.outcome == CallerOutcome::Answered) {
            coverage += record.coverage.unwrap_or_default();
            let microseconds = record.ended.saturating_sub(record.intended);
            latency.record(microseconds).expect("the histogram grows with what it is given");
        }
        let at = |quantile: f64| latency.value_at_quantile(quantile) as f64 / 1000.0;
        Self {
            offered: records.len() as u64,
            answered,
            goodput: answered as f64 / seconds,
            refused_not_run: count(CallerOutcome::NotRun),
            outcome_unknown: count(CallerOutcome::OutcomeUnknown),
            coverage_mean: coverage / answered.max(1) as f64,
            p50_ms: at(0.5),
            p99_ms: at(0.99),
            p999_ms: at(0.999),
            curve_ms: CURVE.iter().map(|quantile| at(*quantile)).collect(),
        }
    }
}
