//! Leaves that restart under the same name.

mod support;

use std::net::SocketAddr;

use gingerkeel_domain::directory::{LeafDirectory, LeafStart, ListedLeaf};
use gingerkeel_domain::identifiers::LeafIdentity;
use support::routed::{RoutedBroker, configuration, directory, honest};

/// A directory of one leaf with its start number.
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

/// A leaf checks requests against its name, which a restart does not change.
#[test]
fn request_names_the_leaf_without_its_start() {
    let leaf = honest("stamp", b"body");
    let broker = RoutedBroker::start_with(&configuration(0), &started(leaf.address, 7));
    assert_eq!(broker.get("/one/").status, 200);
    assert_eq!(leaf.requests()[0].header("gingerkeel-leaf"), "single-0");
}
