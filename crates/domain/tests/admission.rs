//! Admission: priorities, queues, eviction, deadlines, retry delays, the overload threshold.

mod support;

use std::time::Duration;

use gingerkeel_domain::admission::{
    ADMIT_ALL, Admission, ClassLimit, Decision, DrainRate, FastestRun, RefusalReason, SlotRelease,
    Ticket,
};
use gingerkeel_domain::catalog::{AnswerPolicy, Change, ClassPolicy};
use gingerkeel_domain::dispatch::{Effect, Event};
use gingerkeel_domain::identifiers::QueryId;
use gingerkeel_domain::query::{QueryOutcome, Submission};
use gingerkeel_domain::time::Timestamp;
use rstest::rstest;
use support::*;

const START: Timestamp = Timestamp::from_micros(10_000_000);

/// Three classes with a queue limit of two each, which is also the limit of all queues together.
fn admission(concurrency: u32) -> Admission {
    let limit = |priority| ClassLimit { priority, queue_limit: 2 };
    Admission::new(concurrency, (0..3).map(limit))
}

fn ticket(query: u64, priority: u8) -> Ticket {
    Ticket { query: QueryId(query), priority, deadline: START.after(millis(1000)) }
}

fn offer(admission: &mut Admission, ticket: Ticket) -> Vec<Decision> {
    let mut decisions = Vec::new();
    admission.offer(START, ticket, &mut decisions);
    decisions
}

fn finish(
    admission: &mut Admission,
    now: Timestamp,
    priority: u8,
    held: Duration,
) -> Vec<Decision> {
    let mut decisions = Vec::new();
    admission.finished(now, SlotRelease { priority, held, answered: true }, &mut decisions);
    decisions
}

fn started(decisions: &[Decision]) -> Vec<u64> {
    let started = |decision: &Decision| match decision {
        Decision::Start(query) => Some(query.0),
        Decision::Refuse { .. } => None,
    };
    decisions.iter().filter_map(started).collect()
}

fn refused(decisions: &[Decision]) -> Vec<(u64, RefusalReason)> {
    let refused = |decision: &Decision| match decision {
        Decision::Start(_) => None,
        Decision::Refuse { query, reason, .. } => Some((query.0, *reason)),
    };
    decisions.iter().filter_map(refused).collect()
}

fn refusal_delay(decisions: &[Decision]) -> Duration {
    match decisions {
        [Decision::Refuse { retry_after, .. }] => *retry_after,
        other => panic!("not one refusal: {other:?}"),
    }
}

#[test]
fn waiting_queries_start_by_class_and_in_order_within_a_class() {
    let limit = |priority| ClassLimit { priority, queue_limit: 10 };
    let mut admission = Admission::new(1, (0..3).map(limit));
    offer(&mut admission, ticket(0, 2));
    for (query, priority) in [(1, 2), (2, 1), (3, 0), (4, 1), (5, 0)] {
        assert_eq!(offer(&mut admission, ticket(query, priority)), []);
    }
    let mut order = Vec::new();
    for _ in 0..5 {
        order.extend(started(&finish(&mut admission, START, 0, millis(1))));
    }
    assert_eq!(order, [3, 5, 2, 4, 1]);
}

/// Priorities of the queued queries, priority of the offered one, expected refusals.
#[rstest]
#[case::room_left(&[1], 1, &[])]
#[case::highest_evicts_the_lowest(&[1, 2], 0, &[(2, RefusalReason::Evicted)])]
#[case::the_newest_is_evicted(&[2, 2], 1, &[(2, RefusalReason::Evicted)])]
#[case::the_lowest_is_evicted_though_older(&[2, 1], 0, &[(1, RefusalReason::Evicted)])]
#[case::equals_do_not_evict(&[0, 1], 1, &[(9, RefusalReason::QueueFull)])]
#[case::lower_does_not_evict(&[0, 1], 2, &[(9, RefusalReason::QueueFull)])]
#[case::own_queue_full(&[1, 1], 1, &[(9, RefusalReason::QueueFull)])]
fn a_full_queue_evicts_for_higher_classes_only(
    #[case] waiting: &[u8],
    #[case] offered: u8,
    #[case] expected: &[(u64, RefusalReason)],
) {
    let mut admission = admission(1);
    offer(&mut admission, ticket(0, 0));
    for (index, priority) in waiting.iter().enumerate() {
        assert_eq!(offer(&mut admission, ticket(index as u64 + 1, *priority)), []);
    }
    assert_eq!(refused(&offer(&mut admission, ticket(9, offered))), expected);
}

