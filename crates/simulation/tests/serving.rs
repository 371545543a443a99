//! Guarantees of the serving tier under each fault, and mutants that must violate them.

use std::time::Duration;

use gingerkeel_domain::admission::RefusalReason;
use gingerkeel_domain::query::{QueryOutcome, UnrecordedReason};
use gingerkeel_simulation::serving::{
    Fault, History, Mutant, Outcome, Scenario, Violation, run_scenario,
};
use rstest::rstest;

/// Seeds per scenario; use `gingerkeel-simulate` for more.
const SEEDS: std::ops::Range<u64> = 0..8;

fn run(name: &str, seed: u64, mutant: Option<Mutant>) -> Outcome {
    let scenario = Scenario::named(name).expect("the scenario exists");
    let faults = scenario.faults(seed);
    run_scenario(seed, scenario.load, &faults, mutant, false).expect("the run ends")
}

fn answered_share(history: &History) -> f64 {
    let answered = history
        .queries
        .values()
        .filter(|record| {
            matches!(record.outcomes.as_slice(), [(_, QueryOutcome::Answered(answer))] if answer.missing.is_empty())
        })
        .count();
    answered as f64 / history.queries.len() as f64
}

#[rstest]
fn guarantees_hold(
    #[values(
        "calm",
        "straggler",
        "replica-lost",
        "freeze",
        "cut",
        "late-replies",
        "wrong-version",
        "fails-fast",
        "version-change",
        "version-lost",
        "repartition",
        "drain-by-operator",
        "drain-by-leaf",
        "planned-stop",
        "broker-killed",
        "overload-2",
        "overload-4",
        "short-queues",
        "threshold",
        "budget-cut",
        "resent-keys",
        "resent-keys-replica-lost"
    )]
    name: &str,
) {
    for seed in SEEDS {
        let outcome = run(name, seed, None);
        assert_eq!(outcome.violations, Vec::new(), "scenario {name}, seed {seed}");
    }
}

#[test]
fn every_scenario_is_listed_in_the_test_above() {
    let listed = include_str!("serving.rs");
    for scenario in Scenario::all() {
        assert!(listed.contains(&format!("\"{}\"", scenario.name())), "{}", scenario.name());
    }
}

/// Regression test: with these seeds, a broker sent no requests to a draining leaf for seconds and
/// therefore did not learn of the drain.
#[rstest]
fn drain_of_an_idle_leaf_is_detected(#[values(22, 43, 64)] seed: u64) {
    assert_eq!(run("drain-by-leaf", seed, None).violations, Vec::new());
}

#[test]
fn nearly_all_answers_are_complete_without_faults() {
    let outcome = run("calm", 1, None);
    assert!(outcome.history.queries.len() > 1000);
    assert!(answered_share(&outcome.history) > 0.97);
}

#[test]
fn same_seed_gives_the_same_trace() {
    let first = run("version-change", 5, None);
    let second = run("version-change", 5, None);
    assert_eq!(first.trace_hash, second.trace_hash);
    assert_ne!(first.trace_hash, run("version-change", 6, None).trace_hash);
}

fn count(outcome: &Outcome, wanted: impl Fn(&QueryOutcome) -> bool) -> usize {
    let records = outcome.history.queries.values();
    records.flat_map(|record| &record.outcomes).filter(|(_, outcome)| wanted(outcome)).count()
}

fn refused_for(reason: RefusalReason) -> impl Fn(&QueryOutcome) -> bool {
    move |outcome| matches!(outcome, QueryOutcome::NotRun { reason: found, .. } if *found == reason)
}

/// Each scenario leads to the refusals for which it is intended.
#[rstest]
#[case::evicted("short-queues", RefusalReason::Evicted)]
#[case::queue_full("short-queues", RefusalReason::QueueFull)]
#[case::shut_out("threshold", RefusalReason::Overloaded)]
#[case::budget_spent("budget-cut", RefusalReason::BudgetSpent)]
#[case::no_time_left("overload-4", RefusalReason::DeadlineTooClose)]
fn refusals_of_the_scenario_happen(#[case] scenario: &str, #[case] reason: RefusalReason) {
    let found: usize =
        SEEDS.map(|seed| count(&run(scenario, seed, None), refused_for(reason))).sum();
    assert!(found > 0, "{scenario} refused nothing for {reason:?}");
}

