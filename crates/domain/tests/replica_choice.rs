//! Selection of replicas by the dispatcher.

mod support;

use gingerkeel_domain::catalog::{AnswerPolicy, Catalog, Change, LeafState};
use gingerkeel_domain::dispatch::LeafCompletion;
use gingerkeel_domain::dispatch::{Event, SchedulingPolicy};
use gingerkeel_domain::identifiers::{LeafId, ZoneName};
use gingerkeel_domain::query::{LeafFailure, LeafReply, NotRunReason};
use rstest::rstest;
use support::*;

const DRAINED: LeafId = LeafId(0);

/// Leaves asked by `count` queries that stay unanswered.
fn asked(harness: &mut Harness, count: usize) -> Vec<LeafId> {
    (0..count).flat_map(|_| sends(&harness.submit(true))).map(|sending| sending.leaf).collect()
}

/// One shard with a replica in the own zone, the own region and another region.
fn spread_catalog() -> Catalog {
    let mut catalog = Catalog::default();
    let places = [("south", "a"), ("south", "b"), ("north", "a")];
    for (id, (region, zone)) in places.into_iter().enumerate() {
        change(&mut catalog, Change::AddLeaf(leaf(id as u32, placement(region, zone))));
    }
    change(&mut catalog, Change::DefineService { service: service(), concurrency: 1000 });
    let policy = class("urgent", AnswerPolicy::Full);
    change(&mut catalog, Change::DefineClass { service: service(), policy });
    define_caller(&mut catalog);
    assign(&mut catalog, &[&[0, 1, 2]]);
    publish(&mut catalog, 1);
    catalog
}

#[test]
fn the_better_of_two_random_replicas_is_asked() {
    let mut harness = Harness::new(&[&[0, 1]]);
    let leaves = asked(&mut harness, 40);
    let first = leaves.iter().filter(|leaf| **leaf == DRAINED).count();
    assert_eq!(first, 20, "with two replicas the one with fewer in flight is always taken");
}

#[test]
fn a_faster_replica_gets_more() {
    let mut harness = Harness::new(&[&[0, 1, 2]]);
    let requests = harness.run_queries(200, 3, |leaf| millis(if leaf.0 == 0 { 3 } else { 1 }));
    assert!(requests[0] < 20, "the slow replica got {requests:?}");
}

#[test]
fn the_replica_in_the_own_zone_comes_first() {
    let mut harness = Harness::with_catalog(spread_catalog(), SchedulingPolicy::Standard);
    let requests = harness.run_queries(50, 3, |leaf| millis(u64::from(leaf.0) + 1));
    assert_eq!(requests, [50, 0, 0]);
}

#[rstest]
#[case::region_when_the_zone_is_worse(&[30, 2, 40], LeafId(1))]
#[case::elsewhere_when_the_region_is_worse(&[60, 60, 5], LeafId(2))]
fn work_spills_to_farther_replicas(#[case] latencies: &[u64], #[case] preferred: LeafId) {
    let mut harness = Harness::with_catalog(spread_catalog(), SchedulingPolicy::Standard);
    let latency = |leaf: LeafId| millis(latencies[leaf.0 as usize]);
    let others = (0..3).map(LeafId).filter(|leaf| *leaf != preferred).collect();
    harness.handle(Event::PlatformLeaving(others));
    harness.run_queries(100, 3, latency);
    harness.handle(Event::PlatformLeaving(Vec::new()));
    harness.wait(millis(10_000));
    let requests = harness.run_queries(100, 3, latency);
    assert!(requests[preferred.0 as usize] > 60, "the spill target got {requests:?}");
}

#[test]
fn work_goes_elsewhere_when_nearer_replicas_are_gone() {
    let mut harness = Harness::with_catalog(spread_catalog(), SchedulingPolicy::Standard);
    harness.handle(Event::PlatformLeaving(vec![LeafId(0), LeafId(1)]));
    assert_eq!(asked(&mut harness, 3), [LeafId(2); 3]);
}

#[derive(Clone, Copy)]
enum Source {
    Leaf,
    Operator,
    Platform,
}

fn drain(harness: &mut Harness, source: Source) {
    match source {
        Source::Leaf => mark(harness, true),
        Source::Operator => set_state(harness, LeafState::Draining),
        Source::Platform => {
            harness.handle(Event::PlatformLeaving(vec![DRAINED]));
        }
    }
}

fn set_state(harness: &mut Harness, state: LeafState) {
    harness.reconfigure(|catalog| change(catalog, Change::SetLeafState { leaf: DRAINED, state }));
}

/// The leaf reports with a reply whether it is draining.
fn mark(harness: &mut Harness, draining: bool) {
    loop {
        let sending = sends(&harness.submit(true))[0];
        if sending.leaf == DRAINED {
            harness.complete_marked(sending, result(sending.snapshot), Some(draining));
            return;
        }
    }
}

