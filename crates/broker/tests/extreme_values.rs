//! Fields with their smallest, largest and malformed values, from leaves and from callers.
//!
//! Whatever a field says, the broker goes on and serves the next request.

mod support;

use rstest::rstest;
use support::leaf::{LeafAction, ScriptedLeaf, response};
use support::routed::{RoutedBroker, reply, request};
use support::wait_until;

/// Values at and beyond the limits of numbers, and some that are none.
const VALUES: &[&str] = &[
    "0",
    "1",
    "-1",
    "4294967295",
    "4294967296",
    "9223372036854775807",
    "18446744073709551615",
    "18446744073709551616",
    "340282366920938463463374607431768211456",
    "0.000000000000000000000000000000001",
    "1e308",
    "1e999",
    "-1e308",
    "NaN",
    "inf",
    "",
    " ",
    ",",
    "=",
    "x",
    "0x10",
    "1,1",
    "1/0",
    "0/0",
    "18446744073709551615/18446744073709551615",
];

/// Waits until the broker passes on the leaf's reply. Before that it may say that a request may have
/// run: the leaf closes connections unannounced, and a busy machine takes time. Requests that were
/// lost in this way eject the leaf, so that the broker may also say that a request has not run, but
/// for no other reason.
fn wait_until_served(broker: &RoutedBroker, path: &str) {
    let mut number = 0;
    wait_until("the broker serves", || {
        number += 1;
        let id = format!("served-{number}");
        let body = send_as(broker, path, &id);
        let has_not_run = body.contains("has not run");
        assert!(body == "own" || body.contains("may have run") || has_not_run, "{body}");
        assert!(!has_not_run || is_refused_for_ejection(broker, &id), "{}", broker.broker.log());
        body == "own"
    });
}

/// Sends one request with this id on a new connection; returns the body of its answer.
fn send_as(broker: &RoutedBroker, path: &str, id: &str) -> String {
    let mut caller = broker.caller();
    let id = format!("gingerkeel-request-id: {id}");
    caller.send(request(path, "5000").replace("gingerkeel-request-id: r1", &id).as_bytes());
    caller.receive().expect("an answer").body
}

/// Whether the broker sent the request to no leaf since its only one is ejected.
fn is_refused_for_ejection(broker: &RoutedBroker, id: &str) -> bool {
    let mut line = None;
    wait_until("the refusal is logged", || {
        let log = broker.broker.log();
        let ended = format!("event=request_ended request={id} ");
        line = log.lines().find(|line| line.contains(&ended)).map(str::to_owned);
        line.is_some() && log.ends_with('\n')
    });
    line.is_some_and(|line| line.contains(" no_leaf=ejected ") && line.contains(" attempts=0 "))
}

/// Guards against a broker that ends on a field of a leaf's reply.
#[rstest]
#[case::keep_alive("Keep-Alive: timeout=")]
#[case::keep_alive_without_a_name("Keep-Alive: ")]
#[case::keep_alive_uses("Keep-Alive: timeout=5, max=")]
#[case::load("gingerkeel-load: ")]
#[case::retry_after("Retry-After: ")]
#[case::connection("Connection: ")]
#[case::missing_parts("gingerkeel-missing-parts: ")]
#[case::attestation("gingerkeel-attestation: ")]
#[case::not_executed("gingerkeel-not-executed: ")]
#[case::content_length("Content-Length: ")]
#[case::transfer_encoding("Transfer-Encoding: ")]
fn field_of_a_leaf_ends_no_broker(#[case] field: &'static str) {
    let leaf = ScriptedLeaf::for_all(move |request| {
        let id = request.header("gingerkeel-request-id");
        match request.header("x-value") {
            "" => LeafAction::Send(reply(request, "own", b"own")),
            number => {
                let value = VALUES[number.parse::<usize>().expect("a number")];
                let headers = format!("gingerkeel-request-id: {id}\r\n{field}{value}\r\n");
                LeafAction::SendAndClose(response(200, &headers, b""))
            }
        }
    });
    let mut broker = RoutedBroker::start(&[leaf.address], &[]);
    for (number, value) in VALUES.iter().enumerate() {
        let mut caller = broker.caller();
        let field = format!("X-Own: kept\r\nX-Value: {number}");
        caller.send(request("/once/", "400").replace("X-Own: kept", &field).as_bytes());
        // Whether it is an answer depends on the field.
        let _ = caller.receive();
        assert!(!broker.broker.has_ended(), "the broker ended on {value:?}");
    }
    wait_until_served(&broker, "/once/");
}

/// Guards against a broker that ends on a field of a caller's request.
#[rstest]
#[case::deadline("gingerkeel-deadline-ms: ")]
#[case::request_id("gingerkeel-request-id: ")]
#[case::content_length("Content-Length: ")]
#[case::transfer_encoding("Transfer-Encoding: ")]
#[case::connection("Connection: ")]
#[case::keep_alive("Keep-Alive: timeout=")]
#[case::expect("Expect: ")]
#[case::tenant("gingerkeel-tenant: ")]
#[case::authorization("Authorization: ")]
#[case::expected_leaf("gingerkeel-leaf: ")]
fn field_of_a_caller_ends_no_broker(#[case] field: &str) {
    let leaf = support::routed::honest("own", b"own");
    let mut broker = RoutedBroker::start(&[leaf.address], &[]);
    for value in VALUES {
        let mut caller = broker.caller();
        caller.send(format!("GET /one/ HTTP/1.1\r\nHost: h\r\n{field}{value}\r\n\r\n").as_bytes());
        caller.hang_up();
        assert!(!broker.broker.has_ended(), "the broker ended on {value:?}");
    }
    wait_until_served(&broker, "/one/");
}
