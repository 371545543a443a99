//! Checks of a history against the guarantees of the serving tier, independent of the code under
//! test.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use gingerkeel_domain::admission::RefusalReason;
use gingerkeel_domain::identifiers::{LeafId, ShardId};
use gingerkeel_domain::query::{Answer, MissingReason, QueryOutcome};
use gingerkeel_domain::time::Timestamp;

use super::broker::BrokerIndex;
use super::check_accounts::{check_accounts, owners};
use super::history::{GlobalQuery, History, QueryRecord};
use super::world::decided_on_entry;

/// Time limit after a drain order for requests that still reach the leaf.
const DRAIN_BOUND: Duration = Duration::from_secs(3);
/// Tolerance for late outcomes.
const OUTCOME_SLACK: Duration = Duration::from_millis(2);
/// Maximum excess of the refusal rate of a class over that of a lower class.
const PRIORITY_SLACK: f64 = 0.05;
/// Minimum number of queries of a class for a check of its refusal rate.
const PRIORITY_SAMPLE: usize = 50;

/// A violated guarantee.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Violation {
    /// A part of an answer was read from another snapshot than that of the answer.
    MixedSnapshot(GlobalQuery),
    /// A part of an answer belongs to another query or shard.
    ForeignPart(GlobalQuery),
    /// The coverage of an answer does not match its shards.
    FalseCoverage(GlobalQuery),
    /// A leaf executed a request of a query that was reported as not run.
    NotRunWasRun(GlobalQuery),
    /// A query that is not repeatable was executed more than once on a shard.
    RanTwice(GlobalQuery, ShardId),
    /// A request reached a leaf too long after its drain order.
    WorkForLeaving(LeafId),
    /// A query has no outcome.
    NoOutcome(GlobalQuery),
    /// A query has more than one outcome.
    SeveralOutcomes(GlobalQuery),
    /// An outcome arrived after the deadline.
    LateOutcome(GlobalQuery),
    /// A refusal at admission was delayed.
    HeldBack(GlobalQuery),
    /// A refusal has no retry delay.
    NoRetryAfter(GlobalQuery),
    /// A graceful shutdown aborted a query in flight.
    CutByStop(GlobalQuery),
    /// A class was refused more often than a lower class.
    LowerClassFirst(u8),
    /// Answers to requests with the same request key differ.
    AnswersDiffer(GlobalQuery),
    /// The charges of a broker differ from the prices of its answers.
    FalseCharge(BrokerIndex),
    /// A broker answered more queries than the caller's budget allows.
    OverBudget(BrokerIndex),
    /// A leaf executed a request of a class below the admission threshold.
    BelowThreshold(GlobalQuery),
}

/// Returns all violations in a history.
pub fn check(history: &History) -> Vec<Violation> {
    let runs = runs_by_query(history);
    let mut violations = Vec::new();
    for (query, record) in &history.queries {
        let runs = runs.get(query).unwrap_or(&EMPTY_RUNS);
        check_outcomes(history, *query, record, &mut violations);
        check_at_most_once(*query, record, runs, &mut violations);
        for (arrived, outcome) in &record.outcomes {
            check_outcome(history, *query, outcome, runs, &mut violations);
            check_refusal(*query, record, *arrived, outcome, &mut violations);
        }
    }
    check_leaving(history, &mut violations);
    check_priorities(history, &mut violations);
    check_accounts(history, &mut violations);
    violations
}

type ShardRuns = BTreeMap<ShardId, usize>;

static EMPTY_RUNS: ShardRuns = ShardRuns::new();

fn runs_by_query(history: &History) -> BTreeMap<GlobalQuery, ShardRuns> {
    let mut runs: BTreeMap<GlobalQuery, ShardRuns> = BTreeMap::new();
    for run in &history.runs {
        let query = GlobalQuery { broker: run.broker, query: run.request.query };
        *runs.entry(query).or_default().entry(run.request.shard).or_default() += 1;
    }
    runs
}

fn check_outcomes(
    history: &History,
    query: GlobalQuery,
    record: &QueryRecord,
    violations: &mut Vec<Violation>,
) {
    match record.outcomes.as_slice() {
        [] if record.excused => {}
        [] if stopped_in_flight(history, query, record) => {
            violations.push(Violation::CutByStop(query))
        }
        [] => violations.push(Violation::NoOutcome(query)),
        [(arrived, _)] if arrived.since(record.submission.deadline) > OUTCOME_SLACK => {
            violations.push(Violation::LateOutcome(query))
        }
        [_] => {}
        _ => violations.push(Violation::SeveralOutcomes(query)),
    }
}

fn stopped_in_flight(history: &History, query: GlobalQuery, record: &QueryRecord) -> bool {
    history
        .stops
        .iter()
        .any(|stop| stop.broker == query.broker && stop.requested >= record.submitted)
}

