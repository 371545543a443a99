//! Leaves that start again under the name that they had.

mod support;

use std::net::SocketAddr;

use gingerkeel_domain::directory::{LeafDirectory, LeafStart, ListedLeaf};
use gingerkeel_domain::identifiers::LeafIdentity;
use support::routed::{RoutedBroker, configuration, directory, honest};

/// A list of one leaf that tells its start.
fn started(address: SocketAddr, start: u64) -> LeafDirectory {
    let listed = directory(&[address], &[]);
    let run = |leaf: &ListedLeaf| ListedLeaf {
        identity: LeafIdentity::of_run(leaf.identity.as_str(), Some(LeafStart(start))),
        ..leaf.clone()
    };
    let leaves: Vec<ListedLeaf> = listed.leaves().values().map(run).collect();
    let mut directory = LeafDirectory::default();
    let delta = directory.delta_to(&leaves).expect("a first list");
    assert!(directory.apply(&delta));
    directory
}

/// A leaf knows itself by its name, whenever it started.
#[test]
fn a_leaf_is_asked_by_its_name() {
    let leaf = honest("stamp", b"body");
    let broker = RoutedBroker::start_with(&configuration(0), &started(leaf.address, 7));
    assert_eq!(broker.get("/one/").status, 200);
    assert_eq!(leaf.requests()[0].header("gingerkeel-leaf"), "single-0");
}
