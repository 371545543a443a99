//! The operators' HTTP interface of a control process.

mod support;

use gingerkeel_protocol::SubscriberMessage;
use gingerkeel_statement::StatementReply;
use rstest::rstest;
use support::{Control, FakeBroker, wait_until};

const DEFINE: &str = "DEFINE CALLER portal BUDGET 10 BURST 20";

fn refused(replies: &[StatementReply]) -> &str {
    match replies.last() {
        Some(StatementReply::Refused { error }) => error,
        other => panic!("not refused but {other:?}"),
    }
}

#[test]
fn resent_command_returns_its_first_outcome_without_a_second_change() {
    let control = Control::start("control-1");
    let first = control.post(DEFINE, Some(("anna", "7")));
    assert_eq!(first, (200, vec![StatementReply::Accepted { revision: 1 }]));
    assert_eq!(control.post(DEFINE, Some(("anna", "7"))), first);
    assert_eq!(control.rows("SHOW STATUS")[0][0], "1");
}

#[test]
fn changes_of_one_request_get_consecutive_sequence_numbers() {
    let control = Control::start("control-1");
    let text = format!("{DEFINE}; SHOW CALLERS; DEFINE CALLER gate BUDGET 1 BURST 1");
    assert_eq!(control.post(&text, Some(("anna", "1"))).0, 200);
    assert_eq!(control.post(&text, Some(("anna", "1"))).0, 200);
    assert_eq!(control.rows("SHOW STATUS")[0][0], "2");
    let (status, replies) = control.post("REMOVE CALLER gate", Some(("anna", "2")));
    assert_eq!(status, 400);
    assert!(refused(&replies).contains("anna/2 was another one"), "{replies:?}");
}

#[test]
fn conflicting_change_is_refused_with_the_session_that_was_first() {
    let control = Control::start("control-1");
    control.change(DEFINE);
    let change = |session, budget: u32| {
        let text = format!("DEFINE CALLER portal BUDGET {budget} BURST 1 AT REVISION 1");
        control.post(&text, Some((session, "1")))
    };
    assert_eq!(change("anna", 30).0, 200);
    let (status, replies) = change("ben", 40);
    assert_eq!(status, 400);
    let error = refused(&replies);
    assert!(error.contains("first by session anna at revision 2"), "{error}");
    assert_eq!(control.rows("SHOW CALLERS")[0][1], "30");
}

#[test]
fn statements_after_a_refused_one_are_not_executed() {
    let control = Control::start("control-1");
    let (status, replies) = control.post(&format!("DRAIN LEAF 1; {DEFINE}"), None);
    assert_eq!((status, replies.len()), (400, 1));
    assert_eq!(control.rows("SHOW STATUS")[0][0], "0");
}

#[rstest]
#[case::session_missing(&[("x-sequence", "1")])]
#[case::sequence_missing(&[("x-session", "anna")])]
#[case::sequence_zero(&[("x-session", "anna"), ("x-sequence", "0")])]
#[case::sequence_no_number(&[("x-session", "anna"), ("x-sequence", "one")])]
#[case::session_no_name(&[("x-session", "an na"), ("x-sequence", "1")])]
fn invalid_command_identity_is_refused_with_a_remedy(#[case] headers: &[(&'static str, &str)]) {
    let control = Control::start("control-1");
    let response = control.exchange_with(DEFINE, headers);
    assert_eq!(response.status().as_u16(), 400);
    let text = String::from_utf8_lossy(response.body());
    assert!(text.contains("send both"), "{text}");
    assert_eq!(control.rows("SHOW STATUS")[0][0], "0");
}

#[test]
fn syntax_error_names_line_and_column() {
    let control = Control::start("control-1");
    let (status, replies) = control.post("SHOW STATUS;\nDRAIN LEFT 1", None);
    assert_eq!(status, 400);
    assert!(refused(&replies).starts_with("line 2, column 7:"), "{replies:?}");
}

#[test]
fn text_that_is_too_long_is_refused() {
    let control = Control::start("control-1");
    let (status, replies) = control.post(&";".repeat(256 * 1024 + 1), None);
    assert_eq!(status, 400);
    assert!(refused(&replies).contains("split it"), "{replies:?}");
}

#[test]
fn unknown_zone_is_not_evacuated_and_lagging_brokers_of_an_order_are_counted() {
    let control = Control::start("control-1");
    let (status, replies) = control.post("EVACUATE ZONE palremo", None);
    assert_eq!(status, 400);
    assert!(refused(&replies).contains("SHOW ZONES"), "{replies:?}");
    let mut broker = FakeBroker::subscribe(&control, "b1", 1, 0);
    wait_until(|| !control.rows("SHOW ZONES").is_empty());
    let zone = control.rows("SHOW ZONES")[0][0].clone();
    let revision = control.change(&format!("EVACUATE ZONE {zone}"));
    assert_eq!(control.rows("SHOW ZONES")[0][..], [&zone, "evacuated", "1", "0", "1"]);
    broker.send(&SubscriberMessage::InForce { revision });
    wait_until(|| control.rows("SHOW ZONES")[0][4] == "0");
    let revision = control.change(&format!("RESTORE ZONE {zone}"));
    assert_eq!(control.rows("SHOW ZONES")[0][1], "in service");
    assert_eq!(revision, 2);
}
