//! Invalid input of callers is refused with a clear response, and later requests are served.

mod support;

use std::time::Duration;

use gingerkeel_domain::catalog::{Change, ClassPolicy};
use gingerkeel_domain::identifiers::{ClassName, ServiceName};
use rstest::rstest;
use support::broker::Broker;
use support::caller::{Caller, Query};
use support::control::{apply, catalog};
use support::leaf::{LeafAction, ScriptedLeaf};
use support::wait_until;

/// Configured limit of request bodies, in bytes.
const BODY_BYTES: usize = 1000;

/// A broker with a working leaf, a short request timeout and few connections.
fn fleet(settings: &str) -> (ScriptedLeaf, Broker) {
    let leaf = ScriptedLeaf::honest("right");
    let settings = format!("body_bytes = {BODY_BYTES}\n{settings}");
    let broker = Broker::start_with(&catalog(&[&[leaf.address]]), &settings);
    (leaf, broker)
}

/// Asserts that no part of the bad request was run and that a valid one is answered.
fn assert_unharmed(leaf: &ScriptedLeaf, broker: &Broker) {
    assert_eq!(leaf.searches().len(), 0);
    assert_eq!(broker.caller().ask(&Query::new("whole")).outcome(), "answered");
}

/// A request with this start line, the usual headers and these.
fn request(start: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "{start}\r\nhost: x\r\nx-class: whole\r\nx-caller: desk\r\nx-deadline-ms: 5000\r\n\
         {headers}\r\n"
    );
    [head.as_bytes(), body].concat()
}

const START: &str = "POST /v1/services/tickets/query HTTP/1.1";

#[rstest]
#[case::not_http(b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n".to_vec(), 400)]
#[case::no_target(request("POST", "content-length: 0\r\n", b""), 400)]
#[case::no_version(request("POST /v1/services/tickets/query", "content-length: 0\r\n", b""), 400)]
#[case::broken_header(
    request(START, "a header without a colon\r\ncontent-length: 0\r\n", b""),
    400
)]
#[case::negative_length(request(START, "content-length: -1\r\n", b""), 400)]
#[case::length_no_number(request(START, "content-length: many\r\n", b""), 400)]
#[case::two_lengths(request(START, "content-length: 3\r\ncontent-length: 4\r\n", b"abcd"), 400)]
#[case::length_and_chunks(
    request(START, "content-length: 4\r\ntransfer-encoding: chunked\r\n", b"0\r\n\r\n"),
    400
)]
#[case::broken_chunk(request(START, "transfer-encoding: chunked\r\n", b"zz\r\nabc\r\n"), 400)]
#[case::huge_length(request(START, "content-length: 99999999999\r\n", b""), 413)]
#[case::body_too_large(request(START, "content-length: 1001\r\n", &[b'x'; 1001]), 413)]
#[case::chunks_too_large(
    request(START, "transfer-encoding: chunked\r\n", &[b"7d0\r\n", &[b'x'; 2000][..], b"\r\n0\r\n\r\n"].concat()),
    413
)]
#[case::head_too_large(request(START, &format!("x-padding: {}\r\n", "x".repeat(20_000)), b""), 431)]
#[case::head_without_end(request(START, &"x-a: b\r\n".repeat(4000), b"")[..20_000].to_vec(), 431)]
fn invalid_http_is_answered_and_the_connection_closed(#[case] bytes: Vec<u8>, #[case] status: u16) {
    let (leaf, broker) = fleet("");
    let mut caller = broker.caller();
    caller.send(&bytes);
    let response = caller.receive().expect("an answer");
    assert_eq!(response.status, status, "{}", response.body);
    assert_eq!(
        (response.outcome().as_str(), response.reason().as_str()),
        ("not_run", "bad_request")
    );
    assert!(response.json()["message"].as_str().is_some_and(|message| message.contains(": ")));
    assert!(response.closes());
    assert!(caller.is_closed());
    assert_unharmed(&leaf, &broker);
}

fn service(name: &str) -> Query {
    Query { service: name.into(), ..Query::new("whole") }
}

