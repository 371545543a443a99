//! Every answer is read from one snapshot: pinning, restarts and unavailable snapshots.

mod support;

use gingerkeel_domain::identifiers::LeafId;
use gingerkeel_domain::query::{LeafFailure, MissingReason, NotRunReason, QueryOutcome};
use rstest::rstest;
use support::*;

const LOST: NotRunReason = NotRunReason::SnapshotUnavailable;

/// A fleet of two shards with two replicas each that has answered one query.
fn served() -> Harness {
    let mut harness = Harness::new(&[&[0, 1], &[2, 3]]);
    for sending in sends(&harness.submit(true)) {
        harness.answer(sending);
    }
    harness
}

#[rstest]
#[case::older(snapshot(0, 0))]
#[case::newer(snapshot(0, 2))]
#[case::other_epoch(snapshot(1, 1))]
fn a_reply_of_another_snapshot_is_not_merged(
    #[case] read: gingerkeel_domain::identifiers::Snapshot,
) {
    let mut harness = Harness::new(&[&[0]]);
    let sending = sends(&harness.submit(false))[0];
    let effects = harness.complete(sending, result(read));
    let Some(QueryOutcome::Unknown { known, .. }) = outcome(&effects) else {
        panic!("expected an unknown outcome, got {effects:?}");
    };
    assert!(known.parts.is_empty());
    assert_eq!(known.missing[0].reason, MissingReason::Unknown);
}

#[rstest]
#[case::publication(false)]
#[case::repartition(true)]
fn a_query_in_flight_stays_on_its_snapshot(#[case] repartitioned: bool) {
    let mut harness = served();
    let sent = sends(&harness.submit(true));
    harness.reconfigure(|catalog| {
        if repartitioned {
            repartition(catalog, &[&[0], &[1], &[2]]);
        }
        publish(catalog, 2);
    });
    harness.answer(sent[0]);
    let answer = answered(&harness.answer(sent[1]));
    assert_eq!(answer.snapshot, snapshot(0, 1));
    assert_eq!(answer.parts.len(), 2);
}

#[test]
fn repeated_repartitioning_without_publication_keeps_the_published_map() {
    let mut harness = served();
    for _ in 0..5 {
        harness.reconfigure(|catalog| repartition(catalog, &[&[0], &[1], &[2]]));
    }
    assert_eq!(sends(&harness.submit(true)).len(), 2);
}

#[test]
fn a_lost_snapshot_restarts_the_query_on_the_newer_one() {
    let mut harness = served();
    let sent = sends(&harness.submit(true));
    harness.reconfigure(|catalog| publish(catalog, 2));
    harness.answer(sent[0]);
    let effects = harness.refuse(sent[1], LOST);
    let again = sends(&effects);
    assert_eq!(again.len(), 2, "both shards are asked again: {effects:?}");
    assert!(again.iter().all(|sending| sending.snapshot == snapshot(0, 2)));
    assert!(harness.answer(sent[0]).is_empty(), "a late reply of the old snapshot is ignored");
    harness.answer(again[0]);
    let answer = answered(&harness.answer(again[1]));
    assert_eq!((answer.snapshot, answer.coverage()), (snapshot(0, 2), 1.0));
}

#[test]
fn a_restart_cancels_requests_in_flight() {
    let mut harness = served();
    let sent = sends(&harness.submit(true));
    harness.reconfigure(|catalog| publish(catalog, 2));
    assert_eq!(cancels(&harness.refuse(sent[1], LOST)), [sent[0].leaf]);
}

#[test]
fn restarts_are_bounded() {
    let mut harness = Harness::new(&[&[0], &[1]]);
    let mut restarts = 0;
    let mut effects = harness.submit(true);
    for version in 2..20 {
        harness.reconfigure(|catalog| publish(catalog, version));
        effects = harness.refuse(sends(&effects)[1], LOST);
        if sends(&effects).len() < 2 {
            break;
        }
        restarts += 1;
    }
    assert_eq!(restarts, 2);
}

