//! Fleets that are launched at the same time get addresses of their own.

use std::collections::BTreeSet;
use std::thread;

use gingerkeel_rehearsal::fleet::free_addresses;

/// Fleets at the same time, and addresses of each: enough that a port is drawn twice.
const FLEETS: usize = 16;
const ADDRESSES: usize = 300;

#[test]
fn no_address_is_given_out_twice() {
    let searches: Vec<_> =
        (0..FLEETS).map(|_| thread::spawn(|| free_addresses(ADDRESSES))).collect();
    let mut given = BTreeSet::new();
    for search in searches {
        let addresses = search.join().expect("the search ends").expect("ports are free");
        assert_eq!(addresses.len(), ADDRESSES);
        given.extend(addresses);
    }
    assert_eq!(given.len(), FLEETS * ADDRESSES);
}