#[rstest]
#[case::unknown_service(service("nothing"), 404, "not_served")]
#[case::unknown_class(Query::new("nothing"), 404, "not_served")]
#[case::unknown_caller(Query::new("whole").with("x-caller", "stranger"), 403, "unknown_caller")]
#[case::no_service(service(""), 404, "bad_request")]
#[case::deeper_path(service("tickets/more"), 404, "bad_request")]
#[case::no_class(Query::new("whole").with("x-class", ""), 400, "bad_request")]
#[case::no_caller(Query::new("whole").with("x-caller", ""), 400, "bad_request")]
#[case::negative_deadline(Query::new("whole").with("x-deadline-ms", "-5"), 400, "bad_request")]
#[case::no_time(Query::new("whole").with("x-deadline-ms", "0"), 400, "bad_request")]
#[case::deadline_a_text(Query::new("whole").with("x-deadline-ms", "soon"), 400, "bad_request")]
#[case::fraction(Query::new("whole").with("x-deadline-ms", "1.5"), 400, "bad_request")]
#[case::huge_deadline(Query::new("whole").with("x-deadline-ms", "60001"), 400, "bad_request")]
#[case::overflow(
    Query::new("whole").with("x-deadline-ms", "99999999999999999999999"),
    400,
    "bad_request"
)]
#[case::repeatable_what(Query::new("whole").with("x-repeatable", "maybe"), 400, "bad_request")]
fn invalid_request_is_refused_and_the_connection_kept(
    #[case] query: Query,
    #[case] status: u16,
    #[case] reason: &str,
) {
    let (leaf, broker) = fleet("");
    let mut caller = broker.caller();
    let response = caller.ask(&query);
    assert_eq!((response.status, response.reason().as_str()), (status, reason));
    assert_eq!(response.outcome(), "not_run");
    assert_eq!(leaf.searches().len(), 0);
    assert_eq!(caller.ask(&Query::new("whole")).outcome(), "answered");
}

#[test]
fn query_without_a_deadline_takes_the_default_of_its_class() {
    let leaf = ScriptedLeaf::scripted(|_| LeafAction::NoReply);
    let mut catalog = catalog(&[&[leaf.address]]);
    let service = ServiceName::new("tickets");
    let whole = catalog.class(&service, &ClassName::new("whole")).expect("a class").clone();
    let policy = ClassPolicy { default_deadline: Duration::from_millis(400), ..whole };
    apply(&mut catalog, Change::DefineClass { service, policy });
    let broker = Broker::start(&catalog);
    let mut caller = broker.caller();
    // Without the deadline of the class, the broker would wait until the test times out.
    let response = caller.ask(&Query::new("whole").with("x-deadline-ms", ""));
    assert_eq!((response.status, response.outcome().as_str()), (504, "outcome_unknown"));
    let left = leaf.searches()[0].header("x-deadline-ms").parse::<u64>().expect("a number");
    assert!((1..=400).contains(&left), "{left} ms were left at the leaf");
}

#[test]
fn idle_connection_is_closed_but_not_a_waiting_one() {
    let leaf = ScriptedLeaf::scripted(|_| LeafAction::NoReply);
    let broker = Broker::start_with(&catalog(&[&[leaf.address]]), "idle_time_ms = 50");
    let mut waiting = broker.caller();
    waiting.send(&Query::new("whole").with("x-deadline-ms", "700").bytes());
    let mut idle = broker.caller();
    assert!(idle.is_closed());
    assert_eq!(waiting.receive().expect("an answer").status, 504);
    assert!(waiting.is_closed());
}

#[test]
fn only_post_is_allowed() {
    let (leaf, broker) = fleet("");
    let mut caller = broker.caller();
    caller.send(&request("GET /v1/services/tickets/query HTTP/1.1", "", b""));
    assert_eq!(caller.receive().expect("an answer").status, 405);
    assert_unharmed(&leaf, &broker);
}

#[rstest]
#[case::in_the_head(b"POST /v1/services/tick".to_vec())]
#[case::in_the_body(request(START, "content-length: 100\r\n", b"only a part"))]
#[case::between_chunks(request(START, "transfer-encoding: chunked\r\n", b"3\r\nabc\r\n"))]
fn stalled_request_times_out_and_closes_the_connection(#[case] bytes: Vec<u8>) {
    let (leaf, broker) = fleet("request_time_ms = 200");
    let mut caller = broker.caller();
    caller.send(&bytes);
    let response = caller.receive().expect("an answer");
    assert_eq!((response.status, response.reason().as_str()), (408, "bad_request"));
    assert!(caller.is_closed());
    assert_unharmed(&leaf, &broker);
}