#[test]
fn without_a_newer_snapshot_another_replica_is_asked() {
    let mut harness = served();
    let sent = sends(&harness.submit(true));
    let again = sends(&harness.refuse(sent[0], LOST));
    assert_eq!(again.len(), 1);
    assert_ne!(again[0].leaf, sent[0].leaf);
    assert_eq!(again[0].snapshot, snapshot(0, 1));
}

#[test]
fn a_query_that_is_not_repeatable_never_restarts() {
    let mut harness = served();
    let sent = sends(&harness.submit(false));
    harness.reconfigure(|catalog| publish(catalog, 2));
    assert!(sends(&harness.refuse(sent[0], LOST)).is_empty());
    let answer = answered(&harness.answer(sent[1]));
    assert_eq!(answer.snapshot, snapshot(0, 1));
    assert_eq!(answer.missing[0].reason, MissingReason::NotRun);
}

#[test]
fn while_a_shard_refuses_the_newest_snapshot_queries_read_the_previous_one() {
    let mut harness = served();
    harness.reconfigure(|catalog| publish(catalog, 2));
    let first = sends(&harness.submit(true));
    assert_eq!(first[1].snapshot, snapshot(0, 2));
    let second = sends(&harness.refuse(first[1], LOST));
    let back = sends(&harness.refuse(second[0], LOST));
    assert_eq!(back.len(), 2, "all replicas refused: the query restarts on the earlier snapshot");
    assert!(back.iter().all(|sending| sending.snapshot == snapshot(0, 1)));
    assert_eq!(sends(&harness.submit(true))[0].snapshot, snapshot(0, 1));
    harness.wait(millis(600));
    assert_eq!(sends(&harness.submit(true))[0].snapshot, snapshot(0, 2), "tried again later");
}

#[test]
fn a_query_that_cannot_restart_reads_a_confirmed_snapshot() {
    let mut harness = served();
    harness.reconfigure(|catalog| publish(catalog, 2));
    assert_eq!(sends(&harness.submit(false))[0].snapshot, snapshot(0, 1));
    for sending in sends(&harness.submit(true)) {
        assert_eq!(sending.snapshot, snapshot(0, 2));
        harness.answer(sending);
    }
    assert_eq!(sends(&harness.submit(false))[0].snapshot, snapshot(0, 2));
}

#[test]
fn a_leaf_that_refused_a_snapshot_is_not_asked_for_it_meanwhile() {
    let mut harness = served();
    let sent = sends(&harness.submit(true));
    harness.refuse(sent[0], LOST);
    for _ in 0..20 {
        let asked: Vec<LeafId> = sends(&harness.submit(true)).iter().map(|s| s.leaf).collect();
        assert!(!asked.contains(&sent[0].leaf));
    }
}

#[test]
fn a_duplicate_reply_is_ignored() {
    let mut harness = served();
    let sent = sends(&harness.submit(true));
    assert!(harness.answer(sent[0]).is_empty());
    assert!(harness.answer(sent[0]).is_empty());
    assert!(harness.fail(sent[0], LeafFailure::Broken).is_empty());
    assert_eq!(answered(&harness.answer(sent[1])).parts.len(), 2);
    assert!(harness.answer(sent[1]).is_empty());
}

#[test]
fn a_shard_that_may_have_run_before_a_restart_is_not_reported_as_not_run() {
    let mut harness = served();
    let sent = sends(&harness.submit(true));
    harness.reconfigure(|catalog| publish(catalog, 2));
    harness.answer(sent[0]);
    let again = sends(&harness.refuse(sent[1], LOST));
    let mut effects = harness.refuse(again[0], NotRunReason::Draining);
    effects = harness.refuse(sends(&effects)[0], NotRunReason::Draining);
    effects.extend(harness.answer(again[1]));
    let answer = answered(&effects);
    assert_eq!(answer.missing[0].reason, MissingReason::Unknown);
}