#[rstest]
#[case::leaf(Source::Leaf)]
#[case::operator(Source::Operator)]
#[case::platform(Source::Platform)]
fn each_source_alone_stops_new_work(#[case] source: Source) {
    let mut harness = Harness::new(&[&[0, 1]]);
    drain(&mut harness, source);
    assert!(!asked(&mut harness, 30).contains(&DRAINED));
}

#[rstest]
#[case::leaf(Source::Leaf)]
#[case::operator(Source::Operator)]
#[case::platform(Source::Platform)]
fn a_leaving_leaf_gets_no_work_even_when_it_is_the_last(#[case] source: Source) {
    let mut harness = Harness::new(&[&[0]]);
    drain(&mut harness, source);
    assert!(asked(&mut harness, 3).is_empty());
}

#[test]
fn another_source_does_not_lift_a_mark() {
    let mut harness = Harness::new(&[&[0, 1]]);
    mark(&mut harness, true);
    harness.handle(Event::PlatformLeaving(vec![DRAINED]));
    harness.handle(Event::PlatformLeaving(Vec::new()));
    assert!(!asked(&mut harness, 30).contains(&DRAINED));
}

#[test]
fn a_reply_to_an_older_request_does_not_lift_a_mark() {
    let mut harness = Harness::new(&[&[0]]);
    let older = sends(&harness.submit(true))[0];
    harness.wait(millis(1));
    mark(&mut harness, true);
    harness.wait(millis(1));
    harness.complete_marked(older, result(older.snapshot), Some(false));
    assert!(asked(&mut harness, 1).is_empty());
}

#[test]
fn a_late_reply_still_tells_that_the_leaf_is_leaving() {
    let mut harness = Harness::new(&[&[0]]);
    let sending = sends(&harness.submit(true))[0];
    harness.wait(millis(1000));
    harness.complete_marked(sending, result(sending.snapshot), Some(true));
    assert!(asked(&mut harness, 3).is_empty());
}

#[test]
fn a_new_catalog_entry_lifts_a_mark() {
    let mut harness = Harness::new(&[&[0, 1]]);
    mark(&mut harness, true);
    set_state(&mut harness, LeafState::Draining);
    set_state(&mut harness, LeafState::Active);
    harness.wait(millis(10_000));
    assert!(asked(&mut harness, 30).contains(&DRAINED));
}

/// Runs queries until `leaf` has failed `count` times in a row.
fn fail_in_a_row(harness: &mut Harness, leaf: LeafId, count: usize) {
    let mut failures = 0;
    while failures < count {
        for sending in sends(&harness.submit(true)) {
            if sending.leaf == leaf {
                harness.fail(sending, LeafFailure::Broken);
                failures += 1;
            } else {
                harness.answer(sending);
            }
        }
    }
}

#[rstest]
#[case::fewer(4, true)]
#[case::enough(5, false)]
fn failures_in_a_row_leave_a_replica_out(#[case] failures: usize, #[case] asked_still: bool) {
    let mut harness = Harness::new(&[&[0, 1, 2]]);
    fail_in_a_row(&mut harness, DRAINED, failures);
    assert_eq!(asked(&mut harness, 60).contains(&DRAINED), asked_still);
}

#[test]
fn refusals_count_as_load_and_eject_no_replica() {
    let mut harness = Harness::new(&[&[0, 1]]);
    for _ in 0..30 {
        let sending = sends(&harness.submit(false))[0];
        harness.refuse(sending, NotRunReason::Shedding);
    }
    let leaves = asked(&mut harness, 30);
    assert!(leaves.contains(&LeafId(0)) && leaves.contains(&LeafId(1)));
}

#[test]
fn a_replica_that_sheds_gets_less() {
    let mut harness = Harness::new(&[&[0, 1, 2]]);
    let mut requests = [0; 3];
    for _ in 0..200 {
        for sending in sends(&harness.submit(true)) {
            requests[sending.leaf.0 as usize] += 1;
            harness.wait(millis(1));
            if sending.leaf == DRAINED {
                harness.refuse(sending, NotRunReason::Shedding);
            } else {
                harness.answer(sending);
            }
        }
    }
    assert!(requests[0] < 30, "the shedding replica got {requests:?}");
}

#[test]
fn a_returned_replica_is_on_probation_and_left_out_longer_each_time() {
    let mut harness = Harness::new(&[&[0, 1]]);
    fail_in_a_row(&mut harness, DRAINED, 5);
    harness.wait(millis(1001));
    fail_in_a_row(&mut harness, DRAINED, 1);
    harness.wait(millis(1500));
    assert!(!asked(&mut harness, 30).contains(&DRAINED), "the second time lasts two seconds");
    harness.wait(millis(600));
    assert!(asked(&mut harness, 200).contains(&DRAINED));
}