#[test]
fn disconnect_within_a_request_leaves_no_state() {
    let (leaf, broker) = fleet("");
    let mut caller = broker.caller();
    caller.send(&request(START, "content-length: 100\r\n", b"only a part"));
    caller.hang_up();
    assert_unharmed(&leaf, &broker);
}

#[test]
fn disconnect_cancels_the_query() {
    let leaf = ScriptedLeaf::scripted(|_| LeafAction::NoReply);
    let broker = Broker::start(&catalog(&[&[leaf.address]]));
    let mut caller = broker.caller();
    caller.send(&Query::new("whole").bytes());
    leaf.wait_for_searches(1);
    caller.hang_up();
    leaf.wait_for_cancellation();
    wait_until("the query counts as cancelled", || {
        broker.metrics().contains("outcome=\"cancelled\"} 1")
    });
    assert!(broker.metrics().contains("gingerkeel_broker_queries_in_flight 0"));
}

#[test]
fn connection_beyond_the_limit_is_refused_until_another_closes() {
    let (leaf, broker) = fleet("caller_connections = 2");
    // The connection of the start-up check may still be open.
    let mut held: Vec<Caller> = Vec::new();
    wait_until("two connections are served", || {
        let mut caller = broker.caller();
        let served = caller.ask(&service("nothing")).reason() == "not_served";
        if served {
            held.push(caller);
        }
        held.len() == 2
    });
    let mut refused = broker.caller();
    let response = refused.ask(&Query::new("whole"));
    assert_eq!((response.status, response.reason().as_str()), (503, "too_many_connections"));
    assert_eq!(response.outcome(), "not_run");
    assert!(response.header("retry-after").is_some());
    assert!(refused.is_closed());
    assert_eq!(leaf.searches().len(), 0);
    held.pop().expect("two connections").hang_up();
    wait_until("a place is free", || {
        broker.caller().ask(&Query::new("whole")).outcome() == "answered"
    });
}

#[test]
fn pipelined_requests_are_answered_in_order() {
    let leaf = ScriptedLeaf::scripted(|request| {
        LeafAction::Send(request.reply(&String::from_utf8_lossy(&request.body)))
    });
    let broker = Broker::start(&catalog(&[&[leaf.address]]));
    let bodies = ["one", "two", "three"];
    let query = |body: &str| Query { body: body.into(), ..Query::new("whole") }.bytes();
    let together = bodies.map(query).concat();
    let mut caller = broker.caller();
    caller.send(&together);
    for body in bodies {
        let response = caller.receive().expect("an answer");
        assert_eq!(response.json()["parts"][0]["body"], body);
    }
}

#[test]
fn invalid_bytes_after_a_valid_request_do_not_affect_its_answer() {
    let (_leaf, broker) = fleet("");
    let mut caller = broker.caller();
    caller.send(&[&Query::new("whole").bytes()[..], b"nonsense\r\n\r\n"].concat());
    assert_eq!(caller.receive().expect("an answer").outcome(), "answered");
    assert_eq!(caller.receive().expect("an answer").status, 400);
    assert!(caller.is_closed());
}

#[rstest]
#[case::asked_for("HTTP/1.1", "connection: close\r\n")]
#[case::old_protocol("HTTP/1.0", "")]
fn connection_is_closed_after_the_answer_on_request(#[case] version: &str, #[case] headers: &str) {
    let (_leaf, broker) = fleet("");
    let mut caller = broker.caller();
    let start = format!("POST /v1/services/tickets/query {version}");
    caller.send(&request(&start, &format!("{headers}content-length: 0\r\n"), b""));
    let response = caller.receive().expect("an answer");
    assert_eq!(response.outcome(), "answered");
    assert!(response.closes());
    assert!(caller.is_closed());
}

#[test]
fn spent_budget_has_its_own_status() {
    let (leaf, broker) = fleet("");
    let query = Query::new("urgent").with("x-caller", "poor");
    assert_eq!(broker.caller().ask(&query).outcome(), "answered");
    let response = broker.caller().ask(&query);
    assert_eq!((response.status, response.reason().as_str()), (429, "budget_spent"));
    assert!(response.header("retry-after").is_some());
    assert_eq!(leaf.searches().len(), 1);
}
