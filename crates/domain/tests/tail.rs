//! Hedges, retries, attempt limits and budgets.

mod support;

use gingerkeel_domain::dispatch::{Effect, Event};
use gingerkeel_domain::identifiers::LeafId;
use gingerkeel_domain::query::{
    LeafFailure, MissingReason, NotRunReason, OutgoingRequest, QueryOutcome,
};
use gingerkeel_domain::tail::{LatencyWindow, SendBudget, SlidingBudget};
use gingerkeel_domain::time::Timestamp;
use proptest::prelude::*;
use rstest::rstest;
use support::*;

/// A fleet of one shard with four replicas whose p95 was recorded as about 5 ms.
fn with_latency_samples() -> Harness {
    let mut harness = Harness::new(&[&[0, 1, 2, 3]]);
    harness.run_queries(120, 4, |_| millis(5));
    harness
}

#[test]
fn a_late_request_is_hedged_to_another_replica_and_the_loser_cancelled() {
    let mut harness = with_latency_samples();
    let primary = sends(&harness.submit(true))[0];
    assert!(sends(&harness.wait(millis(4))).is_empty(), "not late yet");
    let hedge = sends(&harness.wait(millis(3)));
    assert_eq!(hedge.len(), 1);
    assert_ne!(hedge[0].leaf, primary.leaf);
    let effects = harness.answer(hedge[0]);
    assert_eq!(answered(&effects).coverage(), 1.0);
    assert_eq!(cancels(&effects), [primary.leaf]);
}

#[test]
fn a_loser_is_cancelled_while_other_shards_are_still_in_flight() {
    let mut harness = Harness::new(&[&[0, 1], &[2, 3]]);
    harness.run_queries(120, 4, |_| millis(5));
    let primaries = sends(&harness.submit(true));
    let hedges = sends(&harness.wait(millis(7)));
    let effects = harness.answer(hedges[0]);
    assert_eq!(cancels(&effects), [primaries[0].leaf]);
    assert_eq!(outcome(&effects), None);
}

#[test]
fn one_hedge_per_shard() {
    let mut harness = with_latency_samples();
    harness.submit(true);
    assert_eq!(sends(&harness.wait(millis(500))).len(), 1);
}

#[test]
fn a_request_that_is_not_repeatable_is_never_hedged() {
    let mut harness = with_latency_samples();
    harness.submit(false);
    assert!(sends(&harness.wait(millis(999))).is_empty());
}

#[test]
fn nothing_is_hedged_before_latency_was_recorded() {
    let mut harness = Harness::new(&[&[0, 1]]);
    harness.submit(true);
    assert!(sends(&harness.wait(millis(999))).is_empty());
}

#[test]
fn hedges_stay_within_their_share_of_primary_sends() {
    let mut harness = with_latency_samples();
    // Primary sends of the queries that recorded the latency.
    let (mut primaries, mut hedges) = (120, 0);
    for _ in 0..4000 {
        // Keeps samples in the latency window, because late requests record none.
        harness.run_queries(1, 4, |_| millis(5));
        let primary = sends(&harness.submit(true));
        primaries += 1 + primary.len();
        let hedge = sends(&harness.wait(millis(6)));
        hedges += hedge.len();
        match hedge.first() {
            Some(hedge) => harness.answer(*hedge),
            None => harness.handle(Event::CallerGone(primary[0].request.query)),
        };
        assert!(hedges <= primaries / 20, "{hedges} hedges for {primaries} primary sends");
    }
    assert!(hedges > 300, "{hedges} hedges for {primaries} primary sends");
}

#[test]
fn while_leaves_shed_there_are_neither_hedges_nor_retries() {
    let mut harness = with_latency_samples();
    let mut retries = 0;
    for _ in 0..100 {
        let mut open = sends(&harness.submit(true));
        while let Some(sending) = open.pop() {
            let more = sends(&harness.refuse(sending, NotRunReason::Shedding));
            retries += more.len();
            open.extend(more);
        }
    }
    assert!(retries < 20, "{retries} retries");
    harness.submit(true);
    assert!(sends(&harness.wait(millis(500))).is_empty());
}

/// Fails every attempt of one query; returns the numbers of first sends and of retries.
fn fail_query(harness: &mut Harness) -> (usize, usize) {
    let mut open = sends(&harness.submit(true));
    let (first, mut retries) = (open.len(), 0);
    while let Some(sending) = open.pop() {
        let more = sends(&harness.fail(sending, LeafFailure::Broken));
        retries += more.len();
        open.extend(more);
    }
    (first, retries)
}

