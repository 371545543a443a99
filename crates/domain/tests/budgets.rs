//! Budgets and charges: an answered request is charged once, with the price of its class.

mod support;

use std::time::Duration;

use gingerkeel_domain::admission::RefusalReason;
use gingerkeel_domain::budget::{BudgetError, Budgets};
use gingerkeel_domain::catalog::{AnswerPolicy, CallerAccount, Catalog, Change};
use gingerkeel_domain::cluster::{ChargeCounter, ChargeKey, Charges, WallTime};
use gingerkeel_domain::dispatch::{Effect, Event, SchedulingPolicy};
use gingerkeel_domain::identifiers::{BrokerName, BrokerRun, CallerName, ClassName};
use gingerkeel_domain::metering::ChargeCounters;
use gingerkeel_domain::query::{LeafFailure, NotRunReason, OutgoingRequest, QueryOutcome};
use gingerkeel_domain::time::Timestamp;
use rstest::rstest;
use support::*;

const START: Timestamp = Timestamp::from_micros(5_000_000);
/// Price of the class in the test catalog.
const PRICE: u64 = 3;

fn budgets(budget_per_second: u64, burst: u64) -> Budgets {
    let mut budgets = Budgets::default();
    let account = CallerAccount { budget_per_second, burst };
    budgets.reconfigure(START, &[(caller(), account)].into());
    budgets
}

#[test]
fn a_full_bucket_holds_the_burst_and_fills_at_the_rate() {
    let mut budgets = budgets(10, 20);
    assert_eq!(budgets.pay(START, &caller(), 20), Ok(()));
    assert_eq!(budgets.pay(START, &caller(), 5), Err(BudgetError::BudgetSpent(millis(500))));
    assert_eq!(
        budgets.pay(START.after(millis(499)), &caller(), 5),
        Err(BudgetError::BudgetSpent(millis(1)))
    );
    assert_eq!(budgets.pay(START.after(millis(500)), &caller(), 5), Ok(()));
    let long_after = START.after(Duration::from_secs(3600));
    assert_eq!(budgets.pay(long_after, &caller(), 20), Ok(()));
    assert!(budgets.pay(long_after, &caller(), 1).is_err(), "the level is capped at the burst");
}

#[test]
fn small_gains_are_not_rounded_away() {
    let mut budgets = budgets(1, 1);
    assert_eq!(budgets.pay(START, &caller(), 1), Ok(()));
    for micro in 1..1_000_000 {
        let now = START.after(Duration::from_micros(micro));
        assert!(budgets.pay(now, &caller(), 1).is_err());
    }
    assert_eq!(budgets.pay(START.after(millis(1000)), &caller(), 1), Ok(()));
}

#[test]
fn a_refund_can_be_spent_but_does_not_exceed_the_burst() {
    let mut budgets = budgets(0, 4);
    assert_eq!(budgets.pay(START, &caller(), 4), Ok(()));
    budgets.refund(START, &caller(), 4);
    budgets.refund(START, &caller(), 4);
    assert_eq!(budgets.pay(START, &caller(), 4), Ok(()));
    assert!(budgets.pay(START, &caller(), 1).is_err());
}

#[test]
fn a_changed_account_keeps_what_was_spent() {
    let mut budgets = budgets(0, 10);
    assert_eq!(budgets.pay(START, &caller(), 8), Ok(()));
    let account = CallerAccount { budget_per_second: 0, burst: 100 };
    budgets.reconfigure(START, &[(caller(), account)].into());
    assert!(budgets.pay(START, &caller(), 3).is_err());
    assert_eq!(budgets.pay(START, &CallerName::new("other"), 0), Err(BudgetError::UnknownCaller));
}

/// A dispatcher whose caller can pay for two queries and whose budget is not refilled.
fn with_small_budget() -> Harness {
    let mut harness = Harness::new(&[&[0, 1]]);
    let account = CallerAccount { budget_per_second: 0, burst: 2 * PRICE };
    harness.reconfigure(|catalog| {
        // Reconfiguration caps the level of the bucket at the smaller burst.
        change(catalog, Change::DefineCaller { caller: caller(), account });
    });
    harness
}

fn reason(effects: &[Effect]) -> Option<RefusalReason> {
    match outcome(effects) {
        Some(QueryOutcome::NotRun { reason, .. }) => Some(reason),
        _ => None,
    }
}

fn key() -> ChargeKey {
    ChargeKey { caller: caller(), service: service(), class: ClassName::new("urgent") }
}

fn charged(harness: &Harness) -> ChargeCounter {
    harness.dispatcher.charges().counter(&key())
}

