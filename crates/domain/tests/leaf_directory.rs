//! The leaf directory: deltas, identities and versions.

use gingerkeel_domain::directory::{DirectoryVersion, LeafAvailability, LeafDirectory, ListedLeaf};
use gingerkeel_domain::identifiers::{LeafIdentity, ServiceName, SoftwareVersion, ZoneName};
use rstest::rstest;

fn leaf(identity: &str, port: u16) -> ListedLeaf {
    ListedLeaf {
        identity: LeafIdentity::new(identity),
        service: ServiceName::new("s"),
        address: ([127, 0, 0, 1], port).into(),
        zone: ZoneName::new("z"),
        slots: 4,
        availability: LeafAvailability::Ready,
        cold_ms: 0,
        version: SoftwareVersion::default(),
    }
}

fn listing(leaves: &[ListedLeaf]) -> LeafDirectory {
    let mut directory = LeafDirectory::default();
    let delta = directory.delta_to(leaves).expect("a first list");
    assert!(directory.apply(&delta));
    directory
}

#[test]
fn the_first_list_is_a_delta_even_if_it_is_empty() {
    let directory = listing(&[]);
    assert_eq!(directory.version(), DirectoryVersion(1));
    assert_eq!(directory.delta_to(&[]), None);
}

#[test]
fn a_delta_contains_only_changed_entries() {
    let directory = listing(&[leaf("a", 1), leaf("b", 2), leaf("c", 3)]);
    let leaving = ListedLeaf { availability: LeafAvailability::Leaving, ..leaf("b", 2) };
    let delta = directory.delta_to(&[leaf("a", 1), leaving.clone()]).expect("a change");
    assert_eq!(delta.changed, vec![leaving]);
    assert_eq!(delta.gone, vec![LeafIdentity::new("c")]);
}

#[test]
fn a_reused_address_belongs_to_another_leaf() {
    let mut directory = listing(&[leaf("a", 1)]);
    let delta = directory.delta_to(&[leaf("new", 1)]).expect("a change");
    assert!(directory.apply(&delta));
    let identities: Vec<&LeafIdentity> = directory.leaves().keys().collect();
    assert_eq!(identities, vec![&LeafIdentity::new("new")]);
}

#[test]
fn a_delta_of_another_version_is_not_applied() {
    let mut directory = listing(&[leaf("a", 1)]);
    let late = directory.delta_to(&[]).expect("a change");
    let first = directory.delta_to(&[leaf("a", 1), leaf("b", 2)]).expect("a change");
    assert!(directory.apply(&first));
    assert!(!directory.apply(&late));
    assert_eq!(directory.leaves().len(), 2);
    assert_eq!(directory.version(), DirectoryVersion(2));
}

/// Remaining warm-up time before and now, and whether the difference is replicated.
#[rstest]
#[case::warm_still(0, 0, false)]
#[case::turned_cold(0, 2_500, true)]
#[case::time_has_passed(2_500, 1_100, false)]
#[case::turned_cold_again(1_100, 2_900, true)]
#[case::warm_now(1_100, 0, true)]
fn only_a_leaf_that_turns_cold_or_warm_has_changed(
    #[case] before: u64,
    #[case] now: u64,
    #[case] is_changed: bool,
) {
    let cold = |cold_ms| ListedLeaf { cold_ms, ..leaf("a", 1) };
    let directory = listing(&[cold(before)]);
    assert_eq!(directory.delta_to(&[cold(now)]).is_some(), is_changed);
}
