//! Guarantees of the control tier under each fault, and mutants that must violate them.

use gingerkeel_simulation::control::{Fault, Mutant, Outcome, Scenario, Violation, run_scenario};
use rstest::rstest;

/// Seeds per scenario; use `gingerkeel-simulate` for more.
const SEEDS: std::ops::Range<u64> = 0..20;
/// Seeds per mutant, at least one of which must lead to a violation.
const MUTANT_SEEDS: std::ops::Range<u64> = 0..60;

fn run(name: &str, seed: u64, mutant: Option<Mutant>) -> Outcome {
    let scenario = Scenario::named(name).expect("the scenario exists");
    let faults = scenario.faults(seed);
    run_scenario(seed, scenario.change_interval, &faults, mutant, false).expect("the run ends")
}

#[rstest]
fn guarantees_hold(
    #[values(
        "control-calm",
        "control-killed-in-turn",
        "control-frozen-in-turn",
        "leader-killed",
        "leader-frozen",
        "control-cut-silently",
        "control-cut-from-peers",
        "control-mute",
        "control-deaf",
        "zone-cut",
        "regions-cut",
        "answers-lost",
        "messages-lost",
        "disk-lost",
        "second-loss-after-repair",
        "disk-lost-after-cut",
        "control-all-killed",
        "restart-after-hundreds",
        "broker-frozen",
        "broker-restarted"
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
    let listed = include_str!("control.rs");
    for scenario in Scenario::all() {
        assert!(listed.contains(&format!("\"{}\"", scenario.name())), "{}", scenario.name());
    }
}

#[rstest]
#[case::few("control-calm", 80)]
#[case::hundreds("restart-after-hundreds", 500)]
fn runs_accept_many_changes(#[case] name: &str, #[case] least: u64) {
    let outcome = run(name, 1, None);
    let newest = outcome.history.final_states[0].catalog.revision().0;
    assert!(newest >= least, "{newest} changes");
}

#[test]
fn brokers_serve_nearly_always_without_faults() {
    let samples = run("control-calm", 1, None).history.samples;
    let after_start = samples.iter().filter(|sample| sample.at.as_micros() > 3_000_000);
    let all = after_start.clone().count();
    let serving = after_start.filter(|sample| sample.serves).count();
    assert!(all > 1000);
    assert!(serving * 100 > all * 99, "{serving} of {all} serve");
}

/// In a partition between the regions, the side without a quorum stops serving when its leases
/// expire. Otherwise, an accepted change would not be in force at every serving broker.
#[test]
fn side_without_a_quorum_stops_serving_in_a_partition() {
    let samples = run("regions-cut", 1, None).history.samples;
    let stopped = |north: bool| {
        samples.iter().any(|sample| {
            (sample.broker.0 % 2 == 1) == north
                && !sample.serves
                && sample.at.as_micros() > 4_000_000
        })
    };
    assert!(stopped(true));
    assert!(!stopped(false));
}

#[test]
fn same_seed_gives_the_same_trace() {
    let first = run("leader-killed", 5, None);
    let second = run("leader-killed", 5, None);
    assert_eq!(first.trace_hash, second.trace_hash);
    assert_ne!(first.trace_hash, run("leader-killed", 6, None).trace_hash);
}

fn kind(violation: &Violation) -> &'static str {
    match violation {
        Violation::StatesDiverge(_) => "states diverge",
        Violation::NotInForce(..) => "not in force",
        Violation::Reverted(..) => "reverted",
        Violation::AcceptedLost(_) => "accepted lost",
        Violation::CarriedOutTwice(_) => "carried out twice",
        Violation::OutcomesDiffer(_) => "outcomes differ",
        Violation::ConflictAccepted(_) => "conflict accepted",
        Violation::WrongWinner(_) => "wrong winner",
        Violation::NoOutcome(_) => "no outcome",
        Violation::FinalStatesDiffer => "final states differ",
        Violation::BrokerBehind(_) => "broker behind",
    }
}

/// Each mutant leads to a violation for at least one seed.
#[rstest]
#[case::confirmed_grants(Mutant::UnconfirmedGrants, "control-cut-from-peers", &["not in force"])]
#[case::lease(Mutant::LeaseIgnored, "regions-cut", &["not in force"])]
#[case::never_older(Mutant::OlderCatalogTaken, "control-cut-silently", &["reverted"])]
#[case::sessions(Mutant::ResendsRenumbered, "answers-lost", &["carried out twice"])]
#[case::conflicts(Mutant::ConflictsIgnored, "control-calm", &["conflict accepted"])]
#[case::persist_first(
    Mutant::PersistedTooEarly,
    "control-all-killed",
    &["states diverge", "accepted lost", "final states differ"]
)]
#[case::identity(
    Mutant::IdentityKept,
    "disk-lost-after-cut",
    &["states diverge", "accepted lost"]
)]
fn mutant_violates_the_guarantee(
    #[case] mutant: Mutant,
    #[case] scenario: &str,
    #[case] expected: &[&str],
) {
    let broken = MUTANT_SEEDS.into_iter().any(|seed| {
        let violations = run(scenario, seed, Some(mutant)).violations;
        violations.iter().any(|found| expected.contains(&kind(found)))
    });
    assert!(broken, "{mutant:?} in {scenario} never gave any of {expected:?}");
}

#[test]
fn a_seed_always_gives_the_same_faults() {
    let scenario = Scenario::named("disk-lost").expect("the scenario exists");
    let faults = scenario.faults(3);
    assert_eq!(faults, scenario.faults(3));
    assert!(matches!(faults.as_slice(), [one] if matches!(one.fault, Fault::LoseDisk(_))));
}
