//! Charges over all broker runs.

use std::collections::BTreeMap;

use super::{ChargeKey, ChargeReport, ChargeTotal};
use crate::identifiers::{BrokerName, BrokerRun};

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct RunKey {
    broker: BrokerName,
    run: BrokerRun,
}

/// Charges over all broker runs; the same reports in any order and number give the same ledger.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ChargeLedger {
    runs: BTreeMap<RunKey, BTreeMap<ChargeKey, ChargeTotal>>,
}

impl ChargeLedger {
    /// Takes a report in: the larger total of a run stands.
    pub fn fold(&mut self, report: ChargeReport) {
        let run = RunKey { broker: report.broker, run: report.run };
        let totals = self.runs.entry(run).or_default();
        for entry in report.entries {
            let total = totals.entry(entry.key).or_default();
            total.answered = total.answered.max(entry.total.answered);
            total.units = total.units.max(entry.total.units);
        }
    }

    /// The total under a key over all broker runs.
    pub fn total(&self, key: &ChargeKey) -> ChargeTotal {
        let mut sum = ChargeTotal::default();
        for total in self.runs.values().filter_map(|totals| totals.get(key)) {
            sum.answered = sum.answered.saturating_add(total.answered);
            sum.units = sum.units.saturating_add(total.units);
        }
        sum
    }
}
