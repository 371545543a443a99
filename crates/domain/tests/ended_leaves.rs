//! A terminated leaf is distinguished from a slow one, and requests that reached a new owner of its
//! address are charged to that service's extra-load budget.
//!
//! The failure that this guards against is reproduced in
//! `crates/simulation/tests/taken_addresses.rs`.

use std::net::SocketAddr;
use std::time::Duration;

use gingerkeel_domain::directory::{LeafAvailability, ListedLeaf};
use gingerkeel_domain::forwarding::{
    Connectivity, Distance, Exclusion, ExtraLoadBudget, ExtraLoadSettings, ExtraLoadShare,
    MisdirectedRequests, NoLeafReason, Outcome, ReplicaSet, ReplicaSettings, Selection,
};
use gingerkeel_domain::identifiers::{LeafIdentity, ServiceName, SoftwareVersion, ZoneName};
use gingerkeel_domain::time::Timestamp;
use rstest::rstest;

const WINDOW: Duration = Duration::from_secs(10);
/// One broker may accumulate two extra requests, which it earns with four requests.
const BUDGET: ExtraLoadSettings = ExtraLoadSettings { ratio: 0.5, window: WINDOW, slack: 2.0 };

fn at(milliseconds: u64) -> Timestamp {
    Timestamp::from_micros(milliseconds * 1_000)
}