#[test]
fn each_queue_is_bounded_though_a_longer_one_has_room() {
    let limits =
        [(0, 2), (1, 10)].map(|(priority, queue_limit)| ClassLimit { priority, queue_limit });
    let mut admission = Admission::new(1, limits);
    for query in 0..3 {
        offer(&mut admission, ticket(query, 0));
    }
    assert_eq!(refused(&offer(&mut admission, ticket(3, 0))), [(3, RefusalReason::QueueFull)]);
}

/// Time left, shortest run time of the class and slot time of the queries ahead, all in ms;
/// whether the query may wait.
#[rstest]
#[case::enough(500, 50, 100, true)]
#[case::run_does_not_fit(40, 50, 1, false)]
#[case::wait_does_not_fit(500, 50, 600, false)]
#[case::passed(0, 0, 1, false)]
fn a_query_that_cannot_finish_in_time_is_refused_at_once(
    #[case] time_left: u64,
    #[case] fastest: u64,
    #[case] slot_time: u64,
    #[case] admitted: bool,
) {
    let mut admission = admission(1);
    offer(&mut admission, ticket(0, 1));
    finish(&mut admission, START, 1, millis(fastest));
    for _ in 0..100 {
        offer(&mut admission, ticket(0, 0));
        finish(&mut admission, START, 0, millis(slot_time));
    }
    offer(&mut admission, ticket(1, 0));
    offer(&mut admission, ticket(2, 0));
    let late = Ticket { deadline: START.after(millis(time_left)), ..ticket(3, 1) };
    let expected: &[_] = if admitted { &[] } else { &[(3, RefusalReason::DeadlineTooClose)] };
    assert_eq!(refused(&offer(&mut admission, late)), expected);
}

#[test]
fn a_deadline_shorter_than_any_run_is_refused_though_a_slot_is_free() {
    let mut admission = admission(2);
    offer(&mut admission, ticket(0, 0));
    finish(&mut admission, START, 0, millis(50));
    let short = Ticket { deadline: START.after(millis(40)), ..ticket(1, 0) };
    assert_eq!(refused(&offer(&mut admission, short)), [(1, RefusalReason::DeadlineTooClose)]);
    let other_class = Ticket { priority: 1, ..short };
    assert_eq!(started(&offer(&mut admission, other_class)), [1]);
}

#[test]
fn a_query_whose_time_ran_out_in_the_queue_is_not_started() {
    let mut admission = admission(1);
    offer(&mut admission, ticket(0, 0));
    offer(&mut admission, ticket(1, 0));
    offer(&mut admission, ticket(2, 0));
    let decisions = finish(&mut admission, START.after(millis(960)), 0, millis(50));
    let expected = [1, 2].map(|query| (query, RefusalReason::DeadlineTooClose));
    assert_eq!(refused(&decisions), expected);
    assert_eq!(started(&decisions), []);
}

#[test]
fn the_shortest_run_time_expires_so_that_a_refused_class_is_tried_again() {
    let mut fastest = FastestRun::default();
    fastest.record(START, millis(50));
    fastest.record(START, millis(20));
    fastest.record(START, millis(80));
    assert_eq!(fastest.get(START.after(millis(900))), millis(20));
    fastest.record(START.after(millis(1100)), millis(60));
    assert_eq!(fastest.get(START.after(millis(1200))), millis(20));
    fastest.record(START.after(millis(2200)), millis(70));
    assert_eq!(fastest.get(START.after(millis(2300))), millis(60));
    assert_eq!(fastest.get(START.after(millis(4300))), Duration::ZERO);
}

#[test]
fn retry_after_follows_slot_time_slots_and_queue_length() {
    let mut rate = DrainRate::default();
    for _ in 0..100 {
        rate.record(millis(200));
    }
    let near = |span: Duration, expected: u64| {
        assert!(span.abs_diff(millis(expected)) < millis(1), "{span:?} for {expected} ms");
    };
    near(rate.retry_after(10, 1), 2000);
    near(rate.retry_after(10, 4), 500);
    near(rate.retry_after(1, 4), 50);
}

#[test]
fn retry_after_does_not_change_over_an_idle_hour() {
    let mut admission = admission(1);
    for hour in 0..3u64 {
        let now = START.after(Duration::from_secs(3600 * hour));
        let mut decisions = Vec::new();
        let deadline = now.after(millis(1000));
        admission.offer(now, Ticket { deadline, ..ticket(hour, 0) }, &mut decisions);
        finish(&mut admission, now.after(millis(100)), 0, millis(100));
    }
    assert_eq!(admission.retry_after(0), millis(100));
}

