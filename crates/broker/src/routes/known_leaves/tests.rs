//! Which service is charged for a request that arrived at another leaf than the intended one.

use gingerkeel_domain::directory::{LeafAvailability, ListedLeaf};
use gingerkeel_domain::identifiers::{SoftwareVersion, ZoneName};

use super::*;
use gingerkeel_domain::forwarding::ExtraLoadSettings;

const EXTRA: ExtraLoadSettings =
    ExtraLoadSettings { ratio: 1.0, window: Duration::from_secs(10), slack: 3.0 };

/// The share of a single broker: three requests earn three extra requests.
fn share() -> ExtraLoadShare {
    ExtraLoadShare::of(&EXTRA, 1)
}

fn leaf(name: &str, service: &str, port: u16) -> ListedLeaf {
    ListedLeaf {
        identity: LeafIdentity::new(name),
        service: ServiceName::new(service),
        address: ([127, 0, 0, 1], port).into(),
        zone: ZoneName::new("z"),
        slots: 1,
        availability: LeafAvailability::Ready,
        cold_ms: 0,
        version: SoftwareVersion::default(),
    }
}

/// Leaves with this directory, after three requests for each of their services.
fn known(listed: &[ListedLeaf]) -> Leaves {
    let mut leaves = Leaves::default();
    let delta = leaves.directory.delta_to(listed).expect("a first list");
    leaves.directory.apply(&delta);
    for leaf in listed {
        let service = leaves.services.entry(leaf.service.clone()).or_default();
        (0..3).for_each(|_| service.extra.earn(&share(), Timestamp::ZERO));
    }
    leaves
}

/// Number of extra requests that a service may still send.
fn left(leaves: &mut Leaves, service: &str) -> usize {
    let service = ServiceName::new(service);
    let state = leaves.services.get_mut(&service).expect("a service");
    (0..9).filter(|_| state.extra.take(&share(), Timestamp::ZERO)).count()
}

#[test]
fn the_service_of_the_leaf_that_has_the_address_pays() {
    let (ended, newer) = (leaf("ended", "meant", 1), leaf("newer", "other", 1));
    let mut leaves = known(&[ended.clone(), newer, leaf("third", "third", 2)]);
    leaves.cover_misdirected(Timestamp::ZERO, &share(), &ended.identity);
    let services = ["meant", "other", "third"];
    assert_eq!(services.map(|service| left(&mut leaves, service)), [3, 2, 3]);
}

#[test]
fn while_the_list_names_no_other_leaf_there_the_request_is_kept() {
    let ended = leaf("ended", "meant", 1);
    let mut leaves = known(std::slice::from_ref(&ended));
    leaves.cover_misdirected(Timestamp::ZERO, &share(), &ended.identity);
    assert_eq!(left(&mut leaves, "meant"), 3);
    assert_eq!(leaves.misdirected.take(Timestamp::ZERO, EXTRA.window, ended.address), 1);
}
