//! A broker starts queries only while it may rely on its catalog and operators want it to.

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
fn nothing_is_started_before_the_first_lease() {
    let mut harness = Harness::new(&[&[0]]);
    harness.handle(Event::FreshUntil(Timestamp::ZERO));
    let effects = harness.submit(true);
    assert_eq!(refusal(outcome(&effects)), Some(RefusalReason::ConfigurationStale));
    assert!(sends(&effects).is_empty());
}

#[test]
fn nothing_is_started_from_the_end_of_the_lease_on_and_what_runs_goes_on() {
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
fn query_that_waited_does_not_start_after_the_lease() {
    let mut harness = Harness::new(&[&[0]]);
    harness.reconfigure(|catalog| {
        change(catalog, Change::DefineService { service: service(), concurrency: 1 });
    });
    harness.handle(Event::FreshUntil(harness.now.after(millis(100))));
    let running = sends(&harness.submit(true));
    assert_eq!(harness.submit(true), [], "the second one waits");
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
