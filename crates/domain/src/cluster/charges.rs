//! Charges folded from growing counters, one set of counters for each broker run.
//!
//! A report carries the counters themselves, not what was added, and counters only grow: the
//! greatest value seen of each is the truth, whatever was resent, reordered or lost between.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::WallTime;
use crate::identifiers::{BrokerName, CallerName, ClassName, ServiceName};

/// How long the counters of a run are kept after its last report; then they are settled.
pub const RUN_RETENTION: Duration = Duration::from_secs(24 * 60 * 60);
/// How long a settled run is remembered, so that a late report of it is not counted again.
pub const TOMBSTONE_RETENTION: Duration = Duration::from_secs(30 * 24 * 60 * 60);

/// What is charged for: answers of a class to a caller.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ChargeKey {
    /// Who pays.
    pub caller: CallerName,
    /// The service.
    pub service: ServiceName,
    /// The class.
    pub class: ClassName,
}

/// Counters of one key; both only grow within a run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChargeCounter {
    /// Answered requests.
    pub answered: u64,
    /// Units charged for them, at the price at the time of each answer.
    pub units: u64,
}

impl ChargeCounter {
    /// The greater of each.
    fn merged(self, other: Self) -> Self {
        Self { answered: self.answered.max(other.answered), units: self.units.max(other.units) }
    }

    fn add_growth(&mut self, before: Self, after: Self) {
        self.answered = self.answered.saturating_add(after.answered - before.answered);
        self.units = self.units.saturating_add(after.units - before.units);
    }
}

/// One run of a broker.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
struct RunId {
    broker: BrokerName,
    run: u64,
}

/// Counters of one broker run, or the part of them that changed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChargeReport {
    /// The broker.
    pub broker: BrokerName,
    /// Number of its run, drawn at start.
    pub run: u64,
    /// Number of the report within the run, which the receipt repeats.
    pub sequence: u64,
    /// The counters.
    pub counters: BTreeMap<ChargeKey, ChargeCounter>,
}

/// What became of a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChargeReceipt {
    /// It is part of the totals, for good.
    Recorded,
    /// The run was settled long ago: nothing was counted, the broker counts on in a new run.
    RunSettled,
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Run {
    last_report: WallTime,
    counters: BTreeMap<ChargeKey, ChargeCounter>,
}

/// Totals by caller and class.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Charges {
    totals: BTreeMap<ChargeKey, ChargeCounter>,
    runs: BTreeMap<RunId, Run>,
    settled: BTreeMap<RunId, WallTime>,
    next_settling: WallTime,
}

impl Charges {
    /// Totals over all runs.
    pub fn totals(&self) -> &BTreeMap<ChargeKey, ChargeCounter> {
        &self.totals
    }

    /// Runs whose counters are kept.
    pub fn open_runs(&self) -> usize {
        self.runs.len()
    }

    /// Folds a report into the totals.
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

    /// Settles runs that reported nothing for [`RUN_RETENTION`]; their part of the totals stays.
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