#[test]
fn retry_after_counts_only_queries_served_before() {
    let limit = |priority| ClassLimit { priority, queue_limit: 9 };
    let mut admission = Admission::new(1, (0..3).map(limit));
    offer(&mut admission, ticket(0, 0));
    finish(&mut admission, START, 0, millis(100));
    offer(&mut admission, ticket(1, 0));
    for query in 2..8 {
        offer(&mut admission, ticket(query, 1));
    }
    assert_eq!(admission.retry_after(0), millis(100));
    assert_eq!(admission.retry_after(1), millis(700));
    assert_eq!(admission.retry_after(2), millis(700));
}

#[test]
fn a_threshold_refuses_lower_classes_and_their_queued_queries() {
    let mut admission = admission(1);
    offer(&mut admission, ticket(0, 0));
    offer(&mut admission, ticket(1, 1));
    offer(&mut admission, ticket(2, 2));
    let mut decisions = Vec::new();
    admission.set_threshold(1, &mut decisions);
    assert_eq!(refused(&decisions), [(2, RefusalReason::Overloaded)]);
    let decisions = offer(&mut admission, ticket(3, 2));
    assert_eq!(refused(&decisions), [(3, RefusalReason::Overloaded)]);
    assert!(refusal_delay(&decisions) >= Duration::from_secs(1));
    assert_eq!(offer(&mut admission, ticket(4, 1)), []);
    let mut decisions = Vec::new();
    admission.set_threshold(ADMIT_ALL, &mut decisions);
    assert_eq!(decisions, []);
}

#[test]
fn queued_queries_of_a_removed_class_are_refused() {
    let mut admission = admission(1);
    offer(&mut admission, ticket(0, 0));
    offer(&mut admission, ticket(1, 1));
    offer(&mut admission, ticket(2, 2));
    let mut decisions = Vec::new();
    let limits = [0, 1].map(|priority| ClassLimit { priority, queue_limit: 5 });
    admission.reconfigure(START, 1, limits, &mut decisions);
    assert_eq!(refused(&decisions), [(2, RefusalReason::NotServed)]);
    assert_eq!(admission.waiting(), 1);
}

#[test]
fn the_report_counts_what_was_offered_and_refused() {
    let mut admission = admission(1);
    for query in 0..4 {
        offer(&mut admission, ticket(query, 1));
    }
    let report = admission.report(service());
    assert!(report.is_saturated());
    let class = report.classes[1];
    assert_eq!((class.offered, class.refused, class.waiting), (4, 1, 2));
    assert_eq!((report.running, report.concurrency, report.lowest_admitted), (1, 1, ADMIT_ALL));
    finish(&mut admission, START, 1, millis(1));
    finish(&mut admission, START, 1, millis(1));
    assert!(!admission.report(service()).is_saturated());
}

/// A dispatcher with the given number of slots.
fn with_concurrency(concurrency: u32) -> Harness {
    let mut harness = Harness::new(&[&[0, 1]]);
    harness.reconfigure(|catalog| {
        change(catalog, Change::DefineService { service: service(), concurrency });
    });
    harness
}

fn reason(effects: &[Effect]) -> Option<RefusalReason> {
    match outcome(effects) {
        Some(QueryOutcome::NotRun { reason, .. }) => Some(reason),
        _ => None,
    }
}

#[test]
fn a_waiting_query_is_refused_at_its_deadline_though_nothing_finishes() {
    let mut harness = with_concurrency(1);
    let running = harness.submission(true);
    let deadline = running.deadline.after(millis(10_000));
    let effects = harness.handle(Event::Submitted(Submission { deadline, ..running }));
    assert_eq!(sends(&effects).len(), 1);
    assert_eq!(harness.submit(true), []);
    assert_eq!(harness.wait(millis(999)), []);
    assert_eq!(reason(&harness.wait(millis(1))), Some(RefusalReason::DeadlineTooClose));
    assert_eq!(harness.dispatcher.active(), 1, "the running query goes on");
}

#[test]
fn a_threshold_reaches_the_queue_of_its_service() {
    let mut harness = with_concurrency(1);
    harness.submit(true);
    assert_eq!(outcome(&harness.submit(true)), None);
    let event = Event::ThresholdChanged { service: service(), lowest_admitted: 0 };
    assert_eq!(harness.handle(event), [], "the only class is the highest");
    harness.reconfigure(|catalog| {
        let policy = ClassPolicy { priority: 3, ..class("urgent", AnswerPolicy::Full) };
        change(catalog, Change::DefineClass { service: service(), policy });
    });
    let effects = harness.submit(true);
    assert_eq!(reason(&effects), Some(RefusalReason::Overloaded));
    assert_eq!(harness.dispatcher.overload()[0].lowest_admitted, 0);
}
