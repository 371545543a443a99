//! Guarantees of route serving under each fault, and mutants that must violate them.

use std::collections::BTreeSet;

use gingerkeel_simulation::routes::{
    Ending, History, Mutant, Outcome, Scenario, Violation, run_scenario,
};
use rstest::rstest;

/// Seeds per scenario; use `gingerkeel-simulate` for more.
const SEEDS: std::ops::Range<u64> = 0..8;

fn run(name: &str, seed: u64, mutant: Option<Mutant>) -> Outcome {
    let scenario = Scenario::named(name).expect("the scenario exists");
    run_scenario(seed, &scenario.faults(seed), mutant, false).expect("the run ends")
}

#[rstest]
fn guarantees_hold(
    #[values(
        "routes-calm",
        "routes-slow-leaf",
        "routes-slow-everywhere",
        "routes-leaf-down",
        "routes-leaf-dark",
        "routes-shard-dark",
        "routes-single-service-down",
        "routes-answers-lost",
        "routes-failures",
        "routes-refusals",
        "routes-leaving",
        "routes-addresses-taken",
        "routes-burst"
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
    let listed = include_str!("routes.rs");
    for scenario in Scenario::all() {
        assert!(listed.contains(&format!("\"{}\"", scenario.name())), "{}", scenario.name());
    }
}

#[rstest]
fn guarantees_hold_under_pairs_of_faults(#[values(0, 1)] seed: u64) {
    let all = Scenario::all();
    for (place, first) in all.iter().enumerate() {
        for second in &all[place..] {
            let pair = first.with(second);
            let outcome = run_scenario(seed, &pair.faults(seed), None, false).expect("an end");
            assert_eq!(outcome.violations, Vec::new(), "scenario {}, seed {seed}", pair.name());
        }
    }
}

fn share(history: &History, wanted: impl Fn(&Ending) -> bool) -> f64 {
    let endings = history.requests.values().flat_map(|record| &record.endings);
    let found = endings.filter(|(_, ending)| wanted(ending)).count();
    found as f64 / history.requests.len() as f64
}

fn whole(ending: &Ending) -> bool {
    matches!(ending, Ending::Answered(parts) if parts.len() != 5)
}

fn lacks_a_part(ending: &Ending) -> bool {
    matches!(ending, Ending::Answered(parts) if parts.len() == 5)
}

/// The share of requests with a complete answer exceeds `least`.
#[rstest]
#[case::calm("routes-calm", 0.98)]
#[case::slow_leaf("routes-slow-leaf", 0.96)]
#[case::leaf_down("routes-leaf-down", 0.97)]
#[case::leaf_dark("routes-leaf-dark", 0.95)]
#[case::leaving("routes-leaving", 0.98)]
fn nearly_all_answers_are_complete(#[case] scenario: &str, #[case] least: f64) {
    for seed in SEEDS {
        let answered = share(&run(scenario, seed, None).history, whole);
        assert!(answered > least, "{scenario}, seed {seed}: {answered}");
    }
}

/// Each scenario leads to the responses for which it is intended.
#[rstest]
#[case::parts_missing("routes-shard-dark", lacks_a_part)]
#[case::refused("routes-single-service-down", |ending: &Ending| *ending == Ending::NotRun)]
#[case::unknown("routes-answers-lost", |ending: &Ending| *ending == Ending::MayHaveRun)]
#[case::overload("routes-burst", |ending: &Ending| *ending == Ending::NotRun)]
fn the_scenario_shows(#[case] scenario: &str, #[case] wanted: fn(&Ending) -> bool) {
    let found = SEEDS.map(|seed| share(&run(scenario, seed, None).history, wanted));
    assert!(found.sum::<f64>() > 0.0, "never in {scenario}");
}

#[test]
fn same_seed_gives_the_same_trace() {
    let first = run("routes-burst", 5, None);
    assert_eq!(first.trace_hash, run("routes-burst", 5, None).trace_hash);
    assert_ne!(first.trace_hash, run("routes-burst", 6, None).trace_hash);
}

fn kind(violation: &Violation) -> &'static str {
    match violation {
        Violation::NotOneEnding(_) => "not one ending",
        Violation::Late(_) => "late",
        Violation::FalsePart(..) => "false part",
        Violation::BelowLeastShare(_) => "below the least share",
        Violation::TooManyRuns(..) => "too many runs",
        Violation::NotRunWasRun(_) => "not run was run",
        Violation::WorkForLeaving(_) => "work for leaving",
        Violation::OverBudget(_) => "over budget",
    }
}

/// Each mutant leads to the expected violation for at least one seed.
#[rstest]
#[case::budget_of_retries(Mutant::BudgetIgnored, "routes-failures", "over budget")]
#[case::budget_of_hedges(Mutant::BudgetIgnored, "routes-addresses-taken", "over budget")]
#[case::at_most_once(Mutant::EveryRequestRepeatable, "routes-answers-lost", "too many runs")]
#[case::leaving(Mutant::LeavingUnheard, "routes-leaving", "work for leaving")]
#[case::coverage(Mutant::FailedPartsCount, "routes-failures", "false part")]
#[case::not_run(Mutant::UnknownSaidNotRun, "routes-answers-lost", "not run was run")]
#[case::ended_leaves(Mutant::EndedLeavesUnnoticed, "routes-addresses-taken", "over budget")]
#[case::deadline(Mutant::DeadlineUnheard, "routes-shard-dark", "not one ending")]
fn mutant_violates_the_guarantee(
    #[case] mutant: Mutant,
    #[case] scenario: &str,
    #[case] expected: &str,
) {
    let found: BTreeSet<&str> = SEEDS
        .flat_map(|seed| run(scenario, seed, Some(mutant)).violations)
        .map(|violation| kind(&violation))
        .collect();
    assert!(found.contains(expected), "{mutant:?} in {scenario} gave {found:?}");
}
