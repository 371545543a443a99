//! What a broker reports of its charges, so that all are counted and none twice.
//!
//! The totals of the process only grow. They are reported under a run, as totals of that run; the
//! control tier keeps the greatest of each. When it has settled the run, the broker counts on in
//! a new one, from what it had sent in the old.

use std::collections::BTreeMap;

use crate::cluster::{ChargeCounter, ChargeKey};

/// Totals by key.
pub type ChargeTotals = BTreeMap<ChargeKey, ChargeCounter>;

/// A report on its way.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunReport {
    /// The run that is counted under.
    pub run: u64,
    /// Number of the report, which the receipt repeats.
    pub sequence: u64,
    /// Totals of the run that changed since the last recorded report.
    pub totals: ChargeTotals,
}

/// The charges of one process.
#[derive(Debug, Clone)]
pub struct ChargeReporter {
    run: u64,
    next_sequence: u64,
    /// Totals of the process that earlier runs account for.
    base: ChargeTotals,
    /// Totals of the run that are recorded.
    recorded: ChargeTotals,
    /// Totals of the run that were sent before the report on its way.
    sent: ChargeTotals,
    on_its_way: Option<RunReport>,
}

impl ChargeReporter {
    /// Nothing counted yet under `run`.
    pub fn new(run: u64) -> Self {
        Self {
            run,
            next_sequence: 1,
            base: ChargeTotals::new(),
            recorded: ChargeTotals::new(),
            sent: ChargeTotals::new(),
            on_its_way: None,
        }
    }

    /// The report to send when the totals of the process are `totals`: one on its way again, or
    /// what changed; none when all is recorded.
    pub fn report(&mut self, totals: &ChargeTotals) -> Option<RunReport> {
        if self.on_its_way.is_none() {
            let of_run = totals.iter().map(|(key, total)| (key, since(*total, self.base.get(key))));
            let changed = of_run.filter(|(key, total)| self.recorded.get(key) != Some(total));
            let changed: ChargeTotals = changed
                .filter(|(_, total)| total.answered > 0)
                .map(|(key, total)| (key.clone(), total))
                .collect();
            if changed.is_empty() {
                return None;
            }
            let sequence = self.next_sequence;
            self.next_sequence += 1;
            self.on_its_way = Some(RunReport { run: self.run, sequence, totals: changed });
        }
        self.on_its_way.clone()
    }

    /// A report is part of the cluster's totals. A receipt of another run, such as one of a
    /// process that was killed and had the same name, says nothing about this one.
    pub fn recorded(&mut self, run: u64, sequence: u64) {
        if let Some(report) = self.take_report(run, sequence) {
            self.sent.extend(report.totals.clone());
            self.recorded.extend(report.totals);
        }
    }

    /// The run of a report is settled, and nothing of the report was counted: it is counted under
    /// `next_run`, with all that comes.
    pub fn run_settled(&mut self, run: u64, sequence: u64, next_run: u64) {
        if self.take_report(run, sequence).is_none() {
            return;
        }
        for (key, total) in std::mem::take(&mut self.sent) {
            let base = self.base.entry(key).or_default();
            base.answered += total.answered;
            base.units += total.units;
        }
        self.recorded.clear();
        self.run = next_run;
    }

    fn take_report(&mut self, run: u64, sequence: u64) -> Option<RunReport> {
        self.on_its_way.take_if(|report| report.run == run && report.sequence == sequence)
    }
}

fn since(total: ChargeCounter, base: Option<&ChargeCounter>) -> ChargeCounter {
    let base = base.copied().unwrap_or_default();
    ChargeCounter {
        answered: total.answered.saturating_sub(base.answered),
        units: total.units.saturating_sub(base.units),
    }
}