#[test]
fn at_most_half_of_the_replicas_are_left_out() {
    let mut harness = Harness::new(&[&[0, 1, 2, 3]]);
    for id in 0..4 {
        let mut failures = 0;
        for _ in 0..2000 {
            let sending = sends(&harness.submit(true))[0];
            if sending.leaf == LeafId(id) {
                harness.fail(sending, LeafFailure::Broken);
                failures += 1;
            } else {
                harness.answer(sending);
            }
            if failures > 8 {
                break;
            }
        }
    }
    let mut leaves = asked(&mut harness, 200);
    leaves.sort_unstable();
    leaves.dedup();
    assert_eq!(leaves.len(), 2);
}

#[test]
fn a_replica_far_slower_than_its_peers_is_left_out() {
    let mut harness = Harness::new(&[&[0, 1, 2, 3]]);
    // Overlapping queries keep every replica in use, including the slow one.
    for _ in 0..100 {
        let batch: Vec<_> = (0..16).flat_map(|_| sends(&harness.submit(false))).collect();
        harness.wait(millis(2));
        for sending in batch.iter().filter(|sending| sending.leaf != DRAINED) {
            harness.answer(*sending);
        }
        harness.wait(millis(38));
        for sending in batch.iter().filter(|sending| sending.leaf == DRAINED) {
            harness.answer(*sending);
        }
    }
    let before = harness.now;
    let asked_of_slow = asked(&mut harness, 12).contains(&DRAINED);
    assert!(!asked_of_slow, "still asked at {before:?}");
}

#[test]
fn a_replica_that_never_answers_is_left_out_although_hedges_win() {
    let mut harness = Harness::new(&[&[0, 1, 2, 3]]);
    harness.run_queries(60, 4, |_| millis(2));
    let requests = harness.run_queries(400, 4, |leaf| millis(if leaf.0 == 0 { 800 } else { 2 }));
    assert!(requests[0] < 25, "the silent replica got {requests:?}");
}

#[test]
fn a_replica_that_joins_later_starts_slowly() {
    let mut harness = Harness::new(&[&[0, 1]]);
    harness.run_queries(50, 2, |_| millis(2));
    harness.reconfigure(|catalog| {
        change(catalog, Change::AddLeaf(leaf(2, placement("south", "a"))));
        assign(catalog, &[&[0, 1, 2]]);
    });
    let share = |harness: &mut Harness| {
        let mut count = 0;
        for _ in 0..60 {
            let batch: Vec<_> = (0..4).flat_map(|_| sends(&harness.submit(true))).collect();
            count += batch.iter().filter(|sending| sending.leaf == LeafId(2)).count();
            harness.wait(millis(2));
            for sending in batch {
                harness.answer(sending);
            }
        }
        count
    };
    let cold = share(&mut harness);
    harness.wait(millis(10_000));
    let warm = share(&mut harness);
    assert!(cold * 3 < warm, "cold {cold}, warm {warm}");
}

#[test]
fn the_baseline_asks_all_replicas_alike_and_never_hedges() {
    let mut harness = Harness::with_catalog(spread_catalog(), SchedulingPolicy::Baseline);
    let requests = harness.run_queries(300, 3, |leaf| millis(u64::from(leaf.0) * 9 + 1));
    assert_eq!(requests.iter().sum::<usize>(), 300);
    assert!(requests.iter().all(|count| (70..=130).contains(count)), "{requests:?}");
}

#[test]
fn reported_health_does_not_outweigh_failing_requests() {
    let mut harness = Harness::new(&[&[0, 1]]);
    // Every reply reports a healthy leaf, but the requests fail.
    for _ in 0..40 {
        let sending = sends(&harness.submit(false))[0];
        harness.wait(millis(1));
        let completion = if sending.leaf == DRAINED {
            LeafCompletion::Failed(LeafFailure::LeafError)
        } else {
            LeafCompletion::Replied(LeafReply::Result {
                snapshot: sending.snapshot,
                body: "hit".into(),
            })
        };
        harness.complete_marked(sending, completion, Some(false));
    }
    assert!(!asked(&mut harness, 30).contains(&DRAINED));
}

#[test]
fn leaves_of_an_evacuated_zone_get_no_new_work_until_it_is_restored() {
    let mut catalog = spread_catalog();
    let east = Change::AddLeaf(leaf(3, placement("south", "east")));
    change(&mut catalog, east);
    assign(&mut catalog, &[&[1, 3]]);
    let mut harness = Harness::with_catalog(catalog, SchedulingPolicy::Standard);
    let zone = ZoneName::new("b");
    harness.reconfigure(|catalog| change(catalog, Change::EvacuateZone(zone.clone())));
    assert_eq!(asked(&mut harness, 3), [LeafId(3); 3]);
    harness.reconfigure(|catalog| change(catalog, Change::EvacuateZone(ZoneName::new("east"))));
    let refused = harness.submit(true);
    assert!(sends(&refused).is_empty(), "no leaf is left: {refused:?}");
    harness.reconfigure(|catalog| change(catalog, Change::RestoreZone(zone.clone())));
    assert_eq!(asked(&mut harness, 3), [LeafId(1); 3]);
}
