//! A short soak with fixed seeds, judged by its outcome only, and the judgement of doctored answers.

use gingerkeel_rehearsal::soak::members::soak_members;
use gingerkeel_rehearsal::soak::soak;
use rstest::rstest;

/// Seeds of the test command, and every seed that ever failed, with a line on the cause.
#[rstest]
#[case::first(1)]
#[case::second(2)]
fn no_promise_is_broken_under_random_faults(#[case] seed: u64) {
    let folder = tempfile::tempdir().expect("a folder");
    let summary = soak(seed, 8, folder.path()).expect("the fleet runs");
    assert!(summary.violations.is_empty(), "{summary:?}");
    assert!(summary.counts.answered > 100, "{summary:?}");
    assert!(summary.counts.acknowledged > 0 && summary.counts.read > 0, "{summary:?}");
}

/// Seeds of the test command, and every seed that ever failed, with a line on the cause.
#[rstest]
#[case::successor_beside_an_empty_disk(5, 1)]
#[case::successor_of_a_successor(5, 2)]
#[case::member_that_was_removed_as_spare(9, 23)]
fn control_machines_come_back_after_losses_and_replacements(
    #[case] controls: usize,
    #[case] seed: u64,
) {
    let folder = tempfile::tempdir().expect("a folder");
    let summary = soak_members(controls, seed, 14, folder.path()).expect("the fleet runs");
    assert!(summary.violations.is_empty(), "{summary:?}");
    assert!(summary.counts.acknowledged > 0 && summary.counts.reads > 0, "{summary:?}");
    assert!(summary.counts.rounds > 1 && summary.counts.looks > 100, "{summary:?}");
}
