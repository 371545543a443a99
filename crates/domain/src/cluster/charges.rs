//! Usage charges, aggregated from monotonic counters of each broker run.
//!
//! A report carries absolute counter values, not increments. Counters only grow within a run, so
//! taking the maximum of each makes reports idempotent and tolerant of reordering and loss.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::WallTime;
use crate::identifiers::{BrokerName, CallerName, ClassName, ServiceName};

/// Time after its last report at which a run is settled and its counters are dropped.
pub const RUN_RETENTION: Duration = Duration::from_secs(24 * 60 * 60);
/// Time for which a settled run is remembered, so that a late report is not counted twice.
pub const TOMBSTONE_RETENTION: Duration = Duration::from_secs(30 * 24 * 60 * 60);

/// Key of a charge: answers of one class of a service to one caller.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ChargeKey {
    /// The charged caller.
    pub caller: CallerName,
    /// Service that answered.
    pub service: ServiceName,
    /// Class of the requests.
    pub class: ClassName,
}

/// Counters of one key; both are monotonic within a run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChargeCounter {
    /// Number of answered requests.
    pub answered: u64,
    /// Units charged for the answers, each at the price when it was given.
    pub units: u64,
}

impl ChargeCounter {
    /// The maximum of each counter.
    fn merged(self, other: Self) -> Self {
        Self { answered: self.answered.max(other.answered), units: self.units.max(other.units) }
    }

    fn add_growth(&mut self, before: Self, after: Self) {
        self.answered = self.answered.saturating_add(after.answered - before.answered);
        self.units = self.units.saturating_add(after.units - before.units);
    }
}

/// Identifies one run of a broker process.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
struct RunId {
    broker: BrokerName,
    run: u64,
}

/// Counters of one broker run; unchanged ones may be omitted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChargeReport {
    /// The reporting broker.
    pub broker: BrokerName,
    /// Identifier of the broker's run, drawn at start.
    pub run: u64,
    /// Sequence number of the report within the run, echoed in the receipt.
    pub sequence: u64,
    /// Absolute counter values by key.
    pub counters: BTreeMap<ChargeKey, ChargeCounter>,
}

/// Outcome of a charge report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChargeReceipt {
    /// The report is included in the replicated totals.
    Recorded,
    /// The run is already settled: nothing was counted, and the broker must start a new run.
    RunSettled,
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Run {
    last_report: WallTime,
    counters: BTreeMap<ChargeKey, ChargeCounter>,
}

/// Charge totals by caller, service and class, with the state of unsettled runs.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Charges {
    totals: BTreeMap<ChargeKey, ChargeCounter>,
    runs: BTreeMap<RunId, Run>,
    settled: BTreeMap<RunId, WallTime>,
    next_settling: WallTime,
}

impl Charges {
    /// Totals over all runs, settled ones included.
    pub fn totals(&self) -> &BTreeMap<ChargeKey, ChargeCounter> {
        &self.totals
    }

    /// Number of runs not yet settled.
    pub fn open_runs(&self) -> usize {
        self.runs.len()
    }

    /// Merges a report into the totals.
    pub fn record(&mut self, now: WallTime, report: &ChargeReport) -> ChargeReceipt {
        let id = RunId { broker: report.broker.clone(), run: report.run };
        if self.settled.contains_key(&id) {
            return ChargeReceipt::RunSettled;
        }
        let run = self.runs.entry(id).or_default();
        run.last_report = run.last_report.max(now);
        for (key, reported) in &report.counters {
            let seen = run.counters.entry(key.clone()).or_default();
            let merged = seen.merged(*reported);
            self.totals.entry(key.clone()).or_default().add_growth(*seen, merged);
            *seen = merged;
        }
        ChargeReceipt::Recorded
    }

    /// Settles runs without a report for [`RUN_RETENTION`]; their share of the totals is kept.
    pub fn settle(&mut self, now: WallTime) {
        if now < self.next_settling {
            return;
        }
        self.next_settling = now.after(RUN_RETENTION / 24);
        let idle = |run: &Run| now.since(run.last_report) >= RUN_RETENTION;
        let ended: Vec<RunId> =
            self.runs.iter().filter(|(_, run)| idle(run)).map(|(id, _)| id.clone()).collect();
        for id in ended {
            self.runs.remove(&id);
            self.settled.insert(id, now);
        }
        self.settled.retain(|_, settled| now.since(*settled) < TOMBSTONE_RETENTION);
    }
}
