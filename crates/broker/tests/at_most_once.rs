//! At-most-once execution: of non-repeatable leaf requests, and of queries with a request key.

mod support;

use std::sync::mpsc;
use std::sync::{Arc, Mutex};

use rstest::rstest;
use support::broker::Broker;
use support::caller::{Caller, Query, issue_key};
use support::closed_address;
use support::control::catalog;
use support::leaf::{LeafAction, LeafRequest, ScriptedLeaf, response};

fn close_without_reply(_request: &LeafRequest) -> LeafAction {
    LeafAction::SendAndClose(Vec::new())
}

fn truncated_reply(request: &LeafRequest) -> LeafAction {
    LeafAction::SendAndClose(request.reply("a body")[..30].to_vec())
}

fn wrong_version(request: &LeafRequest) -> LeafAction {
    LeafAction::Send(response(
        200,
        &request.reply_headers().replace("version: 3", "version: 2"),
        b"",
    ))
}

fn error_reply(request: &LeafRequest) -> LeafAction {
    LeafAction::Send(response(500, &request.reply_headers(), b""))
}

#[rstest]
#[case::closed(close_without_reply)]
#[case::truncated_reply(truncated_reply)]
#[case::wrong_version(wrong_version)]
#[case::error_reply(error_reply)]
fn lost_reply_gives_an_unknown_outcome_without_a_retry(
    #[case] reply: fn(&LeafRequest) -> LeafAction,
) {
    let leaves = [ScriptedLeaf::scripted(reply), ScriptedLeaf::scripted(reply)];
    let broker = Broker::start(&catalog(&[&[leaves[0].address, leaves[1].address]]));
    let response = broker.caller().ask(&Query::new("whole").once());
    assert_eq!((response.status, response.outcome().as_str()), (504, "outcome_unknown"));
    let written: usize = leaves.iter().map(|leaf| leaf.searches().len()).sum();
    assert_eq!(written, 1);
}

#[test]
fn connection_reset_during_the_write_gives_an_unknown_outcome() {
    const BODY_BYTES: usize = 8 * 1024 * 1024;
    let leaves = [ScriptedLeaf::resetting_after(1000), ScriptedLeaf::resetting_after(1000)];
    let catalog = catalog(&[&[leaves[0].address, leaves[1].address]]);
    let broker = Broker::start_with(&catalog, &format!("body_bytes = {BODY_BYTES}"));
    let query = Query { body: vec![b'x'; BODY_BYTES], ..Query::new("whole").once() };
    let response = broker.caller().ask(&query);
    assert_eq!((response.status, response.outcome().as_str()), (504, "outcome_unknown"));
    let written: usize = leaves.iter().map(|leaf| leaf.searches().len()).sum();
    assert_eq!(written, 1);
}

#[test]
fn request_without_a_reachable_leaf_is_not_run() {
    let broker = Broker::start(&catalog(&[&[closed_address()]]));
    let response = broker.caller().ask(&Query::new("whole").once());
    assert_eq!(
        (response.outcome().as_str(), response.reason().as_str()),
        ("not_run", "leaves_refused")
    );
}

#[test]
fn unreachable_leaf_is_retried_on_another() {
    let leaf = ScriptedLeaf::honest("right");
    let broker = Broker::start(&catalog(&[&[closed_address(), leaf.address]]));
    for _ in 0..5 {
        let response = broker.caller().ask(&Query::new("whole").once());
        assert_eq!(response.outcome(), "answered", "{}", response.body);
    }
    assert_eq!(leaf.searches().len(), 5);
}

#[test]
fn idle_connection_closed_by_the_leaf_fails_no_request() {
    let leaf = ScriptedLeaf::scripted(|request| LeafAction::SendAndClose(request.reply("right")));
    let broker = Broker::start(&catalog(&[&[leaf.address]]));
    for _ in 0..3 {
        let response = broker.caller().ask(&Query::new("whole").once());
        assert_eq!(response.outcome(), "answered", "{}", response.body);
        // The close_without_reply must reach the broker before the next request is written.
        std::thread::sleep(std::time::Duration::from_millis(200));
    }
    assert_eq!(leaf.searches().len(), 3);
}

/// A leaf that withholds its answers, and the sender that releases them.
fn held_leaf() -> (ScriptedLeaf, mpsc::Sender<()>) {
    let (release, held) = mpsc::channel();
    let held = Arc::new(Mutex::new(held));
    let leaf = ScriptedLeaf::scripted(move |request| {
        // Returns an error_reply once the test has ended.
        let _ = held.lock().expect("no thread panicked").recv();
        LeafAction::Send(request.reply("booked"))
    });
    (leaf, release)
}

