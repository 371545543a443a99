//! Rules that compare what callers were told with what leaves ran.

use std::collections::{BTreeMap, BTreeSet};

use super::evidence::Evidence;
use super::violation::{Violation, ViolationKind};
use crate::record::{CallerOutcome, CallerRecord, JournalEntry};

/// Reason of a missing shard that no leaf ran.
const NOT_RUN: &str = "not_run";

/// Checks every query against the journals.
pub fn check(evidence: &Evidence, violations: &mut Vec<Violation>) {
    let started = evidence.started_by_query();
    for record in &evidence.callers {
        let runs = started.get(record.query.as_str()).map_or(&[][..], Vec::as_slice);
        check_not_run(record, runs, violations);
        check_parts(record, runs, violations);
        if !record.repeatable {
            check_at_most_once(record, runs, violations);
        }
    }
}

fn check_not_run(record: &CallerRecord, runs: &[&JournalEntry], violations: &mut Vec<Violation>) {
    let mut report = |run: &JournalEntry| {
        let seen = format!("leaf {} started shard {} as {}", run.leaf, run.shard, run.request);
        violations.push(Violation::new(ViolationKind::NotRunButRan, &record.query, seen));
    };
    if matches!(record.outcome, CallerOutcome::NotRun | CallerOutcome::NotSent) {
        runs.first().into_iter().for_each(|run| report(run));
        return;
    }
    for missing in record.missing.iter().filter(|missing| missing.reason == NOT_RUN) {
        let of_shard = |run: &&&JournalEntry| {
            run.shard == missing.shard && Some(snapshot(run)) == record.snapshot
        };
        runs.iter().find(of_shard).into_iter().for_each(|run| report(run));
    }
}

fn check_parts(record: &CallerRecord, runs: &[&JournalEntry], violations: &mut Vec<Violation>) {
    let ran: BTreeSet<u32> = runs.iter().map(|run| run.shard).collect();
    for part in record.parts.iter().filter(|part| !ran.contains(&part.shard)) {
        let seen = format!("no leaf ran shard {}", part.shard);
        violations.push(Violation::new(ViolationKind::InventedPart, &record.query, seen));
    }
}

fn check_at_most_once(
    record: &CallerRecord,
    runs: &[&JournalEntry],
    violations: &mut Vec<Violation>,
) {
    let snapshots: BTreeSet<String> = runs.iter().map(|run| snapshot(run)).collect();
    if snapshots.len() > 1 {
        let seen = format!("ran on {snapshots:?}");
        violations.push(Violation::new(ViolationKind::RanTwice, &record.query, seen));
    }
    let mut by_shard: BTreeMap<u32, Vec<&str>> = BTreeMap::new();
    for run in runs {
        by_shard.entry(run.shard).or_default().push(&run.request);
    }
    for (shard, requests) in by_shard.iter().filter(|(_, requests)| requests.len() > 1) {
        let seen = format!("shard {shard} ran as {}", requests.join(" and "));
        violations.push(Violation::new(ViolationKind::RanTwice, &record.query, seen));
    }
}

fn snapshot(run: &JournalEntry) -> String {
    format!("{}.{}", run.epoch, run.version)
}
