//! Probes of leaves that have not replied for a while.

mod support;

use gingerkeel_domain::catalog::Change;
use gingerkeel_domain::dispatch::{Effect, Event, SchedulingPolicy};
use gingerkeel_domain::identifiers::LeafId;
use rstest::rstest;
use support::*;

const SILENT: LeafId = LeafId(0);
const OTHER: LeafId = LeafId(1);

fn probed(effects: &[Effect]) -> Vec<LeafId> {
    let probe = |effect: &Effect| match effect {
        Effect::Probe { leaf } => Some(*leaf),
        _ => None,
    };
    effects.iter().filter_map(probe).collect()
}

fn leaves_asked(harness: &mut Harness, count: usize) -> Vec<LeafId> {
    (0..count).flat_map(|_| sends(&harness.submit(true))).map(|sending| sending.leaf).collect()
}

/// Advances the time while the leaves in `responding` answer every probe as not draining.
fn wait_with_marks(harness: &mut Harness, milliseconds: u64, responding: &[LeafId]) {
    for _ in 0..milliseconds / 100 {
        for leaf in probed(&harness.wait(millis(100))) {
            if responding.contains(&leaf) {
                harness.handle(Event::ProbeAnswered { leaf, draining: false });
            }
        }
    }
}

#[rstest]
#[case::before_a_second(900, &[])]
#[case::after_a_second(1500, &[SILENT, OTHER])]
fn silent_leaf_is_probed_after_a_second(#[case] waited: u64, #[case] expected: &[LeafId]) {
    let mut harness = Harness::new(&[&[0, 1]]);
    assert_eq!(probed(&harness.wait(millis(waited))), expected);
}

#[test]
fn leaf_that_replies_is_not_probed() {
    let mut harness = Harness::new(&[&[0]]);
    for _ in 0..30 {
        let sending = sends(&harness.submit(true))[0];
        harness.complete_marked(sending, result(sending.snapshot), Some(false));
        assert_eq!(probed(&harness.wait(millis(100))), []);
    }
}

#[test]
fn baseline_sends_no_probes() {
    let catalog = catalog(&[&[0, 1]], gingerkeel_domain::catalog::AnswerPolicy::Full);
    let mut harness = Harness::with_catalog(catalog, SchedulingPolicy::Baseline);
    assert_eq!(probed(&harness.wait(millis(5000))), []);
}

#[test]
fn draining_mark_on_a_probe_stops_new_work() {
    let mut harness = Harness::new(&[&[0, 1]]);
    harness.wait(millis(1500));
    harness.handle(Event::ProbeAnswered { leaf: SILENT, draining: true });
    harness.handle(Event::ProbeAnswered { leaf: OTHER, draining: false });
    assert_eq!(leaves_asked(&mut harness, 20), [OTHER; 20]);
}

#[test]
fn later_probe_without_the_mark_lifts_it() {
    let mut harness = Harness::new(&[&[0]]);
    harness.wait(millis(1500));
    harness.handle(Event::ProbeAnswered { leaf: SILENT, draining: true });
    assert_eq!(leaves_asked(&mut harness, 1), []);
    assert_eq!(probed(&harness.wait(millis(1500))), [SILENT]);
    harness.handle(Event::ProbeAnswered { leaf: SILENT, draining: false });
    assert_eq!(leaves_asked(&mut harness, 1), [SILENT]);
}

#[test]
fn leaf_that_is_silent_for_too_long_gets_no_work_while_another_responds() {
    let mut harness = Harness::new(&[&[0, 1]]);
    wait_with_marks(&mut harness, 3000, &[OTHER]);
    assert_eq!(leaves_asked(&mut harness, 20), [OTHER; 20]);
}

#[test]
fn silent_leaves_get_work_when_there_is_no_other() {
    let mut harness = Harness::new(&[&[0]]);
    harness.wait(millis(5000));
    assert_eq!(leaves_asked(&mut harness, 1), [SILENT]);
}

#[test]
fn leaf_that_joins_gets_work_from_the_start() {
    let mut harness = Harness::new(&[&[0]]);
    wait_with_marks(&mut harness, 5000, &[]);
    harness.reconfigure(|catalog| {
        change(catalog, Change::AddLeaf(leaf(1, placement("south", "a"))));
        assign(catalog, &[&[0, 1]]);
    });
    assert_eq!(leaves_asked(&mut harness, 20), [OTHER; 20]);
}
