//! A leaf ends, and a leaf of another service gets its address while the list goes on naming the ended one.
//!
//! What goes wrong without the rules, and how it was found: `crates/simulation/tests/taken_addresses.rs`.

mod support;

use std::thread::sleep;
use std::time::{Duration, Instant};

use rstest::rstest;
use support::leaf::{LeafAction, ScriptedLeaf, response};
use support::routed::{RoutedBroker, honest, reply};

/// Time after the end of a leaf from which on another one may have its address.
const ADDRESS_REUSE: Duration = Duration::from_millis(2_000);
/// Time for which callers go on asking after that: an ejection is over by then.
const ASKED_AFTER: Duration = Duration::from_millis(2_500);
/// Time between two requests.
const BETWEEN_REQUESTS: Duration = Duration::from_millis(20);

fn ask_for(broker: &RoutedBroker, span: Duration) {
    let begun = Instant::now();
    while begun.elapsed() < span {
        assert_eq!(broker.get("/one/").status, 200);
        sleep(BETWEEN_REQUESTS);
    }
}

/// A leaf that has the address of another one, and runs nothing that is meant for that.
fn successor_of(ended: &ScriptedLeaf) -> ScriptedLeaf {
    let refusal = |_: &_| LeafAction::Send(response(421, "gingerkeel-not-executed: 1\r\n", b""));
    ScriptedLeaf::for_all_at(ended.address, refusal)
}

/// The near leaf ends; the far one serves.
#[rstest]
#[case::asked_all_the_time(Duration::ZERO)]
#[case::asked_once_before_its_address_is_taken(ADDRESS_REUSE)]
fn no_request_reaches_the_leaf_that_has_the_address_of_an_ended_one(#[case] silence: Duration) {
    let near = ScriptedLeaf::for_all(|request| LeafAction::Send(reply(request, "near", b"body")));
    let far = honest("far", b"body");
    let broker = RoutedBroker::start(&[near.address, far.address], &[]);
    ask_for(&broker, Duration::from_millis(200));
    assert!(!near.requests().is_empty(), "the near leaf was not asked");
    near.end();
    sleep(silence);
    ask_for(&broker, ADDRESS_REUSE.saturating_sub(silence).max(BETWEEN_REQUESTS));
    let successor = successor_of(&near);
    ask_for(&broker, ASKED_AFTER);
    assert_eq!(successor.requests().len(), 0);
}