fn check_at_most_once(
    query: GlobalQuery,
    record: &QueryRecord,
    runs: &ShardRuns,
    violations: &mut Vec<Violation>,
) {
    if record.submission.repeatable {
        return;
    }
    for (shard, count) in runs {
        if *count > 1 {
            violations.push(Violation::RanTwice(query, *shard));
        }
    }
}

fn check_outcome(
    history: &History,
    query: GlobalQuery,
    outcome: &QueryOutcome,
    runs: &ShardRuns,
    violations: &mut Vec<Violation>,
) {
    match outcome {
        QueryOutcome::Answered(answer) | QueryOutcome::Unknown { known: answer, .. } => {
            check_answer(history, query, answer, runs, violations);
        }
        QueryOutcome::NotRun { .. } if !runs.is_empty() => {
            violations.push(Violation::NotRunWasRun(query));
        }
        QueryOutcome::NotRun { .. } | QueryOutcome::Unrecorded(_) => {}
    }
}

fn check_answer(
    history: &History,
    query: GlobalQuery,
    answer: &Answer,
    runs: &ShardRuns,
    violations: &mut Vec<Violation>,
) {
    let mut mixed = false;
    let mut foreign = false;
    let owners = owners(history, query);
    for part in &answer.parts {
        let text = String::from_utf8_lossy(&part.body).into_owned();
        let read = owners.iter().find_map(|owner| {
            let owner = format!("{}/{}/{}/", owner.broker.0, owner.query, part.shard);
            text.strip_prefix(&owner).and_then(|rest| rest.split('=').next())
        });
        foreign |= read.is_none();
        mixed |= read.is_some_and(|read| read != answer.snapshot.to_string());
    }
    if mixed {
        violations.push(Violation::MixedSnapshot(query));
    }
    if foreign {
        violations.push(Violation::ForeignPart(query));
    }
    if !coverage_is_true(history, answer, runs) {
        violations.push(Violation::FalseCoverage(query));
    }
}

/// Whether the parts and missing shards of an answer contain each shard of the partition map
/// exactly once, and no shard reported as not run was executed.
fn coverage_is_true(history: &History, answer: &Answer, runs: &ShardRuns) -> bool {
    let parts = answer.parts.iter().map(|part| part.shard);
    let missing = answer.missing.iter().map(|missing| missing.shard);
    let named: Vec<ShardId> = parts.chain(missing).collect();
    let distinct: BTreeSet<ShardId> = named.iter().copied().collect();
    let expected: BTreeSet<ShardId> =
        history.shards.get(&answer.snapshot.epoch).into_iter().flatten().copied().collect();
    let not_run_is_true = answer
        .missing
        .iter()
        .filter(|missing| missing.reason == MissingReason::NotRun)
        .all(|missing| !runs.contains_key(&missing.shard));
    distinct.len() == named.len() && distinct == expected && not_run_is_true
}

fn check_refusal(
    query: GlobalQuery,
    record: &QueryRecord,
    arrived: Timestamp,
    outcome: &QueryOutcome,
    violations: &mut Vec<Violation>,
) {
    let QueryOutcome::NotRun { reason, retry_after } = outcome else {
        return;
    };
    if decided_on_entry(*reason) && arrived.since(record.submitted) > OUTCOME_SLACK {
        violations.push(Violation::HeldBack(query));
    }
    if retry_after.is_zero() {
        violations.push(Violation::NoRetryAfter(query));
    }
}

fn check_leaving(history: &History, violations: &mut Vec<Violation>) {
    for drain in &history.drains {
        let late = history.arrivals.iter().any(|arrival| {
            arrival.leaf == drain.leaf && arrival.arrived > drain.ordered.after(DRAIN_BOUND)
        });
        if late {
            violations.push(Violation::WorkForLeaving(drain.leaf));
        }
    }
}

#[derive(Default)]
struct ClassCount {
    submitted: usize,
    refused: usize,
}

impl ClassCount {
    fn refused_share(&self) -> f64 {
        self.refused as f64 / self.submitted as f64
    }
}

fn check_priorities(history: &History, violations: &mut Vec<Violation>) {
    let mut classes: BTreeMap<u8, ClassCount> = BTreeMap::new();
    for record in history.queries.values() {
        let class = classes.entry(record.priority).or_default();
        class.submitted += 1;
        // Refusals due to an exhausted budget do not depend on the class.
        let refused = |(_, outcome): &(Timestamp, QueryOutcome)| match outcome {
            QueryOutcome::NotRun { reason, .. } => *reason != RefusalReason::BudgetSpent,
            _ => false,
        };
        class.refused += usize::from(record.outcomes.iter().any(refused));
    }
    classes.retain(|_, class| class.submitted >= PRIORITY_SAMPLE);
    for (higher, class) in &classes {
        let lower_shares = classes.range(higher + 1..).map(|(_, lower)| lower.refused_share());
        let least = lower_shares.fold(f64::INFINITY, f64::min);
        if class.refused_share() > least + PRIORITY_SLACK {
            violations.push(Violation::LowerClassFirst(*higher));
        }
    }
}