#[test]
fn retries_stay_within_their_share_of_primary_sends() {
    let mut harness = Harness::new(&[&[0, 1, 2, 3]]);
    let (mut primaries, mut retries) = (0, 0);
    for _ in 0..1000 {
        let (sent, sent_again) = fail_query(&mut harness);
        primaries += sent;
        retries += sent_again;
    }
    assert!(retries <= primaries / 10 + 50, "{retries} retries for {primaries} primary sends");
    assert!(retries > 100);
}

/// Guards against extra retries from a restart loop. The retry bucket is lost with the process;
/// when every start brought a full bucket of 50, a process started twenty times while all leaves
/// failed sent 400 retries for 200 queries.
#[test]
fn a_restart_loop_does_not_accumulate_retries() {
    let (mut primaries, mut retries) = (0, 0);
    for _ in 0..20 {
        let mut harness = Harness::new(&[&[0, 1, 2, 3]]);
        for _ in 0..10 {
            let (sent, sent_again) = fail_query(&mut harness);
            primaries += sent;
            retries += sent_again;
        }
    }
    assert!(retries <= primaries, "{retries} retries for {primaries} primary sends");
}

/// Fails every attempt of one query the same way; returns the attempts and the final effects.
fn fail_all(harness: &mut Harness, repeatable: bool, failure: LeafFailure) -> (usize, Vec<Effect>) {
    let mut effects = harness.submit(repeatable);
    let mut attempts = 0;
    while let Some(sending) = sends(&effects).pop() {
        attempts += 1;
        effects = harness.fail(sending, failure);
    }
    (attempts, effects)
}

#[rstest]
#[case::written_repeatable(true, LeafFailure::Broken, 3)]
#[case::leaf_error_repeatable(true, LeafFailure::LeafError, 3)]
#[case::written_once(false, LeafFailure::Broken, 1)]
#[case::leaf_error_once(false, LeafFailure::LeafError, 1)]
#[case::unsent_repeatable(true, LeafFailure::NotSent, 8)]
#[case::unsent_once(false, LeafFailure::NotSent, 8)]
fn attempts_are_bounded(
    #[case] repeatable: bool,
    #[case] failure: LeafFailure,
    #[case] expected: usize,
) {
    let mut harness = Harness::new(&[&[0, 1, 2, 3]]);
    assert_eq!(fail_all(&mut harness, repeatable, failure).0, expected);
}

#[rstest]
#[case::unsent(LeafFailure::NotSent, true)]
#[case::broken(LeafFailure::Broken, false)]
#[case::leaf_error(LeafFailure::LeafError, false)]
fn not_run_is_reported_only_when_nothing_was_written(
    #[case] failure: LeafFailure,
    #[case] not_run: bool,
) {
    let mut harness = Harness::new(&[&[0, 1]]);
    let (_, effects) = fail_all(&mut harness, false, failure);
    let outcome = outcome(&effects).expect("the query ended");
    assert_eq!(matches!(outcome, QueryOutcome::NotRun { .. }), not_run, "{outcome:?}");
    assert_eq!(matches!(outcome, QueryOutcome::Unknown { .. }), !not_run, "{outcome:?}");
}

#[test]
fn a_request_not_written_is_sent_to_another_replica_even_when_it_is_not_repeatable() {
    let mut harness = Harness::new(&[&[0, 1]]);
    let first = sends(&harness.submit(false))[0];
    let second = sends(&harness.fail(first, LeafFailure::NotSent))[0];
    assert_ne!(first.leaf, second.leaf);
    assert_eq!(answered(&harness.answer(second)).coverage(), 1.0);
}

#[rstest]
#[case::shedding(NotRunReason::Shedding)]
#[case::draining(NotRunReason::Draining)]
#[case::deadline(NotRunReason::DeadlinePassed)]
fn a_request_that_is_not_repeatable_is_written_to_one_replica_only(#[case] reason: NotRunReason) {
    let mut harness = Harness::new(&[&[0, 1]]);
    let first = sends(&harness.submit(false))[0];
    let effects = harness.refuse(first, reason);
    assert!(sends(&effects).is_empty());
    assert!(matches!(outcome(&effects), Some(QueryOutcome::NotRun { .. })), "{effects:?}");
}

#[test]
fn a_broken_connection_to_the_only_replica_is_retried_there() {
    let mut harness = Harness::new(&[&[7]]);
    let first = sends(&harness.submit(true))[0];
    let second = sends(&harness.fail(first, LeafFailure::Broken))[0];
    assert_eq!(second.leaf, LeafId(7));
}

