//! Address reuse: a leaf ends, and a leaf of another service takes its address while the directory
//! still lists the ended leaf.
//!
//! `crates/simulation/tests/taken_addresses.rs` has the failures without the rules.

mod support;

use std::thread::sleep;
use std::time::{Duration, Instant};

use rstest::rstest;
use support::leaf::{LeafAction, ScriptedLeaf, response};
use support::routed::{RoutedBroker, honest, reply};

/// Minimum time between the end of a leaf and the reuse of its address.
const ADDRESS_REUSE: Duration = Duration::from_millis(2_000);
/// How long requests continue afterwards: longer than an ejection.
const REQUESTS_AFTER_REUSE: Duration = Duration::from_millis(2_500);
/// Interval of the requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);

fn send_requests(broker: &RoutedBroker, span: Duration) {
    let begun = Instant::now();
    while begun.elapsed() < span {
        assert_eq!(broker.get("/one/").status, 200);
        sleep(REQUEST_INTERVAL);
    }
}

/// A leaf at the address of an ended one; it rejects requests for the ended leaf.
fn successor_of(ended: &ScriptedLeaf) -> ScriptedLeaf {
    let refusal = |_: &_| LeafAction::Send(response(421, "gingerkeel-not-executed: 1\r\n", b""));
    ScriptedLeaf::for_all_at(ended.address, refusal)
}

/// The near leaf ends and the far one serves.
#[rstest]
#[case::asked_all_the_time(Duration::ZERO)]
#[case::asked_once_before_its_address_is_taken(ADDRESS_REUSE)]
fn no_request_reaches_a_leaf_at_a_reused_address(#[case] silence: Duration) {
    let near = ScriptedLeaf::for_all(|request| LeafAction::Send(reply(request, "near", b"body")));
    let far = honest("far", b"body");
    let broker = RoutedBroker::start(&[near.address, far.address], &[]);
    send_requests(&broker, Duration::from_millis(200));
    assert!(!near.requests().is_empty(), "the near leaf was not asked");
    near.end();
    sleep(silence);
    send_requests(&broker, ADDRESS_REUSE.saturating_sub(silence).max(REQUEST_INTERVAL));
    let successor = successor_of(&near);
    send_requests(&broker, REQUESTS_AFTER_REUSE);
    assert_eq!(successor.requests().len(), 0);
}
