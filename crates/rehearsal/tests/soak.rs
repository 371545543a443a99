//! A short soak with fixed seeds, judged by its outcome only, and the judgement of doctored answers.

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