#[test]
fn the_time_left_goes_with_every_request() {
    let mut harness = with_latency_samples();
    let time_left = |effects: &[Effect]| {
        effects.iter().find_map(|effect| match effect {
            Effect::Send { time_left, .. } => Some(*time_left),
            _ => None,
        })
    };
    assert_eq!(time_left(&harness.submit(true)), Some(millis(1000)));
    let hedge = harness.wait(millis(10));
    let left = time_left(&hedge).expect("a hedge was sent");
    assert!(left < millis(996) && left > millis(985), "{left:?}");
}

#[test]
fn the_deadline_cancels_everything_and_the_outcome_is_unknown() {
    let mut harness = with_latency_samples();
    let primary: OutgoingRequest = sends(&harness.submit(false))[0];
    let effects = harness.wait(millis(1000));
    assert_eq!(cancels(&effects), [primary.leaf]);
    let Some(QueryOutcome::Unknown { known, .. }) = outcome(&effects) else {
        panic!("expected an unknown outcome, got {effects:?}");
    };
    assert_eq!(known.missing[0].reason, MissingReason::Unknown);
}

#[rstest]
#[case(0.5)]
#[case(0.95)]
#[case(0.99)]
fn quantiles_are_exact_to_one_part_in_sixteen(#[case] quantile: f64) {
    let mut window = LatencyWindow::default();
    for micros in 1..=10_000 {
        window.record(Timestamp::ZERO, std::time::Duration::from_micros(micros));
    }
    let exact = quantile * 10_000.0;
    let estimate = window.quantile(quantile).expect("enough was recorded").as_micros() as f64;
    assert!((estimate - exact).abs() <= exact / 16.0 + 1.0, "{estimate} for {exact}");
}

#[test]
fn old_latencies_leave_the_window() {
    let mut window = LatencyWindow::default();
    for _ in 0..1000 {
        window.record(Timestamp::ZERO, millis(100));
    }
    for second in 6..=12 {
        for _ in 0..200 {
            window.record(Timestamp::ZERO.after(millis(second * 1000)), millis(1));
        }
    }
    assert!(window.quantile(0.99).expect("enough was recorded") < millis(2));
}

#[test]
fn a_budget_earns_its_share() {
    let mut budget = SendBudget::new(0.05, 2.0, 2.0);
    assert!(budget.take() && budget.take() && !budget.take());
    for _ in 0..21 {
        budget.earn();
    }
    assert!(budget.take() && !budget.take());
}

/// Window of the sliding budgets under test, in primary sends.
const WINDOW: usize = 40;
/// Share of the sliding budgets under test: one extra send in ten primary sends.
const ONE_IN: usize = 10;

/// Extra sends granted after each primary send when `wanted` are requested.
fn taken(wanted: &[usize]) -> Vec<usize> {
    let mut budget = SlidingBudget::new(1.0 / ONE_IN as f64, WINDOW);
    let take = |wanted: &usize| {
        budget.earn();
        (0..*wanted).filter(|_| budget.take()).count()
    };
    wanted.iter().map(take).collect()
}

proptest! {
    #[test]
    fn a_sliding_budget_holds_in_every_window_and_from_the_start(
        wanted in prop::collection::vec(0..8usize, 1..300),
    ) {
        let taken = taken(&wanted);
        for window in taken.windows(WINDOW) {
            prop_assert!(window.iter().sum::<usize>() <= WINDOW / ONE_IN, "{taken:?}");
        }
        for sends in 1..=taken.len() {
            prop_assert!(taken[..sends].iter().sum::<usize>() <= sends / ONE_IN, "{taken:?}");
        }
    }
}

#[test]
fn a_sliding_budget_is_used_up_when_wanted() {
    assert_eq!(taken(&[8; 400]).iter().sum::<usize>(), 400 / ONE_IN);
}

#[test]
fn a_sliding_budget_may_be_spent_in_one_burst() {
    let mut wanted = vec![0; 100];
    wanted[99] = 8;
    assert_eq!(taken(&wanted)[99], WINDOW / ONE_IN);
}

#[test]
fn what_is_returned_to_a_sliding_budget_can_be_taken_again() {
    let mut budget = SlidingBudget::new(0.5, 4);
    budget.give_back();
    assert!(!budget.take(), "nothing was sent");
    (0..4).for_each(|_| budget.earn());
    assert!(budget.take() && budget.take() && !budget.take());
    budget.earn();
    budget.give_back();
    assert!(budget.take() && !budget.take());
}
