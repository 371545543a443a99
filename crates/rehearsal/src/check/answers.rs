//! Rules on single answers: one snapshot, whole parts of the right query, true coverage.

use std::collections::BTreeSet;

use super::evidence::Evidence;
use super::violation::{Violation, ViolationKind};
use crate::leaf::LeafBody;
use crate::record::{AnswerPart, CallerOutcome, CallerRecord};

/// Difference by which a reported coverage may be off through rounding.
const COVERAGE_TOLERANCE: f64 = 1e-6;
/// Reason of a refusal that no waiting would mend.
const BAD_REQUEST: &str = "bad_request";

/// Checks every answer and refusal by itself.
pub fn check(evidence: &Evidence, violations: &mut Vec<Violation>) {
    for record in &evidence.callers {
        match record.outcome {
            CallerOutcome::Answered | CallerOutcome::OutcomeUnknown => {
                check_parts(record, violations);
                check_coverage(record, violations);
            }
            CallerOutcome::NotRun => check_refusal(record, violations),
            CallerOutcome::NotUnderstood => {
                let seen = record.reason.clone().unwrap_or_default();
                violations.push(Violation::new(ViolationKind::NotUnderstood, &record.query, seen));
            }
            CallerOutcome::Cut | CallerOutcome::NeverAnswered | CallerOutcome::NotSent => {}
        }
    }
}

fn check_parts(record: &CallerRecord, violations: &mut Vec<Violation>) {
    for part in &record.parts {
        match LeafBody::from_text(&part.body) {
            Some(body) => check_part(record, part, &body, violations),
            None => {
                let seen = format!("shard {} is not whole: {}", part.shard, part.body);
                violations.push(Violation::new(ViolationKind::ForeignPart, &record.query, seen));
            }
        }
    }
}

fn check_part(
    record: &CallerRecord,
    part: &AnswerPart,
    body: &LeafBody,
    violations: &mut Vec<Violation>,
) {
    let own = body.query == record.query && body.shard == part.shard && body.is_whole();
    if !own {
        let seen = format!("as shard {}: {}", part.shard, part.body);
        violations.push(Violation::new(ViolationKind::ForeignPart, &record.query, seen));
    }
    let snapshot = format!("{}.{}", body.epoch, body.version);
    if record.snapshot.as_ref() != Some(&snapshot) {
        let seen = format!("shard {} of {snapshot} in {:?}", part.shard, record.snapshot);
        violations.push(Violation::new(ViolationKind::MixedSnapshot, &record.query, seen));
    }
}

fn check_coverage(record: &CallerRecord, violations: &mut Vec<Violation>) {
    let parts = record.parts.iter().map(|part| part.shard);
    let missing = record.missing.iter().map(|missing| missing.shard);
    let named = record.parts.len() + record.missing.len();
    let distinct: BTreeSet<u32> = parts.chain(missing).collect();
    let true_coverage = record.parts.len() as f64 / named.max(1) as f64;
    let reported = record.coverage.unwrap_or(-1.0);
    let consistent = distinct.len() == named
        && record.shards.map(|shards| shards as usize) == Some(named)
        && (reported - true_coverage).abs() <= COVERAGE_TOLERANCE;
    if !consistent {
        let seen = format!(
            "coverage {reported} of {:?} shards, but {} parts and {} missing, {} distinct",
            record.shards,
            record.parts.len(),
            record.missing.len(),
            distinct.len()
        );
        violations.push(Violation::new(ViolationKind::FalseCoverage, &record.query, seen));
    }
}

fn check_refusal(record: &CallerRecord, violations: &mut Vec<Violation>) {
    let excused = record.reason.as_deref() == Some(BAD_REQUEST);
    if record.retry_after_ms.is_none() && !excused {
        let seen = format!("refused as {:?}", record.reason);
        let kind = ViolationKind::RefusalWithoutRetryAfter;
        violations.push(Violation::new(kind, &record.query, seen));
    }
}