#[test]
fn retries_at_another_broker_are_unrecorded() {
    let outcome = run("resent-keys", 1, None);
    let keyed = outcome.history.queries.values().filter(|record| record.submission.key.is_some());
    assert!(keyed.count() > 100);
    let other_run = QueryOutcome::Unrecorded(UnrecordedReason::OtherRun);
    assert!(count(&outcome, |found| *found == other_run) > 10);
}

fn kind(violation: &Violation) -> &'static str {
    match violation {
        Violation::MixedSnapshot(_) => "mixed snapshot",
        Violation::ForeignPart(_) => "foreign part",
        Violation::FalseCoverage(_) => "false coverage",
        Violation::NotRunWasRun(_) => "not run was run",
        Violation::RanTwice(..) => "ran twice",
        Violation::WorkForLeaving(_) => "work for leaving",
        Violation::NoOutcome(_) => "no outcome",
        Violation::SeveralOutcomes(_) => "several outcomes",
        Violation::LateOutcome(_) => "late outcome",
        Violation::HeldBack(_) => "held back",
        Violation::NoRetryAfter(_) => "no retry after",
        Violation::CutByStop(_) => "cut by stop",
        Violation::LowerClassFirst(_) => "lower class first",
        Violation::AnswersDiffer(_) => "answers differ",
        Violation::FalseCharge(_) => "false charge",
        Violation::OverBudget(_) => "over budget",
        Violation::BelowThreshold(_) => "below threshold",
    }
}

/// Each mutant leads to the expected violation for at least one seed.
#[rstest]
#[case::at_most_once(Mutant::EveryQueryRepeatable, "replica-lost", "ran twice")]
#[case::snapshot(Mutant::EveryReplyOfSnapshot, "wrong-version", "mixed snapshot")]
#[case::drain_by_operator(Mutant::NoDrainMarks, "drain-by-operator", "work for leaving")]
#[case::drain_by_leaf(Mutant::NoDrainMarks, "drain-by-leaf", "work for leaving")]
#[case::written_once(Mutant::BrokenMeansNotSent, "replica-lost", "ran twice")]
#[case::missing_not_run(Mutant::UnknownShardsSaidNotRun, "overload-4", "false coverage")]
#[case::not_run(Mutant::UnknownSaidNotRun, "freeze", "not run was run")]
#[case::own_answer(Mutant::RepliesOfOthers, "calm", "foreign part")]
#[case::coverage(Mutant::MissingShardsHidden, "overload-4", "false coverage")]
#[case::planned_stop(Mutant::StopCutsInFlight, "planned-stop", "cut by stop")]
#[case::at_once(Mutant::RefusalsHeldBack, "overload-4", "held back")]
#[case::priorities(Mutant::ClassesIgnored, "overload-4", "lower class first")]
#[case::eviction(Mutant::ClassesIgnored, "short-queues", "lower class first")]
#[case::keys(Mutant::KeysIgnored, "resent-keys", "ran twice")]
#[case::one_answer(Mutant::KeysIgnored, "resent-keys", "answers differ")]
#[case::charged_once(Mutant::KeysIgnored, "resent-keys", "false charge")]
#[case::budgets(Mutant::BudgetUnheard, "budget-cut", "over budget")]
#[case::threshold(Mutant::ThresholdUnheard, "threshold", "below threshold")]
fn mutant_violates_the_guarantee(
    #[case] mutant: Mutant,
    #[case] scenario: &str,
    #[case] expected: &str,
) {
    let broken = SEEDS.chain(100..112).any(|seed| {
        run(scenario, seed, Some(mutant)).violations.iter().any(|found| kind(found) == expected)
    });
    assert!(broken, "{mutant:?} in {scenario} never gave '{expected}'");
}

#[test]
fn a_seed_always_gives_the_same_faults() {
    let scenario = Scenario::named("straggler").expect("the scenario exists");
    let faults = scenario.faults(3);
    assert_eq!(faults, scenario.faults(3));
    assert!(matches!(faults.as_slice(), [one] if matches!(one.fault, Fault::Slow { .. })));
    assert!(faults.iter().all(|fault| fault.at < Duration::from_secs(3)));
}