#[test]
fn a_caller_whose_budget_is_spent_is_refused_before_anything_is_sent() {
    let mut harness = with_small_budget();
    for _ in 0..2 {
        let sending = sends(&harness.submit(true))[0];
        answered(&harness.answer(sending));
    }
    let effects = harness.submit(true);
    assert_eq!(reason(&effects), Some(RefusalReason::BudgetSpent));
    assert_eq!(sends(&effects), []);
    assert_eq!(charged(&harness), ChargeCounter { answered: 2, units: 2 * PRICE });
}

#[test]
fn a_caller_without_an_account_gets_neither_a_key_nor_an_answer() {
    let mut harness = with_small_budget();
    let stranger = CallerName::new("stranger");
    let refusal = harness.dispatcher.issue_key(harness.now, stranger).unwrap_err();
    assert_eq!(refusal.reason, RefusalReason::UnknownCaller);
    let mut harness = Harness::with_catalog(catalog_without_callers(), SchedulingPolicy::Standard);
    let effects = harness.submit(true);
    assert_eq!(reason(&effects), Some(RefusalReason::UnknownCaller));
    assert_eq!(sends(&effects), []);
}

/// Catalog of the other tests without the account.
fn catalog_without_callers() -> Catalog {
    let mut catalog = Catalog::default();
    change(&mut catalog, Change::AddLeaf(leaf(0, placement("south", "a"))));
    change(&mut catalog, Change::DefineService { service: service(), concurrency: 100 });
    let policy = class("urgent", AnswerPolicy::Full);
    change(&mut catalog, Change::DefineClass { service: service(), policy });
    repartition(&mut catalog, &[&[0]]);
    publish(&mut catalog, 1);
    catalog
}

/// Ends a query without an answer.
type Ending = fn(&mut Harness, OutgoingRequest);

#[rstest]
#[case::refused_by_leaves(|harness: &mut Harness, first: OutgoingRequest| {
    let again = sends(&harness.refuse(first, NotRunReason::Draining));
    for sending in again {
        harness.refuse(sending, NotRunReason::Draining);
    }
})]
#[case::outcome_unknown(|harness: &mut Harness, first: OutgoingRequest| {
    let again = sends(&harness.fail(first, LeafFailure::Broken));
    for sending in again {
        let more = sends(&harness.fail(sending, LeafFailure::Broken));
        for sending in more {
            harness.fail(sending, LeafFailure::Broken);
        }
    }
})]
#[case::caller_gone(|harness: &mut Harness, first: OutgoingRequest| {
    harness.handle(Event::CallerGone(first.request.query));
})]
#[case::deadline(|harness: &mut Harness, _first: OutgoingRequest| {
    harness.wait(millis(2000));
})]
fn a_query_without_an_answer_is_refunded_and_not_charged(#[case] ending: Ending) {
    let mut harness = with_small_budget();
    for _ in 0..5 {
        let sending = sends(&harness.submit(true))[0];
        ending(&mut harness, sending);
        assert_eq!(harness.dispatcher.active(), 0);
    }
    assert_eq!(charged(&harness), ChargeCounter::default());
}

#[test]
fn a_query_that_is_refused_in_the_queue_is_refunded() {
    let mut harness = with_small_budget();
    harness.reconfigure(|catalog| {
        let service = service();
        change(catalog, Change::DefineService { service, concurrency: 1 });
    });
    let key = harness.dispatcher.issue_key(harness.now, caller()).expect("the table has room");
    let (_, effects) = harness.submit_keyed(caller(), &key, 1, millis(60_000));
    assert_eq!(sends(&effects).len(), 1, "the only slot stays taken");
    for _ in 0..5 {
        assert_eq!(outcome(&harness.submit(true)), None);
        let effects = harness.wait(millis(1000));
        assert_eq!(reason(&effects), Some(RefusalReason::DeadlineTooClose));
    }
}

#[test]
fn an_outcome_that_is_unknown_names_no_charge() {
    let mut harness = with_small_budget();
    let sending = sends(&harness.submit(false))[0];
    let effects = harness.fail(sending, LeafFailure::Broken);
    let Some(QueryOutcome::Unknown { known, .. }) = outcome(&effects) else {
        panic!("{effects:?}");
    };
    assert_eq!(known.price, 0);
}

#[test]
fn duplicate_late_and_restarted_reports_count_once() {
    let broker = BrokerName::new("broker");
    let mut counters = ChargeCounters::default();
    counters.charge(key(), 3);
    let early = counters.report(broker.clone(), BrokerRun(1), 0);
    counters.charge(key(), 5);
    let late = counters.report(broker.clone(), BrokerRun(1), 1);
    let mut restarted = ChargeCounters::default();
    restarted.charge(key(), 3);
    let next_run = restarted.report(broker, BrokerRun(2), 0);
    let mut charges = Charges::default();
    for report in [&late, &early, &late, &next_run, &early, &next_run] {
        charges.record(WallTime::default(), report);
    }
    assert_eq!(charges.totals()[&key()], ChargeCounter { answered: 3, units: 11 });
}
