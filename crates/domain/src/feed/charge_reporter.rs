//! Exactly-once reporting of a broker's charges.
//!
//! The totals of a process only grow. They are reported as cumulative totals of a run, and the
//! control tier keeps the maximum of each, so repeated reports are idempotent. Once the control
//! tier has settled the run, the broker continues with a new run, starting from what was recorded
//! in the old one.

use std::collections::BTreeMap;

use crate::cluster::{ChargeCounter, ChargeKey};

/// Charge totals by caller, service and class.
pub type ChargeTotals = BTreeMap<ChargeKey, ChargeCounter>;

/// A report that awaits its receipt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunReport {
    /// The run that the totals belong to.
    pub run: u64,
    /// Sequence number of the report, echoed by the receipt.
    pub sequence: u64,
    /// Totals of the run that changed since the last recorded report.
    pub totals: ChargeTotals,
}

/// Charge reporting state of one broker process.
#[derive(Debug, Clone)]
pub struct ChargeReporter {
    run: u64,
    next_sequence: u64,
    /// Totals of the process that were recorded in earlier runs.
    base: ChargeTotals,
    /// Totals of the run that the control tier has recorded.
    recorded: ChargeTotals,
    /// Totals of the run as of the last acknowledged report; added to `base` when the run is
    /// settled.
    sent: ChargeTotals,
    pending_report: Option<RunReport>,
}

impl ChargeReporter {
    /// Creates a reporter that has recorded nothing under `run` yet.
    pub fn new(run: u64) -> Self {
        Self {
            run,
            next_sequence: 1,
            base: ChargeTotals::new(),
            recorded: ChargeTotals::new(),
            sent: ChargeTotals::new(),
            pending_report: None,
        }
    }

    /// The report to send for the process totals `totals`: the pending report again, or one with
    /// the totals that changed; `None` if all are recorded.
    pub fn report(&mut self, totals: &ChargeTotals) -> Option<RunReport> {
        if self.pending_report.is_none() {
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
            self.pending_report = Some(RunReport { run: self.run, sequence, totals: changed });
        }
        self.pending_report.clone()
    }

    /// Handles the receipt of a report that is part of the cluster's totals. Receipts of other
    /// runs, such as those of a killed process of the same name, are ignored.
    pub fn recorded(&mut self, run: u64, sequence: u64) {
        if let Some(report) = self.take_report(run, sequence) {
            self.sent.extend(report.totals.clone());
            self.recorded.extend(report.totals);
        }
    }

    /// Handles the rejection of a report whose run is settled. Nothing of the report was counted;
    /// its charges and all later ones are reported under `next_run`.
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
        self.pending_report.take_if(|report| report.run == run && report.sequence == sequence)
    }
}

fn since(total: ChargeCounter, base: Option<&ChargeCounter>) -> ChargeCounter {
    let base = base.copied().unwrap_or_default();
    ChargeCounter {
        answered: total.answered.saturating_sub(base.answered),
        units: total.units.saturating_sub(base.units),
    }
}