fn keyed(broker: &Broker) -> Query {
    let key = issue_key(broker.caller()).expect("a key");
    Query::new("whole").once().with("x-request-key", &key)
}

#[test]
fn resend_returns_the_recorded_answer_without_running() {
    let leaf = ScriptedLeaf::honest("booked");
    let broker = Broker::start(&catalog(&[&[leaf.address]]));
    let query = keyed(&broker);
    let first = broker.caller().ask(&query);
    let second = broker.caller().ask(&query);
    assert_eq!(first.outcome(), "answered");
    assert_eq!(first.body, second.body);
    assert_eq!(leaf.searches().len(), 1);
}

#[test]
fn resend_waits_for_the_running_request() {
    let (leaf, release) = held_leaf();
    let broker = Broker::start(&catalog(&[&[leaf.address]]));
    let query = keyed(&broker);
    let (mut first, mut second) = (broker.caller(), broker.caller());
    first.send(&query.bytes());
    leaf.wait_for_searches(1);
    second.send(&query.bytes());
    release.send(()).expect("the leaf waits");
    for caller in [&mut first, &mut second] {
        assert_eq!(caller.receive().expect("an answer").outcome(), "answered");
    }
    assert_eq!(leaf.searches().len(), 1);
}

#[test]
fn resend_after_a_disconnect_returns_the_answer() {
    let (leaf, release) = held_leaf();
    let broker = Broker::start(&catalog(&[&[leaf.address]]));
    let query = keyed(&broker);
    let mut first = broker.caller();
    first.send(&query.bytes());
    leaf.wait_for_searches(1);
    first.hang_up();
    let mut second = broker.caller();
    second.send(&query.bytes());
    release.send(()).expect("the leaf waits");
    assert_eq!(second.receive().expect("an answer").outcome(), "answered");
    assert_eq!(leaf.searches().len(), 1);
}

#[test]
fn unknown_outcome_stays_unknown_on_a_resend() {
    let leaf = ScriptedLeaf::scripted(close_without_reply);
    let broker = Broker::start(&catalog(&[&[leaf.address]]));
    let query = keyed(&broker);
    for _ in 0..2 {
        assert_eq!(broker.caller().ask(&query).outcome(), "outcome_unknown");
    }
    assert_eq!(leaf.searches().len(), 1);
}

#[test]
fn key_of_an_earlier_run_is_not_executed() {
    let leaf = ScriptedLeaf::honest("booked");
    let catalog = catalog(&[&[leaf.address]]);
    let earlier = Broker::start(&catalog);
    let query = keyed(&earlier);
    drop(earlier);
    let broker = Broker::start(&catalog);
    let response = broker.caller().ask(&query);
    assert_eq!((response.status, response.outcome().as_str()), (504, "outcome_unknown"));
    assert_eq!(response.reason(), "key_of_another_run");
    assert_eq!(leaf.searches().len(), 0);
}

#[test]
fn key_cannot_be_reused_for_another_request() {
    let leaf = ScriptedLeaf::honest("booked");
    let broker = Broker::start(&catalog(&[&[leaf.address]]));
    let query = keyed(&broker);
    assert_eq!(broker.caller().ask(&query).outcome(), "answered");
    let other = Query { body: b"another".to_vec(), ..query };
    let response = broker.caller().ask(&other);
    assert_eq!((response.status, response.reason().as_str()), (409, "key_taken"));
    assert_eq!(leaf.searches().len(), 1);
}

#[test]
fn malformed_key_or_key_on_a_repeatable_request_is_refused() {
    let leaf = ScriptedLeaf::honest("booked");
    let broker = Broker::start(&catalog(&[&[leaf.address]]));
    let nonsense = Query::new("whole").once().with("x-request-key", "nonsense");
    let repeatable = keyed(&broker).with("x-repeatable", "true");
    for query in [nonsense, repeatable] {
        let response = broker.caller().ask(&query);
        assert_eq!((response.status, response.reason().as_str()), (400, "bad_request"));
    }
    assert_eq!(leaf.searches().len(), 0);
}

#[test]
fn no_key_is_issued_without_an_account() {
    let broker = Broker::start(&catalog(&[&[closed_address()]]));
    let mut caller: Caller = broker.caller();
    caller.send(b"POST /v1/request-keys HTTP/1.1\r\nhost: x\r\nx-caller: stranger\r\ncontent-length: 0\r\n\r\n");
    let response = caller.receive().expect("an answer");
    assert_eq!((response.status, response.reason().as_str()), (403, "unknown_caller"));
}
