//! Request keys: at-most-once execution over resends, disconnects, restarts and expiry.

mod support;

use std::time::Duration;

use bytes::Bytes;
use gingerkeel_domain::admission::RefusalReason;
use gingerkeel_domain::cluster::ChargeCounter;
use gingerkeel_domain::dispatch::{Effect, Event};
use gingerkeel_domain::identifiers::{BrokerName, BrokerRun, CallerName, QueryId, ShardId};
use gingerkeel_domain::query::{
    Answer, LeafFailure, NotRunReason, QueryOutcome, ShardPart, UnrecordedReason,
};
use gingerkeel_domain::request_key::{Claim, KeyLimits, KeyedRequest, RequestKey, RequestKeys};
use gingerkeel_domain::time::Timestamp;
use rstest::rstest;
use support::*;

const START: Timestamp = Timestamp::from_micros(5_000_000);
const LIFETIME: Duration = Duration::from_secs(10);
const DIGEST: u64 = 77;

fn outcomes(effects: &[Effect]) -> Vec<(QueryId, QueryOutcome)> {
    let answer = |effect: &Effect| match effect {
        Effect::Answer { query, outcome } => Some((*query, outcome.clone())),
        _ => None,
    };
    effects.iter().filter_map(answer).collect()
}

fn key(harness: &mut Harness) -> RequestKey {
    harness.dispatcher.issue_key(harness.now, caller()).expect("the table has room")
}

fn charged(harness: &Harness) -> ChargeCounter {
    harness.dispatcher.charges().counters().values().next().copied().unwrap_or_default()
}

#[test]
fn a_resend_waits_for_the_query_that_runs_and_is_not_charged_again() {
    let mut harness = Harness::new(&[&[0, 1]]);
    let key = key(&mut harness);
    let (first, effects) = harness.submit_keyed(caller(), &key, DIGEST, millis(1000));
    let sending = sends(&effects)[0];
    let (second, effects) = harness.submit_keyed(caller(), &key, DIGEST, millis(1000));
    assert_eq!(effects, [], "nothing runs twice");
    let ended = outcomes(&harness.answer(sending));
    assert_eq!(ended.len(), 2);
    assert!(ended.iter().all(|(_, outcome)| matches!(outcome, QueryOutcome::Answered(_))));
    assert!(ended.iter().any(|(query, _)| *query == first));
    assert!(ended.iter().any(|(query, _)| *query == second));
    assert_eq!(charged(&harness), ChargeCounter { answered: 1, units: 3 });
    assert_eq!(harness.dispatcher.active(), 0);
}

#[test]
fn a_resend_after_the_end_gets_the_recorded_answer() {
    let mut harness = Harness::new(&[&[0, 1]]);
    let key = key(&mut harness);
    let (_, effects) = harness.submit_keyed(caller(), &key, DIGEST, millis(1000));
    let answer = answered(&harness.answer(sends(&effects)[0]));
    let (_, effects) = harness.submit_keyed(caller(), &key, DIGEST, millis(1000));
    assert_eq!(answered(&effects), answer);
    assert_eq!(sends(&effects), []);
    assert_eq!(charged(&harness), ChargeCounter { answered: 1, units: 3 });
}

#[test]
fn a_resend_of_an_unknown_outcome_stays_unknown() {
    let mut harness = Harness::new(&[&[0, 1]]);
    let key = key(&mut harness);
    let (_, effects) = harness.submit_keyed(caller(), &key, DIGEST, millis(1000));
    harness.fail(sends(&effects)[0], LeafFailure::Broken);
    let (_, effects) = harness.submit_keyed(caller(), &key, DIGEST, millis(1000));
    assert!(matches!(outcome(&effects), Some(QueryOutcome::Unknown { .. })), "{effects:?}");
    assert_eq!(sends(&effects), []);
}

#[test]
fn a_request_that_was_not_run_runs_when_it_is_sent_again() {
    let mut harness = Harness::new(&[&[0]]);
    let key = key(&mut harness);
    let (_, effects) = harness.submit_keyed(caller(), &key, DIGEST, millis(1000));
    let effects = harness.refuse(sends(&effects)[0], NotRunReason::Shedding);
    assert!(matches!(outcome(&effects), Some(QueryOutcome::NotRun { .. })), "{effects:?}");
    let (_, effects) = harness.submit_keyed(caller(), &key, DIGEST, millis(1000));
    assert_eq!(sends(&effects).len(), 1);
}