fn address(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

fn leaf(name: &str) -> ListedLeaf {
    ListedLeaf {
        identity: LeafIdentity::new(name),
        service: ServiceName::new("s"),
        address: address(1),
        zone: ZoneName::new("z"),
        slots: 4,
        availability: LeafAvailability::Ready,
        cold_ms: 0,
        version: SoftwareVersion::default(),
    }
}

/// An observation of a leaf by a broker.
#[derive(Debug, Clone, Copy)]
enum Seen {
    Replies,
    RefusesWork,
    IsLate,
    Fails,
    RefusesConnection,
    TakesConnection,
    TakesNoConnectionOfACheck,
}

fn see(set: &mut ReplicaSet, milliseconds: u64, name: &str, seen: Seen) {
    let (now, identity, settings) =
        (at(milliseconds), LeafIdentity::new(name), ReplicaSettings::default());
    let outcome = match seen {
        Seen::Replies => Outcome::Answered(Duration::from_millis(10)),
        Seen::RefusesWork => Outcome::Rejected,
        Seen::Fails => Outcome::Failed,
        Seen::RefusesConnection => Outcome::ConnectionRefused,
        Seen::IsLate => return set.mark_late(now, &settings, &identity),
        Seen::TakesConnection => return set.record_connection_accepted(now, &settings, &identity),
        Seen::TakesNoConnectionOfACheck => return set.record_connection_refused(&identity),
    };
    set.begin(&identity);
    set.finish(now, &settings, &identity, outcome);
}

/// Two leaves, listed at the start, of which the far one replies.
fn two_leaves() -> ReplicaSet {
    let mut set = ReplicaSet::default();
    set.list(at(0), &leaf("near"), Distance::Zone);
    set.list(at(0), &leaf("far"), Distance::Far);
    see(&mut set, 0, "far", Seen::Replies);
    set
}

fn select(set: &ReplicaSet, milliseconds: u64) -> Selection {
    let reach = |_: &LeafIdentity| Ok(Connectivity::Idle);
    set.choose(at(milliseconds), &ReplicaSettings::default(), &[], reach, || 0.0)
}

/// Whether the near leaf, the only one allowed, is excluded because it is presumed to have
/// terminated.
fn is_presumed_ended(set: &ReplicaSet, milliseconds: u64) -> bool {
    let reach = |leaf: &LeafIdentity| match leaf.as_str() {
        "near" => Ok(Connectivity::Idle),
        _ => Err(Exclusion::RegionNotAllowed),
    };
    let reason = NoLeafReason::Excluded(Exclusion::PresumedEnded);
    let selection = set.choose(at(milliseconds), &ReplicaSettings::default(), &[], reach, || 0.0);
    selection == Selection::NoLeaf(reason)
}

/// Observations of the near leaf with their times in milliseconds, and whether it is then presumed
/// to have terminated.
#[rstest]
#[case::refuses_connections_after_replies(&[(0, Seen::Replies), (100, Seen::RefusesConnection)], 101, true)]
#[case::refused_work_before(&[(0, Seen::RefusesWork), (100, Seen::RefusesConnection)], 101, true)]
#[case::has_just_been_listed(&[(100, Seen::RefusesConnection)], 101, false)]
#[case::was_listed_long_ago(&[(100, Seen::RefusesConnection)], 2_000, true)]
#[case::misses_for_a_moment(&[(0, Seen::Replies), (100, Seen::IsLate), (900, Seen::IsLate)], 1_900, false)]
#[case::misses_for_long(&[(0, Seen::Replies), (100, Seen::IsLate), (900, Seen::IsLate)], 2_000, true)]
#[case::misses_once_and_is_silent(&[(0, Seen::Replies), (100, Seen::IsLate)], 2_000, true)]
#[case::is_slow(&[(0, Seen::Replies), (100, Seen::IsLate), (300, Seen::TakesConnection)], 5_000, false)]
#[case::another_one_takes_the_connection(&[(0, Seen::Replies), (100, Seen::IsLate), (2_100, Seen::TakesConnection)], 2_101, true)]
#[case::is_rarely_asked(&[(0, Seen::Replies), (9_000, Seen::IsLate)], 9_900, false)]
#[case::is_rarely_asked_and_slow(&[(0, Seen::Replies), (9_000, Seen::IsLate), (9_300, Seen::TakesConnection)], 10_500, false)]
#[case::is_rarely_asked_and_silent(&[(0, Seen::Replies), (9_000, Seen::IsLate)], 10_000, true)]
#[case::fails_and_is_silent(&[(0, Seen::Replies), (100, Seen::Fails)], 2_000, true)]
#[case::refuses_a_check(&[(0, Seen::Replies), (100, Seen::IsLate), (300, Seen::TakesNoConnectionOfACheck)], 301, true)]
#[case::replies_again(&[(0, Seen::Replies), (100, Seen::RefusesConnection), (200, Seen::Replies)], 201, false)]
#[case::refuses_work_since(&[(0, Seen::Replies), (100, Seen::IsLate), (900, Seen::IsLate), (950, Seen::RefusesWork)], 2_900, false)]
#[case::the_list_had_its_time(&[(0, Seen::Replies), (100, Seen::RefusesConnection)], 10_101, false)]
#[case::misses_again_then(&[(0, Seen::Replies), (100, Seen::IsLate), (10_200, Seen::IsLate)], 11_300, true)]
fn a_leaf_that_stopped_replying_is_presumed_to_have_terminated(
    #[case] seen: &[(u64, Seen)],
    #[case] now: u64,
    #[case] ended: bool,
) {
    let mut set = two_leaves();
    for (when, what) in seen {
        see(&mut set, *when, "near", *what);
    }
    assert_eq!(is_presumed_ended(&set, now), ended);
}

/// A leaf with a late reply is probed with a connection at once and then every second, until it
/// responds or is presumed to have terminated, which is reported once.
#[test]
fn a_late_leaf_is_probed() {
    let mut set = two_leaves();
    let look = |set: &mut ReplicaSet, milliseconds| {
        let found = set.check_unresponsive(at(milliseconds), &ReplicaSettings::default());
        (found.to_check.len(), found.presumed_ended.len())
    };
    see(&mut set, 0, "near", Seen::Replies);
    assert_eq!(look(&mut set, 50), (0, 0));
    see(&mut set, 100, "near", Seen::IsLate);
    assert_eq!(
        [150, 350, 1_100, 1_150].map(|now| look(&mut set, now)),
        [(1, 0), (0, 0), (0, 0), (1, 0)]
    );
    see(&mut set, 1_200, "near", Seen::TakesConnection);
    assert_eq!(look(&mut set, 2_400), (0, 0));
    see(&mut set, 2_500, "near", Seen::IsLate);
    assert_eq!([2_550, 3_500, 3_600].map(|now| look(&mut set, now)), [(1, 0), (0, 1), (0, 0)]);
    see(&mut set, 3_700, "near", Seen::Replies);
    assert_eq!(look(&mut set, 9_000), (0, 0));
}

/// A leaf that is presumed to have terminated is skipped, and no connection to it is kept open.
#[test]
fn other_leaves_are_asked_instead() {
    let mut set = two_leaves();
    see(&mut set, 0, "near", Seen::Replies);
    see(&mut set, 100, "near", Seen::RefusesConnection);
    let near = LeafIdentity::new("near");
    assert!(matches!(select(&set, 101), Selection::Ask(choice) if choice.leaf != near));
    assert!(!set.is_in_service(&near, at(101), &ReplicaSettings::default()));
}

/// If no leaf replies, the broker's own link may be the cause, so it continues to ask.
#[test]
fn leaves_are_asked_if_all_seem_to_have_terminated() {
    let mut set = two_leaves();
    for name in ["near", "far"] {
        see(&mut set, 0, name, Seen::Replies);
        see(&mut set, 100, name, Seen::RefusesConnection);
    }
    assert!(matches!(select(&set, 101), Selection::Ask(_)));
    set.list(
        at(0),
        &ListedLeaf { availability: LeafAvailability::Leaving, ..leaf("leaving") },
        Distance::Zone,
    );
    assert!(matches!(select(&set, 101), Selection::Ask(_)));
}

#[test]
fn misdirected_requests_are_kept_until_a_leaf_is_known_at_the_address() {
    let mut misdirected = MisdirectedRequests::default();
    misdirected.arrived(at(0), address(1));
    misdirected.arrived(at(5_000), address(1));
    misdirected.arrived(at(6_000), address(1));
    misdirected.arrived(at(6_000), address(2));
    assert_eq!(misdirected.take(at(7_000), WINDOW, address(3)), 0);
    // The first request is outside the budget's window.
    assert_eq!(misdirected.take(at(10_000), WINDOW, address(1)), 2);
    assert_eq!(misdirected.take(at(10_000), WINDOW, address(1)), 0);
    assert_eq!(misdirected.take(at(16_000), WINDOW, address(2)), 0);
}

/// Misdirected requests replace as many extra requests, even beyond the budget.
#[rstest]
#[case::room(4, 1)]
#[case::as_much_as_there_is(4, 2)]
#[case::no_room(4, 3)]
fn misdirected_requests_are_charged_to_the_budget(#[case] requests: u32, #[case] covered: u32) {
    let share = ExtraLoadShare::of(&BUDGET, 1);
    let mut budget = ExtraLoadBudget::default();
    (0..requests).for_each(|_| budget.earn(&share, at(0)));
    (0..covered).for_each(|_| budget.cover(&share, at(0)));
    let taken = (0..10).filter(|_| budget.take(&share, at(0))).count();
    assert_eq!(taken as u32, (requests / 2).saturating_sub(covered));
    // The excess over the budget is deducted from later earnings.
    (0..requests).for_each(|_| budget.earn(&share, at(0)));
    let taken_later = (0..10).filter(|_| budget.take(&share, at(0))).count();
    assert_eq!((taken + taken_later) as u32, requests - covered);
}
