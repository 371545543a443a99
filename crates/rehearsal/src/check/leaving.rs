//! Rules on leaving: no new work for a drained leaf, no answer cut by a planned stop.

use std::collections::BTreeMap;

use super::CheckSettings;
use super::evidence::Evidence;
use super::violation::{Violation, ViolationKind};
use crate::clock::{Microseconds, microseconds};
use crate::record::{CallerOutcome, CallerRecord, OrderKind};

/// Checks drains and stops against journals and caller logs.
pub fn check(evidence: &Evidence, settings: &CheckSettings, violations: &mut Vec<Violation>) {
    check_drains(evidence, settings, violations);
    check_owed(evidence, settings, violations);
}

/// When a leaf was drained and, perhaps, taken back.
struct Drain {
    leaf: u32,
    from: Microseconds,
    to: Microseconds,
}

fn drains(evidence: &Evidence) -> Vec<Drain> {
    let mut open: BTreeMap<u32, Microseconds> = BTreeMap::new();
    let mut drains = Vec::new();
    for order in &evidence.orders {
        match order.kind {
            OrderKind::DrainLeaf { leaf } => {
                open.entry(leaf).or_insert(order.at);
            }
            OrderKind::ResumeLeaf { leaf } => {
                let from = open.remove(&leaf);
                drains.extend(from.map(|from| Drain { leaf, from, to: order.at }));
            }
            _ => {}
        }
    }
    drains.extend(open.into_iter().map(|(leaf, from)| Drain { leaf, from, to: u64::MAX }));
    drains
}

fn check_drains(evidence: &Evidence, settings: &CheckSettings, violations: &mut Vec<Violation>) {
    let allowed = microseconds(settings.drain_time);
    for drain in drains(evidence) {
        let late = |at: Microseconds| at > drain.from.saturating_add(allowed) && at < drain.to;
        for entry in evidence.started().filter(|entry| entry.leaf == drain.leaf && late(entry.at)) {
            let after = (entry.at - drain.from) / 1000;
            let seen = format!("started {} {after} ms after the drain", entry.request);
            let subject = format!("leaf {}", drain.leaf);
            violations.push(Violation::new(ViolationKind::WorkAfterDrain, subject, seen));
        }
    }
}

fn check_owed(evidence: &Evidence, settings: &CheckSettings, violations: &mut Vec<Violation>) {
    let started = evidence.started_by_query();
    for record in &evidence.callers {
        let kind = match record.outcome {
            CallerOutcome::Cut => ViolationKind::AnswerCut,
            CallerOutcome::NeverAnswered => ViolationKind::NeverAnswered,
            _ => continue,
        };
        let taken = started.contains_key(record.query.as_str());
        // A connection may close at the very moment at which a query is written to it: a broker
        // that stops owes nothing for what it never read, and then no leaf has run any of it.
        let excused = disturbed(evidence, settings, record)
            || (!taken && stopping(evidence, record) && record.outcome == CallerOutcome::Cut);
        if !excused {
            let seen = format!(
                "by broker {} after {} ms, ran: {taken}",
                record.broker,
                (record.ended - record.intended) / 1000
            );
            violations.push(Violation::new(kind, &record.query, seen));
        }
    }
}

/// Whether the broker was killed, frozen or cut off at about that time.
fn disturbed(evidence: &Evidence, settings: &CheckSettings, record: &CallerRecord) -> bool {
    let time = microseconds(settings.disturbance_time);
    evidence.orders.iter().any(|order| {
        let of_broker = matches!(&order.kind,
            OrderKind::DisturbBroker { broker } if *broker == record.broker);
        of_broker && order.at.abs_diff(record.ended) <= time
    })
}

fn stopping(evidence: &Evidence, record: &CallerRecord) -> bool {
    evidence.orders.iter().any(|order| {
        let of_broker = matches!(&order.kind,
            OrderKind::StopBroker { broker } if *broker == record.broker);
        of_broker && order.at <= record.ended
    })
}
