//! Randomly generated fault schedules for the control tier. proptest shrinks a failing schedule to
//! the relevant faults.

use std::time::Duration;

use gingerkeel_simulation::control::{BrokerIndex, Fault, MachineIndex, TimedFault, run_scenario};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// Number of generated schedules.
const CASES: u32 = 60;
/// Mean interval between independent changes of an operator.
const CHANGE_INTERVAL: Duration = Duration::from_millis(400);

fn machine() -> impl Strategy<Value = MachineIndex> {
    (0usize..5).prop_map(MachineIndex)
}

fn broker() -> impl Strategy<Value = BrokerIndex> {
    (0usize..6).prop_map(BrokerIndex)
}

/// All faults except the loss of a disk. A run has at most one of those, since a second one before
/// the first has been repaired may exceed the fault tolerance.
fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        machine().prop_map(Fault::Kill),
        machine().prop_map(Fault::Restart),
        Just(Fault::KillLeader),
        Just(Fault::KillAll),
        Just(Fault::FreezeLeader),
        machine().prop_map(Fault::Freeze),
        machine().prop_map(Fault::Thaw),
        machine().prop_map(Fault::Isolate),
        machine().prop_map(Fault::CutFromPeers),
        machine().prop_map(Fault::Mute),
        machine().prop_map(Fault::Deafen),
        machine().prop_map(Fault::Rejoin),
        Just(Fault::CutRegions),
        Just(Fault::HealRegions),
        broker().prop_map(Fault::FreezeBroker),
        broker().prop_map(Fault::ThawBroker),
        broker().prop_map(Fault::RestartBroker),
        (0.0..0.5).prop_map(Fault::LoseAnswers),
        (0.0..0.1).prop_map(Fault::LoseMessages),
    ]
}

fn timed(fault: impl Strategy<Value = Fault>) -> impl Strategy<Value = TimedFault> {
    (1_500u64..18_000, fault)
        .prop_map(|(at, fault)| TimedFault { at: Duration::from_millis(at), fault })
}

fn schedule() -> impl Strategy<Value = Vec<TimedFault>> {
    let lost = prop::option::of(timed(machine().prop_map(Fault::LoseDisk)));
    (vec(timed(fault()), 1..12), lost).prop_map(|(mut faults, lost)| {
        faults.extend(lost);
        faults
    })
}

#[test]
fn guarantees_hold_under_any_schedule() {
    let config = Config { cases: CASES, failure_persistence: None, ..Config::default() };
    let random = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, random);
    runner
        .run(&(any::<u64>(), schedule()), |(seed, faults)| {
            let outcome = run_scenario(seed, CHANGE_INTERVAL, &faults, None, false)
                .map_err(|error| TestCaseError::fail(error.to_string()))?;
            prop_assert_eq!(outcome.violations, Vec::new());
            Ok(())
        })
        .unwrap();
}