#[test]
fn a_broker_that_stops_issues_no_keys() {
    let mut harness = Harness::new(&[&[0]]);
    harness.handle(Event::StopRequested);
    let refusal = harness.dispatcher.issue_key(harness.now, caller()).unwrap_err();
    assert_eq!(refusal.reason, RefusalReason::Stopping);
}

#[test]
fn a_query_refused_before_admission_leaves_the_key_unused() {
    let mut harness = Harness::new(&[&[0]]);
    let key = key(&mut harness);
    harness.handle(Event::StopRequested);
    for _ in 0..2 {
        let (_, effects) = harness.submit_keyed(caller(), &key, DIGEST, millis(1000));
        let refusal = outcome(&effects);
        assert!(
            matches!(refusal, Some(QueryOutcome::NotRun { reason: RefusalReason::Stopping, .. })),
            "{refusal:?}"
        );
    }
}

#[test]
fn a_keyed_query_goes_on_when_its_caller_disconnects() {
    let mut harness = Harness::new(&[&[0, 1]]);
    let key = key(&mut harness);
    let (first, effects) = harness.submit_keyed(caller(), &key, DIGEST, millis(1000));
    let sending = sends(&effects)[0];
    assert_eq!(harness.handle(Event::CallerGone(first)), []);
    assert!(harness.dispatcher.is_active(first));
    let (second, _) = harness.submit_keyed(caller(), &key, DIGEST, millis(1000));
    let ended = outcomes(&harness.answer(sending));
    let answered = |(query, outcome): &(QueryId, QueryOutcome)| {
        *query == second && matches!(outcome, QueryOutcome::Answered(_))
    };
    assert!(ended.iter().any(answered), "{ended:?}");
}

#[test]
fn a_resend_whose_caller_disconnects_does_not_end_the_query() {
    let mut harness = Harness::new(&[&[0, 1]]);
    let key = key(&mut harness);
    let (first, effects) = harness.submit_keyed(caller(), &key, DIGEST, millis(1000));
    let (second, _) = harness.submit_keyed(caller(), &key, DIGEST, millis(1000));
    assert_eq!(harness.handle(Event::CallerGone(second)), []);
    let ended = outcomes(&harness.answer(sends(&effects)[0]));
    assert!(matches!(ended.as_slice(), [(query, QueryOutcome::Answered(_))] if *query == first));
    assert_eq!(harness.dispatcher.active(), 0);
}

#[test]
fn a_resend_is_told_at_its_own_deadline_that_the_first_still_runs() {
    let mut harness = Harness::new(&[&[0, 1]]);
    let key = key(&mut harness);
    harness.submit_keyed(caller(), &key, DIGEST, millis(1000));
    let (second, _) = harness.submit_keyed(caller(), &key, DIGEST, millis(100));
    let ended = outcomes(&harness.wait(millis(100)));
    let still_running = QueryOutcome::Unrecorded(UnrecordedReason::StillRunning);
    assert_eq!(ended, [(second, still_running)]);
}

#[rstest]
#[case::other_request(caller(), DIGEST + 1)]
#[case::other_caller(CallerName::new("other"), DIGEST)]
fn a_key_serves_one_request_of_one_caller(#[case] caller: CallerName, #[case] digest: u64) {
    let mut harness = Harness::new(&[&[0, 1]]);
    let key = key(&mut harness);
    let (_, effects) = harness.submit_keyed(support::caller(), &key, DIGEST, millis(1000));
    harness.answer(sends(&effects)[0]);
    let other_caller = caller != support::caller();
    let (_, effects) = harness.submit_keyed(caller, &key, digest, millis(1000));
    assert_eq!(sends(&effects), []);
    let expected = if other_caller {
        matches!(outcome(&effects), Some(QueryOutcome::Unrecorded(UnrecordedReason::NotKnown)))
    } else {
        matches!(
            outcome(&effects),
            Some(QueryOutcome::NotRun { reason: RefusalReason::KeyTaken, .. })
        )
    };
    assert!(expected, "{effects:?}");
}

fn table(limits: KeyLimits) -> RequestKeys {
    RequestKeys::new(BrokerName::new("broker"), BrokerRun(7), limits)
}

fn limits() -> KeyLimits {
    KeyLimits { keys: 3, recorded_bytes: 100, lifetime: LIFETIME }
}

