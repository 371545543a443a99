//! Randomly generated fault schedules for the serving tier. proptest shrinks a failing schedule to
//! the relevant faults.

use std::time::Duration;

use gingerkeel_domain::identifiers::LeafId;
use gingerkeel_simulation::serving::{BrokerIndex, Fault, TimedFault, run_scenario};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// Number of generated schedules.
const CASES: u32 = 40;
/// Loads of the runs, as multiples of half the capacity.
const LOADS: [f64; 3] = [0.5, 1.0, 4.0];

fn leaf() -> impl Strategy<Value = LeafId> {
    (0u32..12).prop_map(LeafId)
}

fn broker() -> impl Strategy<Value = BrokerIndex> {
    (0usize..3).prop_map(BrokerIndex)
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        (leaf(), 2.0..20.0).prop_map(|(leaf, factor)| Fault::Slow { leaf, factor }),
        leaf().prop_map(Fault::Kill),
        leaf().prop_map(Fault::Restart),
        leaf().prop_map(Fault::Freeze),
        leaf().prop_map(Fault::Thaw),
        (broker(), leaf()).prop_map(|(broker, leaf)| Fault::Cut(broker, leaf)),
        (broker(), leaf()).prop_map(|(broker, leaf)| Fault::Heal(broker, leaf)),
        (leaf(), 10u64..300).prop_map(|(leaf, spread)| Fault::LateReplies {
            leaf,
            spread: Duration::from_millis(spread)
        }),
        leaf().prop_map(Fault::DuplicateReplies),
        leaf().prop_map(Fault::WrongVersion),
        leaf().prop_map(Fault::FailFast),
        Just(Fault::PublishNext),
        (1u32..7).prop_map(Fault::Repartition),
        leaf().prop_map(Fault::DrainByOperator),
        broker().prop_map(Fault::StopBroker),
        broker().prop_map(Fault::KillBroker),
        Just(Fault::ResendUnderKeys),
        (20u64..2000).prop_map(Fault::CutBudget),
        (1u32..50).prop_map(Fault::ShortenQueues),
        (0u8..3).prop_map(Fault::SetThreshold),
    ]
}

fn schedule() -> impl Strategy<Value = Vec<TimedFault>> {
    let timed = (200u64..4000, fault())
        .prop_map(|(at, fault)| TimedFault { at: Duration::from_millis(at), fault });
    vec(timed, 1..10)
}

#[test]
fn guarantees_hold_under_any_schedule() {
    let config = Config { cases: CASES, failure_persistence: None, ..Config::default() };
    let random = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, random);
    let loads = prop::sample::select(LOADS.to_vec());
    runner
        .run(&(any::<u64>(), loads, schedule()), |(seed, load, faults)| {
            let outcome = run_scenario(seed, load, &faults, None, false)
                .map_err(|error| TestCaseError::fail(error.to_string()))?;
            prop_assert_eq!(outcome.violations, Vec::new());
            Ok(())
        })
        .unwrap();
}
