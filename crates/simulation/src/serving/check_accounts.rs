//! Checks of request keys, budgets, charges and the admission threshold.

use std::collections::{BTreeMap, BTreeSet};

use gingerkeel_domain::admission::RefusalReason;
use gingerkeel_domain::identifiers::ShardId;
use gingerkeel_domain::query::QueryOutcome;
use gingerkeel_domain::request_key::RequestKey;

use super::broker::BrokerIndex;
use super::caller::HIGHEST_PRICE;
use super::check::Violation;
use super::history::{BudgetRecord, ChargeRecord, GlobalQuery, History, QueryRecord};

/// Queries with the same request key.
type KeyGroup<'history> = Vec<(GlobalQuery, &'history QueryRecord)>;

/// Adds violations of request keys, charges, budgets and the admission threshold.
pub fn check_accounts(history: &History, violations: &mut Vec<Violation>) {
    for group in key_groups(history).values() {
        check_key(history, group, violations);
    }
    check_charges(history, violations);
    check_budget(history, violations);
    check_threshold(history, violations);
}

/// Queries whose leaf requests may contribute to the answer to `query`: all with the same request
/// key.
pub fn owners(history: &History, query: GlobalQuery) -> Vec<GlobalQuery> {
    let key = key_of(&history.queries[&query]);
    if key.is_none() {
        return vec![query];
    }
    let queries = history.queries.iter();
    queries.filter(|(_, record)| key_of(record) == key).map(|(owner, _)| *owner).collect()
}

fn key_of(record: &QueryRecord) -> Option<&RequestKey> {
    record.submission.key.as_ref().map(|keyed| &keyed.key)
}

fn key_groups(history: &History) -> BTreeMap<&RequestKey, KeyGroup<'_>> {
    let mut groups: BTreeMap<&RequestKey, KeyGroup<'_>> = BTreeMap::new();
    for (query, record) in &history.queries {
        if let Some(key) = key_of(record) {
            groups.entry(key).or_default().push((*query, record));
        }
    }
    groups
}

/// Over all requests with a key, each shard is executed at most once, all answers are equal, and
/// "not run" is reported only before any execution.
fn check_key(history: &History, group: &KeyGroup<'_>, violations: &mut Vec<Violation>) {
    let queries: BTreeSet<GlobalQuery> = group.iter().map(|(query, _)| *query).collect();
    let belongs = |broker, query| queries.contains(&GlobalQuery { broker, query });
    let runs: Vec<_> =
        history.runs.iter().filter(|run| belongs(run.broker, run.request.query)).collect();
    let mut shards: BTreeSet<ShardId> = BTreeSet::new();
    let (first, _) = group[0];
    for run in &runs {
        if !shards.insert(run.request.shard) {
            violations.push(Violation::RanTwice(first, run.request.shard));
        }
    }
    let mut answers = Vec::new();
    for (query, record) in group {
        for (arrived, outcome) in &record.outcomes {
            match outcome {
                QueryOutcome::Answered(answer) => answers.push(answer),
                QueryOutcome::NotRun { .. } if runs.iter().any(|run| run.started < *arrived) => {
                    violations.push(Violation::NotRunWasRun(*query));
                }
                _ => {}
            }
        }
    }
    if answers.windows(2).any(|pair| pair[0] != pair[1]) {
        violations.push(Violation::AnswersDiffer(first));
    }
}

/// The charges of a broker are the prices of its answers, with each request key charged once.
fn check_charges(history: &History, violations: &mut Vec<Violation>) {
    for charge in &history.charges {
        if *charge != expected_charge(history, charge) {
            violations.push(Violation::FalseCharge(charge.broker));
        }
    }
}

fn expected_charge(history: &History, charge: &ChargeRecord) -> ChargeRecord {
    let mut counted: BTreeSet<&RequestKey> = BTreeSet::new();
    let mut expected = ChargeRecord { answered: 0, units: 0, ..*charge };
    for (query, record) in &history.queries {
        if query.broker != charge.broker {
            continue;
        }
        let Some((_, QueryOutcome::Answered(answer))) = record.outcomes.first() else {
            continue;
        };
        if key_of(record).is_none_or(|key| counted.insert(key)) {
            expected.answered += 1;
            expected.units += answer.price;
        }
    }
    expected
}

/// The prices of a broker's answers since the budget cut are within the burst, the rate and the
/// refunds for earlier queries. Each request key is charged once.
fn check_budget(history: &History, violations: &mut Vec<Violation>) {
    let Some(budget) = &history.budget else {
        return;
    };
    let mut spent: BTreeMap<BrokerIndex, u64> = BTreeMap::new();
    let mut allowed: BTreeMap<BrokerIndex, u64> = BTreeMap::new();
    let mut counted: BTreeSet<&RequestKey> = BTreeSet::new();
    let mut queries: Vec<_> = history.queries.iter().collect();
    queries.sort_by_key(|(_, record)| record.submitted);
    for (query, record) in queries {
        let Some((_, QueryOutcome::Answered(answer))) = record.outcomes.first() else {
            continue;
        };
        let first = key_of(record).is_none_or(|key| counted.insert(key));
        if !first || record.submitted < budget.in_force {
            continue;
        }
        let total = spent.entry(query.broker).or_default();
        *total += answer.price;
        let seconds = record.submitted.since(budget.ordered).as_secs_f64();
        let earned = seconds * budget.account.budget_per_second as f64;
        let at_once = allowed
            .entry(query.broker)
            .or_insert_with(|| budget.account.burst + max_refunds(history, budget, query.broker));
        if *total as f64 > *at_once as f64 + earned {
            violations.push(Violation::OverBudget(query.broker));
        }
    }
}

/// Upper bound of a broker's refunds after the budget cut for earlier queries.
fn max_refunds(history: &History, budget: &BudgetRecord, broker: BrokerIndex) -> u64 {
    let unanswered = |record: &QueryRecord| match record.outcomes.first() {
        Some((arrived, outcome)) => {
            *arrived >= budget.ordered && !matches!(outcome, QueryOutcome::Answered(_))
        }
        None => true,
    };
    let earlier = history.queries.iter().filter(|(query, record)| {
        query.broker == broker && record.submitted < budget.in_force && unanswered(record)
    });
    earlier.count() as u64 * HIGHEST_PRICE
}

/// No query of a class below the threshold is executed after the threshold has taken effect, and no
/// query of the highest class is evicted.
fn check_threshold(history: &History, violations: &mut Vec<Violation>) {
    let ran: BTreeSet<GlobalQuery> = history
        .runs
        .iter()
        .map(|run| GlobalQuery { broker: run.broker, query: run.request.query })
        .collect();
    for (query, record) in &history.queries {
        let shut_out = history.threshold.is_some_and(|threshold| {
            record.priority > threshold.lowest_admitted && record.submitted > threshold.in_force
        });
        if shut_out && ran.contains(query) {
            violations.push(Violation::BelowThreshold(*query));
        }
        let evicted = record.outcomes.iter().any(|(_, outcome)| {
            matches!(outcome, QueryOutcome::NotRun { reason: RefusalReason::Evicted, .. })
        });
        if evicted && record.priority == 0 {
            violations.push(Violation::LowerClassFirst(0));
        }
    }
}
