//! A broker starts queries only while its freshness lease holds and it is not drained.

mod support;

use gingerkeel_domain::admission::RefusalReason;
use gingerkeel_domain::catalog::{Change, MemberState};
use gingerkeel_domain::dispatch::Event;
use gingerkeel_domain::identifiers::BrokerName;
use gingerkeel_domain::query::QueryOutcome;
use gingerkeel_domain::time::Timestamp;
use support::{Harness, answered, change, millis, outcome, sends, service};

fn refusal(outcome: Option<QueryOutcome>) -> Option<RefusalReason> {
    match outcome {
        Some(QueryOutcome::NotRun { reason, .. }) => Some(reason),
        _ => None,
    }
}

#[test]
fn no_query_starts_without_a_valid_lease() {
    let mut harness = Harness::new(&[&[0]]);
    harness.handle(Event::FreshUntil(Timestamp::ZERO));
    let effects = harness.submit(true);
    assert_eq!(refusal(outcome(&effects)), Some(RefusalReason::ConfigurationStale));
    assert!(sends(&effects).is_empty());
}

#[test]
fn no_query_starts_after_the_lease_and_running_queries_go_on() {
    let mut harness = Harness::new(&[&[0]]);
    let until = harness.now.after(millis(100));
    harness.handle(Event::FreshUntil(until));
    let running = sends(&harness.submit(true));
    assert_eq!(running.len(), 1);
    harness.wait(millis(100));
    let refused = harness.submit(true);
    assert_eq!(refusal(outcome(&refused)), Some(RefusalReason::ConfigurationStale));
    answered(&harness.answer(running[0]));
    harness.handle(Event::FreshUntil(harness.now.after(millis(100))));
    assert_eq!(sends(&harness.submit(true)).len(), 1);
}

#[test]
fn queued_query_does_not_start_after_the_lease() {
    let mut harness = Harness::new(&[&[0]]);
    harness.reconfigure(|catalog| {
        change(catalog, Change::DefineService { service: service(), concurrency: 1 });
    });
    harness.handle(Event::FreshUntil(harness.now.after(millis(100))));
    let running = sends(&harness.submit(true));
    assert_eq!(harness.submit(true), [], "the second query waits");
    harness.wait(millis(100));
    let effects = harness.answer(running[0]);
    let outcomes: Vec<_> =
        effects.iter().filter_map(|effect| outcome(std::slice::from_ref(effect))).collect();
    let [QueryOutcome::Answered(_), refused] = outcomes.as_slice() else {
        panic!("{effects:?}");
    };
    assert_eq!(refusal(Some(refused.clone())), Some(RefusalReason::ConfigurationStale));
    assert!(sends(&effects).is_empty());
}

#[test]
fn drained_broker_starts_nothing_until_it_is_resumed() {
    let mut harness = Harness::new(&[&[0]]);
    let set = |state| Change::SetBrokerState { broker: BrokerName::new("broker"), state };
    harness.reconfigure(|catalog| change(catalog, set(MemberState::Draining)));
    assert_eq!(refusal(outcome(&harness.submit(true))), Some(RefusalReason::Stopping));
    harness.reconfigure(|catalog| change(catalog, set(MemberState::Active)));
    assert_eq!(sends(&harness.submit(true)).len(), 1);
}
