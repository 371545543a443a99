//! A planned stop drains queries in flight, refuses new ones and truncates no answer.

mod support;

use std::sync::{Arc, Mutex, mpsc};
use std::thread::sleep;
use std::time::Duration;

use rstest::rstest;
use rustix::process::Signal;
use support::broker::Broker;
use support::caller::{Caller, Query, issue_key};
use support::control::{ControlScript, ScriptedControl, catalog};
use support::leaf::{LeafAction, ScriptedLeaf};
use support::wait_until;

/// A leaf that withholds its answers, and the sender that releases them.
fn held_leaf() -> (ScriptedLeaf, mpsc::Sender<()>) {
    let (release, held) = mpsc::channel();
    let held = Arc::new(Mutex::new(held));
    let leaf = ScriptedLeaf::scripted(move |request| {
        // Returns an error once the test has ended.
        let _ = held.lock().expect("no thread panicked").recv();
        LeafAction::Send(request.reply("finished"))
    });
    (leaf, release)
}

fn stop(broker: &Broker, signal: Signal) {
    broker.signal(signal);
    wait_until("the broker knows of the stop", || broker.log().contains("stop_requested"));
}

#[rstest]
#[case::terminate(Signal::TERM)]
#[case::interrupt(Signal::INT)]
fn queries_in_flight_finish_and_new_ones_are_refused(#[case] signal: Signal) {
    let (leaf, release) = held_leaf();
    let mut broker = Broker::start(&catalog(&[&[leaf.address]]));
    let mut in_flight = broker.caller();
    in_flight.send(&Query::new("whole").with("x-deadline-ms", "30000").bytes());
    leaf.wait_for_searches(1);
    stop(&broker, signal);

    let mut late = broker.caller();
    let refused = late.ask(&Query::new("whole"));
    assert_eq!((refused.status, refused.reason().as_str()), (503, "stopping"));
    assert_eq!(refused.outcome(), "not_run");
    assert!(refused.header("retry-after").is_some());
    assert!(late.is_closed());
    assert!(!broker.has_ended());

    release.send(()).expect("the leaf waits");
    let answer = in_flight.receive().expect("an answer");
    assert_eq!(answer.outcome(), "answered");
    assert_eq!(answer.json()["coverage"], 1.0);
    assert!(answer.closes());
    assert!(in_flight.is_closed());
    broker.assert_ends_well();
    assert_eq!(leaf.searches().len(), 1);
}

#[test]
fn new_request_on_an_open_connection_is_refused_and_the_connection_closed() {
    let (leaf, release) = held_leaf();
    let mut broker = Broker::start(&catalog(&[&[leaf.address]]));
    let mut in_flight = broker.caller();
    // The second request of the connection is read only after the first response.
    let query = Query::new("whole").with("x-deadline-ms", "30000").bytes();
    in_flight.send(&[&query[..], &query[..]].concat());
    leaf.wait_for_searches(1);
    stop(&broker, Signal::TERM);
    release.send(()).expect("the leaf waits");
    let first = in_flight.receive().expect("an answer");
    assert_eq!(first.outcome(), "answered");
    if !first.closes() {
        let second = in_flight.receive().expect("an answer");
        assert_eq!(second.reason(), "stopping");
    }
    assert!(in_flight.is_closed());
    broker.assert_ends_well();
    assert_eq!(leaf.searches().len(), 1);
}

#[test]
fn partially_sent_request_is_answered() {
    let leaf = ScriptedLeaf::honest("right");
    let mut broker = Broker::start(&catalog(&[&[leaf.address]]));
    let mut caller = broker.caller();
    // The first response shows that the connection is being served.
    assert_eq!(caller.ask(&Query::new("whole")).outcome(), "answered");
    let query = Query::new("whole").bytes();
    let (begin, end) = query.split_at(40);
    caller.send(begin);
    stop(&broker, Signal::TERM);
    caller.send(end);
    let response = caller.receive().expect("an answer");
    assert_eq!(response.reason(), "stopping");
    assert!(caller.is_closed());
    broker.assert_ends_well();
}

#[test]
fn unanswered_query_delays_the_stop_until_its_deadline() {
    let leaf = ScriptedLeaf::scripted(|_| LeafAction::NoReply);
    let mut broker = Broker::start(&catalog(&[&[leaf.address]]));
    let mut caller = broker.caller();
    caller.send(&Query::new("whole").with("x-deadline-ms", "1500").bytes());
    leaf.wait_for_searches(1);
    stop(&broker, Signal::TERM);
    let response = caller.receive().expect("an answer");
    assert_eq!((response.status, response.outcome().as_str()), (504, "outcome_unknown"));
    broker.assert_ends_well();
}

#[test]
fn idle_connections_do_not_delay_the_stop() {
    let leaf = ScriptedLeaf::honest("right");
    let mut broker = Broker::start(&catalog(&[&[leaf.address]]));
    let mut idle: Vec<Caller> = (0..5).map(|_| broker.caller()).collect();
    for caller in &mut idle {
        assert_eq!(caller.ask(&Query::new("whole")).outcome(), "answered");
    }
    broker.signal(Signal::TERM);
    broker.assert_ends_well();
    assert!(idle.iter_mut().all(Caller::is_closed));
}

#[test]
fn request_with_a_key_finishes_after_its_caller_disconnects() {
    let (leaf, release) = held_leaf();
    let mut broker = Broker::start(&catalog(&[&[leaf.address]]));
    let key = issue_key(broker.caller()).expect("a key");
    let mut caller = broker.caller();
    let query = Query::new("whole").once().with("x-request-key", &key);
    caller.send(&query.with("x-deadline-ms", "30000").bytes());
    leaf.wait_for_searches(1);
    caller.hang_up();
    stop(&broker, Signal::TERM);
    assert!(!broker.has_ended());
    release.send(()).expect("the leaf waits");
    broker.assert_ends_well();
}

/// Connections were accepted until the process ended, and those that were just being refused were
/// cut without an answer.
#[test]
fn callers_that_connect_before_the_end_of_a_stop_are_all_refused() {
    let leaf = ScriptedLeaf::honest("right");
    let script = ControlScript { receipts: false, ..ControlScript::default() };
    let catalog = catalog(&[&[leaf.address]]);
    let mut broker = Broker::start_on(ScriptedControl::serve_with(&catalog, script), "");
    assert_eq!(broker.caller().ask(&Query::new("whole")).outcome(), "answered");
    stop(&broker, Signal::TERM);
    let query = Query::new("whole").bytes();
    let (begin, end) = query.split_at(40);
    let mut callers = Vec::new();
    while let Some(mut caller) = Caller::try_connect(broker.listen) {
        caller.send(begin);
        callers.push(caller);
        sleep(Duration::from_millis(50));
    }
    // The last connection may still be unread when the listener closes.
    callers.pop();
    // Earlier requests were refused a second after their connections were made.
    let incomplete = callers.len().saturating_sub(10);
    for caller in &mut callers[incomplete..] {
        caller.send(end);
        let response = caller.receive().expect("an answer");
        assert_eq!((response.status, response.reason().as_str()), (503, "stopping"));
    }
    broker.assert_ends_well();
}