fn claim(table: &mut RequestKeys, now: Timestamp, key: &RequestKey) -> Claim {
    let request = KeyedRequest { key: key.clone(), digest: DIGEST };
    table.claim(now, &caller(), &request, QueryId(1))
}

fn answer_of(bytes: usize) -> QueryOutcome {
    let part = ShardPart { shard: ShardId(0), body: Bytes::from(vec![b'x'; bytes]) };
    QueryOutcome::Answered(Answer {
        snapshot: snapshot(0, 1),
        parts: vec![part],
        missing: Vec::new(),
        price: 3,
    })
}

#[rstest]
#[case::other_run(|key: &mut RequestKey| key.run = BrokerRun(8), UnrecordedReason::OtherRun)]
#[case::other_broker(
    |key: &mut RequestKey| key.broker = BrokerName::new("b"),
    UnrecordedReason::OtherRun
)]
#[case::never_issued(|key: &mut RequestKey| key.sequence = 99, UnrecordedReason::NotKnown)]
fn a_key_that_this_run_did_not_issue_is_never_executed(
    #[case] alter: fn(&mut RequestKey),
    #[case] expected: UnrecordedReason,
) {
    let mut table = table(limits());
    let mut key = table.issue(START, caller()).unwrap();
    alter(&mut key);
    assert_eq!(claim(&mut table, START, &key), Claim::Unrecorded(expected));
}

#[test]
fn an_expired_key_is_never_executed() {
    let mut table = table(limits());
    let key = table.issue(START, caller()).unwrap();
    let expired = START.after(LIFETIME);
    assert_eq!(claim(&mut table, expired, &key), Claim::Unrecorded(UnrecordedReason::NotKnown));
    assert!(table.is_empty());
}

#[test]
fn a_running_query_keeps_its_key_and_the_lifetime_starts_at_its_end() {
    let mut table = table(limits());
    let key = table.issue(START, caller()).unwrap();
    assert_eq!(claim(&mut table, START, &key), Claim::Execute);
    let later = START.after(2 * LIFETIME);
    assert_eq!(claim(&mut table, later, &key), Claim::Attach(QueryId(1)));
    table.record(later, &key, &answer_of(1));
    let last = later.after(LIFETIME - millis(1));
    assert_eq!(claim(&mut table, last, &key), Claim::Recorded(answer_of(1)));
    let after = later.after(LIFETIME);
    assert_eq!(claim(&mut table, after, &key), Claim::Unrecorded(UnrecordedReason::NotKnown));
}

#[test]
fn a_full_table_issues_no_key_until_one_expires() {
    let mut table = table(limits());
    for second in 0..3 {
        table.issue(START.after(Duration::from_secs(second)), caller()).unwrap();
    }
    let now = START.after(Duration::from_secs(4));
    let exhausted = table.issue(now, caller()).unwrap_err();
    assert_eq!(exhausted.retry_after, Duration::from_secs(6));
    assert!(table.issue(START.after(LIFETIME), caller()).is_ok());
    assert_eq!(table.len(), 3);
}

#[test]
fn recorded_answers_are_bounded_and_the_oldest_is_evicted() {
    let mut table = table(limits());
    let keys: Vec<RequestKey> = (0..3).map(|_| table.issue(START, caller()).unwrap()).collect();
    for key in &keys {
        assert_eq!(claim(&mut table, START, key), Claim::Execute);
        table.record(START, key, &answer_of(50));
    }
    let unknown = Claim::Unrecorded(UnrecordedReason::NotKnown);
    assert_eq!(claim(&mut table, START, &keys[0]), unknown);
    assert_eq!(claim(&mut table, START, &keys[1]), Claim::Recorded(answer_of(50)));
    assert_eq!(claim(&mut table, START, &keys[2]), Claim::Recorded(answer_of(50)));
}

#[test]
fn a_key_survives_formatting_and_parsing() {
    let mut table = table(limits());
    let key = table.issue(START, caller()).unwrap();
    assert_eq!(key.to_string(), "broker.0000000000000007.0");
    assert_eq!(key.to_string().parse(), Ok(key));
}

#[rstest]
fn a_text_that_is_no_key_is_refused(
    #[values("", "a.b", "a.zz.1", "a.1.x", "a.1.-1", "a.1.1.1", ".1.1")] text: &str,
) {
    assert!(text.parse::<RequestKey>().is_err());
}
