//! Readings of the external leaf directory with unusable entries.

use std::time::Duration;

use gingerkeel_domain::directory::{
    DirectoryReading, EntryFault, HOLD_PERIOD, HeldLeaves, LeafAvailability, LeafDirectory,
    ListedLeaf, RejectedEntry,
};
use gingerkeel_domain::identifiers::{LeafIdentity, ServiceName, SoftwareVersion, ZoneName};
use gingerkeel_domain::time::Timestamp;
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

fn rejected_entry(leaf: Option<&str>) -> RejectedEntry {
    RejectedEntry { leaf: leaf.map(LeafIdentity::new), fault: EntryFault::Malformed }
}

/// A reading with these leaves, and with rejected entries of these identities.
fn reading(leaves: &[&str], unusable: &[Option<&str>]) -> DirectoryReading {
    let mut reading = DirectoryReading::default();
    leaves.iter().for_each(|name| reading.add(leaf(name, 1)));
    unusable.iter().for_each(|name| reading.reject(rejected_entry(*name)));
    reading
}

fn known(leaves: &[&str]) -> LeafDirectory {
    let listed: Vec<ListedLeaf> = leaves.iter().map(|name| leaf(name, 1)).collect();
    let mut directory = LeafDirectory::default();
    let delta = directory.delta_to(&listed).expect("a first list");
    assert!(directory.apply(&delta));
    directory
}

fn names(listed: &[ListedLeaf]) -> Vec<&str> {
    let mut names: Vec<&str> = listed.iter().map(|leaf| leaf.identity.as_str()).collect();
    names.sort_unstable();
    names
}

fn at(span: Duration) -> Timestamp {
    Timestamp::ZERO.after(span)
}

/// A rejected entry must not remove a known leaf. `a` and `b` are known before the reading.
#[rstest]
#[case::all_are_there(&["a", "b"], &[], &["a", "b"])]
#[case::one_has_ended(&["a"], &[], &["a"])]
#[case::its_entry_cannot_be_used(&["a"], &[Some("b")], &["a", "b"])]
#[case::an_entry_names_none(&["a"], &[None], &["a", "b"])]
#[case::an_entry_names_another(&["a"], &[Some("c")], &["a"])]
#[case::a_new_leaf_is_not_held(&["a", "b"], &[Some("c"), None], &["a", "b"])]
fn a_leaf_with_a_rejected_entry_stays_listed(
    #[case] leaves: &[&str],
    #[case] unusable: &[Option<&str>],
    #[case] expected: &[&str],
) {
    let mut held = HeldLeaves::default();
    let listed = held.listed(Timestamp::ZERO, &known(&["a", "b"]), reading(leaves, unusable));
    assert_eq!(names(&listed), expected);
}

#[test]
fn a_leaf_is_held_for_the_hold_period_only() {
    let mut held = HeldLeaves::default();
    let directory = known(&["a", "b"]);
    let unusable = || reading(&["a"], &[Some("b")]);
    assert_eq!(held.listed(at(Duration::ZERO), &directory, unusable()).len(), 2);
    let almost = at(HOLD_PERIOD - Duration::from_millis(1));
    assert_eq!(held.listed(almost, &directory, unusable()).len(), 2);
    assert_eq!(names(&held.listed(at(HOLD_PERIOD), &directory, unusable())), ["a"]);
}

#[test]
fn a_usable_entry_restarts_the_hold_period() {
    let mut held = HeldLeaves::default();
    let directory = known(&["a", "b"]);
    held.listed(Timestamp::ZERO, &directory, reading(&["a"], &[Some("b")]));
    held.listed(at(HOLD_PERIOD / 2), &directory, reading(&["a", "b"], &[]));
    assert_eq!(held.count(), 0);
    let listed = held.listed(at(HOLD_PERIOD), &directory, reading(&["a"], &[Some("b")]));
    assert_eq!(names(&listed), ["a", "b"]);
}

/// A permanently rejected entry without identity must not hold every leaf that terminates later.
#[test]
fn a_leaf_that_terminates_beside_a_permanently_rejected_entry_is_removed_at_once() {
    let mut held = HeldLeaves::default();
    let directory = known(&["a", "b"]);
    assert_eq!(held.listed(at(Duration::ZERO), &directory, reading(&["a", "b"], &[None])).len(), 2);
    let listed = held.listed(at(Duration::from_secs(1)), &directory, reading(&["a"], &[None]));
    assert_eq!(names(&listed), ["a"]);
}

#[test]
fn entries_with_one_identity_and_two_addresses_are_rejected() {
    let mut reading = reading(&["a", "b"], &[]);
    reading.add(leaf("b", 2));
    reading.add(leaf("b", 1));
    let faults: Vec<_> = reading.faults().into_iter().collect();
    assert_eq!(faults, [(EntryFault::Contradicted, 1)]);
    let listed = HeldLeaves::default().listed(Timestamp::ZERO, &LeafDirectory::default(), reading);
    assert_eq!(names(&listed), ["a"]);
}

/// Pages are read one after another, so a leaf may occur on two pages with different states.
#[test]
fn the_last_entry_of_a_leaf_on_two_pages_wins() {
    let mut reading = reading(&["a"], &[]);
    reading.add(ListedLeaf { availability: LeafAvailability::Leaving, ..leaf("a", 1) });
    let listed = HeldLeaves::default().listed(Timestamp::ZERO, &LeafDirectory::default(), reading);
    assert_eq!(listed.len(), 1);
    assert_eq!(listed[0].availability, LeafAvailability::Leaving);
}

/// The address of a terminated leaf may be reassigned while the directory still lists that leaf.
#[test]
fn two_leaves_at_one_address_are_both_listed() {
    let listed = HeldLeaves::default().listed(
        Timestamp::ZERO,
        &LeafDirectory::default(),
        reading(&["a", "b"], &[]),
    );
    assert_eq!(names(&listed), ["a", "b"]);
}
