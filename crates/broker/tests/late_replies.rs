//! Leaves that repeat a reply later, on the connection on which the next request is sent.
//!
//! A late reply must not pass for the reply to a later request: neither as a rejection, after which a
//! request is sent to another leaf although this one runs it, nor as an answer.

mod support;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::Duration;

use rstest::rstest;
use support::leaf::{LeafAction, LeafRequest, ScriptedLeaf, response};
use support::routed::{RoutedBroker, reply, request};

/// Time after a reply at which a leaf repeats it: after the broker has asked all leaves again.
const LATER: Duration = Duration::from_millis(30);
/// Time that a request takes: longer than the broker waits before it asks another leaf.
const WORK: Duration = Duration::from_millis(150);

/// How often requests ran, over all leaves.
#[derive(Clone, Default)]
struct Runs(Arc<Mutex<BTreeMap<String, usize>>>);

impl Runs {
    /// Runs the request and returns the reply.
    fn run(&self, request: &LeafRequest) -> LeafAction {
        let id = request.header("gingerkeel-request-id").to_owned();
        *self.0.lock().expect("no panic").entry(id).or_default() += 1;
        sleep(WORK);
        LeafAction::Send(reply(request, "ran", b"ran"))
    }

    fn most(&self) -> usize {
        self.0.lock().expect("no panic").values().copied().max().unwrap_or_default()
    }
}

fn rejection(request: &LeafRequest) -> Vec<u8> {
    let id = request.header("gingerkeel-request-id");
    let headers = format!("gingerkeel-request-id: {id}\r\ngingerkeel-not-executed: 1\r\n");
    response(503, &headers, b"full")
}

/// A leaf that rejects the first sending of each request, repeats the rejection and runs the next.
fn full_at_first(runs: &Runs) -> ScriptedLeaf {
    let runs = runs.clone();
    let arrivals: Mutex<BTreeMap<String, usize>> = Mutex::default();
    ScriptedLeaf::for_all(move |request| {
        let id = request.header("gingerkeel-request-id").to_owned();
        let mut arrivals = arrivals.lock().expect("no panic");
        let arrival = arrivals.entry(id).or_default();
        *arrival += 1;
        if *arrival == 1 {
            return LeafAction::SendWithLater(rejection(request), LATER, rejection(request));
        }
        drop(arrivals);
        runs.run(request)
    })
}

/// Guards against a request that runs on several leaves, since a rejection that a leaf repeats passes
/// for the rejection of the second sending.
#[rstest]
#[case::not_repeatable("/once/", 3)]
#[case::repeatable_without_hedges("/one/", 1)]
fn repeated_rejection_is_not_taken_for_the_reply_to_a_second_sending(
    #[case] path: &str,
    #[case] leaves: usize,
) {
    let runs = Runs::default();
    let leaves: Vec<ScriptedLeaf> = (0..leaves).map(|_| full_at_first(&runs)).collect();
    let addresses: Vec<SocketAddr> = leaves.iter().map(|leaf| leaf.address).collect();
    let broker = RoutedBroker::start(&addresses, &[]);
    let mut caller = broker.caller();
    for number in 0..4 {
        let id = format!("gingerkeel-request-id: own-{number}");
        caller.send(request(path, "5000").replace("gingerkeel-request-id: r1", &id).as_bytes());
        let answer = caller.receive().expect("an answer");
        assert_eq!((answer.status, answer.body.as_str()), (200, "ran"));
    }
    assert_eq!(runs.most(), 1, "no request runs twice");
}

/// Guards against a request that runs on several leaves, or an answer of another request, when a late
/// reply names no request.
#[rstest]
#[case::rejection(response(503, "gingerkeel-not-executed: 1\r\n", b"full"))]
#[case::failure(response(500, "", b"of another request"))]
fn late_reply_without_an_id_is_not_taken_for_the_reply_to_the_next_request(#[case] late: Vec<u8>) {
    let runs = Runs::default();
    let counted = runs.clone();
    let leaf = ScriptedLeaf::for_all(move |request| {
        if request.header("gingerkeel-request-id") == "first" {
            return LeafAction::Send(reply(request, "first", b"first"));
        }
        counted.run(request);
        LeafAction::Send([late.clone(), reply(request, "ran", b"ran")].concat())
    });
    let broker = RoutedBroker::start(&[leaf.address], &[]);
    let mut caller = broker.caller();
    caller.send(request("/one/", "5000").replace("request-id: r1", "request-id: first").as_bytes());
    assert_eq!(caller.receive().expect("an answer").body, "first");
    let answer = broker.get("/once/");
    assert_eq!(answer.status, 502, "{}", answer.body);
    assert_ne!(answer.body, "of another request");
    assert_eq!(runs.most(), 1, "no request runs twice");
}
