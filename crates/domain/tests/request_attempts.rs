//! Attempts at one request: their number and the consequences of their outcomes.

use std::time::Duration;

use gingerkeel_domain::forwarding::{AfterAttempt, AttemptError, RequestAttempts, hedge_delay};
use gingerkeel_domain::identifiers::LeafIdentity;
use gingerkeel_domain::time::Timestamp;
use rstest::rstest;

const ANOTHER: AfterAttempt = AfterAttempt::AskAnother { keep_reply: false };
const ANOTHER_THAN_THIS: AfterAttempt = AfterAttempt::AskAnother { keep_reply: true };
const MAY_HAVE_RUN: AfterAttempt = AfterAttempt::NoReply;

fn leaf(name: &str) -> LeafIdentity {
    LeafIdentity::new(name)
}

fn at(milliseconds: u64) -> Timestamp {
    Timestamp::from_micros(milliseconds * 1_000)
}

/// State after one attempt.
fn one_asked(repeatable: bool) -> RequestAttempts {
    let mut attempts = RequestAttempts::new(repeatable, 2);
    attempts.asked(at(0), leaf("a"));
    attempts
}

/// Outcome of the first attempt, its consequence for a repeatable and for a non-repeatable request,
/// and whether the next attempt is an extra one.
#[rstest]
#[case::answered(Ok(200), AfterAttempt::Reply, AfterAttempt::Reply, false)]
#[case::wrong_request(Ok(404), AfterAttempt::Reply, AfterAttempt::Reply, false)]
#[case::failed(Ok(500), ANOTHER_THAN_THIS, AfterAttempt::Reply, true)]
#[case::no_connection(Err(AttemptError::NoConnection), ANOTHER, ANOTHER, false)]
#[case::not_connected(Err(AttemptError::NotConnected), ANOTHER, ANOTHER, false)]
#[case::refused_connection(Err(AttemptError::ConnectionRefused), ANOTHER, ANOTHER, false)]
#[case::not_accepted(Err(AttemptError::NotAccepted), ANOTHER, ANOTHER, false)]
#[case::rejected(Err(AttemptError::Rejected), ANOTHER, ANOTHER, true)]
#[case::another_leaf(Err(AttemptError::AnotherLeaf), ANOTHER, ANOTHER, true)]
#[case::lost(Err(AttemptError::Lost), ANOTHER, MAY_HAVE_RUN, true)]
#[case::unusable(Err(AttemptError::Unusable), ANOTHER, MAY_HAVE_RUN, true)]
fn the_end_of_an_attempt_decides_what_follows(
    #[case] outcome: Result<u16, AttemptError>,
    #[case] repeatable: AfterAttempt,
    #[case] once: AfterAttempt,
    #[case] extra: bool,
) {
    let mut attempts = one_asked(true);
    assert_eq!(attempts.ended(&leaf("a"), outcome), repeatable);
    assert_eq!(attempts.next_is_extra(), extra);
    assert_eq!(one_asked(false).ended(&leaf("a"), outcome), once);
}

/// Whether the leaf may be asked once more after the outcome of its first attempt.
#[rstest]
#[case::rejected(AttemptError::Rejected, true)]
#[case::another_leaf(AttemptError::AnotherLeaf, true)]
#[case::not_connected(AttemptError::NotConnected, true)]
#[case::refused_connection(AttemptError::ConnectionRefused, true)]
#[case::not_accepted(AttemptError::NotAccepted, true)]
#[case::lost(AttemptError::Lost, false)]
#[case::unusable(AttemptError::Unusable, false)]
fn only_a_leaf_that_did_not_run_the_request_is_asked_once_more(
    #[case] error: AttemptError,
    #[case] again: bool,
) {
    let mut attempts = one_asked(true);
    attempts.ended(&leaf("a"), Err(error));
    assert_eq!(attempts.tried(), [leaf("a")]);
    attempts.forget_refusals();
    assert_eq!(attempts.tried().is_empty(), again);
    assert!(!attempts.is_first());
}

#[test]
fn a_request_that_is_not_repeatable_is_never_sent_a_second_time_while_the_first_is_open() {
    assert!(!one_asked(false).may_hedge());
    assert!(one_asked(true).may_hedge());
}

#[test]
fn attempts_that_certainly_did_not_run_do_not_count() {
    let mut attempts = RequestAttempts::new(false, 1);
    for name in ["a", "b", "c"] {
        assert!(attempts.may_ask());
        attempts.asked(at(0), leaf(name));
        assert!(!attempts.may_ask());
        attempts.ended(&leaf(name), Err(AttemptError::Rejected));
    }
    assert_eq!(attempts.tried().len(), 3);
}

#[test]
fn a_leaf_to_which_there_was_no_connection_may_be_asked_again() {
    let mut attempts = one_asked(true);
    attempts.ended(&leaf("a"), Err(AttemptError::NoConnection));
    assert!(attempts.tried().is_empty() && attempts.is_first());
}

#[test]
fn leaves_with_long_open_attempts_are_listed() {
    let mut attempts = one_asked(true);
    attempts.asked(at(50), leaf("b"));
    let overdue: Vec<_> = attempts.open_for(at(100), Duration::from_millis(60)).collect();
    assert_eq!(overdue, [&leaf("a")]);
    assert_eq!(attempts.newest_open(), Some(&leaf("b")));
}

#[rstest]
#[case::unknown(None, 200, 70)]
#[case::measured(Some(30), 200, 30)]
#[case::not_too_late(Some(150), 200, 70)]
#[case::not_too_early(Some(1), 200, 8)]
#[case::short_target(Some(30), 10, 8)]
fn a_hedge_follows_the_measured_latency_within_bounds(
    #[case] measured: Option<u64>,
    #[case] target: u64,
    #[case] expected: u64,
) {
    let delay = hedge_delay(measured.map(Duration::from_millis), Duration::from_millis(target));
    assert_eq!(delay, Duration::from_millis(expected));
}
