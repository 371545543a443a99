//! Selection of leaves, connection shares, merging and weighted splits.

use rand_core::RngCore;
use rand_pcg::Pcg64;
use std::time::Duration;

use gingerkeel_domain::directory::{LeafAvailability, ListedLeaf};
use gingerkeel_domain::forwarding::{
    Connectivity, Distance, Exclusion, GreatestRecords, NoLeafReason, Outcome, RECORD_BYTES,
    ReplicaSet, ReplicaSettings, Selection, SharingBrokers, SplitSequence, connection_share,
};
use gingerkeel_domain::identifiers::{LeafIdentity, ServiceName, SoftwareVersion, ZoneName};
use gingerkeel_domain::routes::WeightedService;
use gingerkeel_domain::time::Timestamp;
use proptest::prelude::*;
use rstest::rstest;

fn identity(name: &str) -> LeafIdentity {
    LeafIdentity::new(name)
}

fn leaf(name: &str) -> ListedLeaf {
    ListedLeaf {
        identity: identity(name),
        service: ServiceName::new("s"),
        address: ([127, 0, 0, 1], 1).into(),
        zone: ZoneName::new("z"),
        slots: 4,
        availability: LeafAvailability::Ready,
        cold_ms: 0,
        version: SoftwareVersion::default(),
    }
}

fn at(milliseconds: u64) -> Timestamp {
    Timestamp::from_micros(milliseconds * 1_000)
}

/// One leaf in the zone of the broker, two far away.
fn three_leaves() -> ReplicaSet {
    let mut set = ReplicaSet::default();
    set.list(at(0), &leaf("near"), Distance::Zone);
    set.list(at(0), &leaf("far-1"), Distance::Far);
    set.list(at(0), &leaf("far-2"), Distance::Far);
    set
}

fn chosen(set: &ReplicaSet, now: Timestamp, tried: &[LeafIdentity]) -> Option<String> {
    asked(&select(set, now, tried, |_| Connectivity::Idle))
}

fn select(
    set: &ReplicaSet,
    now: Timestamp,
    tried: &[LeafIdentity],
    connectivity: impl Fn(&LeafIdentity) -> Connectivity,
) -> Selection {
    set.choose(now, &ReplicaSettings::default(), tried, |leaf| Ok(connectivity(leaf)), || 0.0)
}

fn asked(selection: &Selection) -> Option<String> {
    match selection {
        Selection::Ask(choice) => Some(choice.leaf.as_str().to_owned()),
        Selection::Wait { .. } | Selection::NoLeaf(_) => None,
    }
}

fn answered(set: &mut ReplicaSet, now: Timestamp, name: &str, milliseconds: u64) {
    let latency = Duration::from_millis(milliseconds);
    set.begin(&identity(name));
    set.finish(now, &ReplicaSettings::default(), &identity(name), Outcome::Answered(latency));
}

#[test]
fn the_own_zone_is_preferred_and_a_tried_leaf_is_not_asked_again() {
    let set = three_leaves();
    assert_eq!(chosen(&set, at(0), &[]).as_deref(), Some("near"));
    assert_ne!(chosen(&set, at(0), &[identity("near")]).as_deref(), Some("near"));
    let all = [identity("near"), identity("far-1"), identity("far-2")];
    assert_eq!(chosen(&set, at(0), &all), None);
}

#[test]
fn of_far_leaves_one_with_a_connection_is_preferred() {
    let set = three_leaves();
    let chosen = |warm: &str| {
        let connectivity = |leaf: &LeafIdentity| match leaf.as_str() == warm {
            true => Connectivity::Idle,
            false => Connectivity::Openable,
        };
        asked(&select(&set, at(0), &[identity("near")], connectivity))
    };
    assert_eq!(chosen("far-1").as_deref(), Some("far-1"));
    assert_eq!(chosen("far-2").as_deref(), Some("far-2"));
}

/// Connections to all leaves but one are exhausted.
fn only(open: &'static str) -> impl Fn(&LeafIdentity) -> Connectivity {
    move |leaf| match leaf.as_str() == open {
        true => Connectivity::Idle,
        false => Connectivity::Exhausted,
    }
}

#[test]
fn waiting_for_a_healthy_leaf_is_preferred_to_asking_a_late_one() {
    let mut set = three_leaves();
    set.begin(&identity("far-1"));
    set.mark_late(at(0), &ReplicaSettings::default(), &identity("far-1"));
    let Selection::Wait { otherwise } = select(&set, at(10), &[], only("far-1")) else {
        panic!("a sound leaf is worth waiting for");
    };
    let otherwise = otherwise.expect("a leaf for those who cannot wait");
    assert_eq!((otherwise.leaf.as_str(), otherwise.sound), ("far-1", false));
}

#[test]
fn a_healthy_leaf_with_a_connection_is_preferred_to_a_late_one_without() {
    let mut set = three_leaves();
    set.begin(&identity("near"));
    set.mark_late(at(0), &ReplicaSettings::default(), &identity("near"));
    assert_eq!(asked(&select(&set, at(10), &[], only("far-1"))).as_deref(), Some("far-1"));
}

#[test]
fn the_more_connections_to_a_near_leaf_are_in_use_the_sooner_one_is_free() {
    let settings = ReplicaSettings { far_cost: Duration::from_millis(25), ..Default::default() };
    let mut set = three_leaves();
    let select = |set: &ReplicaSet| {
        set.choose(at(0), &settings, &[], |leaf| Ok(only("far-1")(leaf)), || 0.0)
    };
    set.begin(&identity("near"));
    assert_eq!(asked(&select(&set)).as_deref(), Some("far-1"));
    set.begin(&identity("near"));
    assert!(matches!(select(&set), Selection::Wait { otherwise: Some(_) }));
}

#[test]
fn with_no_connection_to_any_leaf_one_is_waited_for() {
    let selection = select(&three_leaves(), at(0), &[], |_| Connectivity::Exhausted);
    assert_eq!(selection, Selection::Wait { otherwise: None });
}

#[test]
fn a_leaving_leaf_gets_no_new_work() {
    let mut set = three_leaves();
    set.list(
        at(0),
        &ListedLeaf { availability: LeafAvailability::Leaving, ..leaf("near") },
        Distance::Zone,
    );
    assert_ne!(chosen(&set, at(0), &[]).as_deref(), Some("near"));
}

#[test]
fn a_late_leaf_is_deprioritized_until_it_answers() {
    let settings = ReplicaSettings::default();
    let mut set = three_leaves();
    set.begin(&identity("near"));
    set.mark_late(at(50), &settings, &identity("near"));
    assert_ne!(chosen(&set, at(60), &[]).as_deref(), Some("near"));
    set.finish(at(70), &settings, &identity("near"), Outcome::Answered(Duration::from_millis(70)));
    assert_eq!(chosen(&set, at(71), &[]).as_deref(), Some("near"));
}

#[test]
fn a_late_leaf_is_probed_by_one_request_after_its_suspicion() {
    let settings = ReplicaSettings::default();
    let mut set = three_leaves();
    set.begin(&identity("near"));
    set.mark_late(at(0), &settings, &identity("near"));
    set.finish(at(10), &settings, &identity("near"), Outcome::Abandoned(Duration::ZERO));
    let over = at(11).after(settings.suspicion);
    assert_eq!(chosen(&set, over, &[]).as_deref(), Some("near"));
    set.begin(&identity("near"));
    assert_ne!(chosen(&set, over, &[]).as_deref(), Some("near"), "one at a time");
}

#[test]
fn a_leaf_that_stays_slow_is_probed_ever_more_rarely() {
    let settings = ReplicaSettings::default();
    let mut set = three_leaves();
    (0..100).for_each(|_| answered(&mut set, at(0), "far-1", 20));
    let mut tries = 0;
    for now in (0..8_000).step_by(20) {
        if chosen(&set, at(now), &[]).as_deref() == Some("near") {
            tries += 1;
            set.begin(&identity("near"));
            set.mark_late(at(now), &settings, &identity("near"));
            answered(&mut set, at(now), "far-1", 50);
            let slow = Outcome::Answered(Duration::from_millis(270));
            set.finish(at(now), &settings, &identity("near"), slow);
        }
    }
    assert!((2..=6).contains(&tries), "{tries}");
}

#[test]
fn attempts_that_wait_together_are_late_once() {
    let settings = ReplicaSettings::default();
    let mut set = three_leaves();
    for now in 0..10 {
        set.begin(&identity("near"));
        set.mark_late(at(now), &settings, &identity("near"));
    }
    for now in 10..20 {
        let outcome = Outcome::Abandoned(Duration::ZERO);
        set.finish(at(now), &settings, &identity("near"), outcome);
    }
    let over = at(20).after(settings.suspicion);
    assert_eq!(chosen(&set, over, &[]).as_deref(), Some("near"));
}

#[test]
fn a_failing_leaf_is_ejected_and_comes_back() {
    let settings = ReplicaSettings::default();
    let mut set = ReplicaSet::default();
    set.list(at(0), &leaf("only"), Distance::Zone);
    for _ in 0..2 {
        set.begin(&identity("only"));
        set.finish(at(0), &settings, &identity("only"), Outcome::Failed);
    }
    assert_eq!(chosen(&set, at(1), &[]), None);
    let over = at(1).after(settings.ejection);
    assert_eq!(chosen(&set, over, &[]).as_deref(), Some("only"));
}

#[test]
fn a_slow_near_leaf_loses_its_preference_and_regains_it() {
    let settings = ReplicaSettings::default();
    let mut set = three_leaves();
    for _ in 0..20 {
        answered(&mut set, at(0), "near", 250);
    }
    assert_ne!(chosen(&set, at(1), &[]).as_deref(), Some("near"));
    let later = at(1).after(settings.observation_decay * 5);
    assert_eq!(chosen(&set, later, &[]).as_deref(), Some("near"));
}

#[test]
fn abandoned_attempts_show_that_a_leaf_is_slow() {
    let settings = ReplicaSettings::default();
    let mut set = three_leaves();
    for _ in 0..8 {
        set.begin(&identity("near"));
        let waited = Outcome::Abandoned(Duration::from_millis(200));
        set.finish(at(0), &settings, &identity("near"), waited);
    }
    assert_ne!(chosen(&set, at(1), &[]).as_deref(), Some("near"));
}

#[test]
fn attempts_abandoned_early_are_no_samples() {
    let settings = ReplicaSettings::default();
    let mut set = three_leaves();
    for _ in 0..20 {
        set.begin(&identity("near"));
        let waited = Outcome::Abandoned(Duration::from_millis(5));
        set.finish(at(0), &settings, &identity("near"), waited);
    }
    assert_eq!(chosen(&set, at(1), &[]).as_deref(), Some("near"));
}

#[test]
fn unlisted_leaves_are_removed() {
    let mut set = three_leaves();
    set.retain(|leaf| leaf == &identity("far-2"));
    assert_eq!(chosen(&set, at(0), &[]).as_deref(), Some("far-2"));
    set.retain(|_| false);
    assert!(set.is_empty());
}

proptest! {
    /// The shares of all brokers add up to no more than a leaf accepts, if it accepts enough for
    /// the minimum shares.
    #[test]
    fn connection_shares_add_up(
        in_zone in 0usize..20,
        elsewhere in 0usize..80,
        accepted in 1usize..500,
    ) {
        let brokers = SharingBrokers { in_zone, elsewhere };
        let near = connection_share(accepted, brokers, true);
        let far = connection_share(accepted, brokers, false);
        prop_assert!(near >= 2 && far >= 1 && near >= far);
        let weights = in_zone * 3 + elsewhere;
        if accepted >= weights {
            let given = near * in_zone + far * elsewhere;
            prop_assert!(given <= accepted);
            // The remainder does not suffice for one more connection per broker.
            let groups = in_zone.max(elsewhere);
            prop_assert!(groups == 0 || accepted - given < groups);
        }
    }

    #[test]
    fn merging_gives_the_greatest_records_whatever_the_parts(
        parts in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..200), 0..6),
        limit in 0usize..20,
    ) {
        let mut merged = GreatestRecords::new(limit);
        let mut all: Vec<Vec<u8>> = Vec::new();
        for part in &parts {
            merged.add(part);
            all.extend(part.chunks_exact(RECORD_BYTES).map(<[u8]>::to_vec));
        }
        all.sort_by(|left, right| right.cmp(left));
        all.truncate(limit);
        prop_assert_eq!(merged.into_bytes(), all.concat());
    }

    #[test]
    fn a_split_follows_the_weights(
        weights in prop::collection::vec(0u64..50, 1..6),
        start in any::<u64>(),
        turns in 1usize..400,
    ) {
        let part = |(number, weight): (usize, &u64)| WeightedService {
            service: ServiceName::new(format!("s{number}")),
            weight: *weight,
        };
        let parts: Vec<WeightedService> = weights.iter().enumerate().map(part).collect();
        let total: u64 = weights.iter().sum();
        let mut split = SplitSequence::starting_at(start);
        let mut taken = vec![0u64; parts.len()];
        for _ in 0..turns {
            let chosen = split.next(&parts).map(|part| part.service.clone());
            prop_assert_eq!(chosen.is_some(), total > 0);
            if let Some(place) = parts.iter().position(|part| Some(&part.service) == chosen.as_ref()) {
                taken[place] += 1;
            }
        }
        for (weight, taken) in weights.iter().zip(&taken).filter(|_| total > 0) {
            let share = turns as f64 * *weight as f64 / total as f64;
            let bound = weights.len() as f64 + 1.0;
            prop_assert!((*taken as f64 - share).abs() <= bound, "{taken} of {share}");
            prop_assert!(*weight > 0 || *taken == 0);
        }
    }
}

#[test]
fn equal_records_each_count() {
    let mut merged = GreatestRecords::new(3);
    merged.add(&[7; 32]);
    merged.add(&[7; 16]);
    merged.add(&[1; 16]);
    assert_eq!(merged.into_bytes(), vec![7; 48]);
}

/// Only the region of `near` is allowed.
fn only_near(leaf: &LeafIdentity) -> Result<Connectivity, Exclusion> {
    match leaf.as_str() {
        "near" => Ok(Connectivity::Idle),
        _ => Err(Exclusion::RegionNotAllowed),
    }
}

#[test]
fn an_excluded_leaf_is_not_selected_even_as_the_last() {
    let set = three_leaves();
    let choose = |tried: &[LeafIdentity]| {
        set.choose(at(0), &ReplicaSettings::default(), tried, only_near, || 0.0)
    };
    assert_eq!(asked(&choose(&[])).as_deref(), Some("near"));
    // The near leaf was tried and may be asked again later; the others stay excluded.
    assert_eq!(choose(&[identity("near")]), Selection::NoLeaf(NoLeafReason::AllTried));
}

#[test]
fn the_reason_for_no_leaf_is_the_one_that_may_end_first() {
    let mut set = ReplicaSet::default();
    let choose = |set: &ReplicaSet, reach: fn(&LeafIdentity) -> Result<Connectivity, Exclusion>| {
        set.choose(at(0), &ReplicaSettings::default(), &[], reach, || 0.0)
    };
    let forbidden = |_: &LeafIdentity| Err(Exclusion::RegionNotAllowed);
    assert_eq!(choose(&set, forbidden), Selection::NoLeaf(NoLeafReason::NoneListed));
    set.list(at(0), &leaf("elsewhere"), Distance::Far);
    let reason = NoLeafReason::Excluded(Exclusion::RegionNotAllowed);
    assert_eq!(choose(&set, forbidden), Selection::NoLeaf(reason));
    assert!(reason.is_lasting());
    set.list(
        at(0),
        &ListedLeaf { availability: LeafAvailability::Leaving, ..leaf("a") },
        Distance::Zone,
    );
    let reason = NoLeafReason::Excluded(Exclusion::Leaving);
    assert_eq!(choose(&set, forbidden), Selection::NoLeaf(reason));
    assert!(!reason.is_lasting());
}

/// A leaf has ended if another one answers at its address; it is neither asked nor waited for until
/// the directory lists another address.
#[test]
fn a_leaf_whose_address_is_taken_is_excluded_until_it_is_listed_elsewhere() {
    let mut set = ReplicaSet::default();
    set.list(at(0), &leaf("gone"), Distance::Zone);
    set.begin(&identity("gone"));
    set.finish(at(0), &ReplicaSettings::default(), &identity("gone"), Outcome::AddressTaken);
    let reason = NoLeafReason::Excluded(Exclusion::AddressTaken);
    for later in [1, 1_000, 60_000] {
        set.list(at(0), &leaf("gone"), Distance::Zone);
        assert_eq!(select(&set, at(later), &[], |_| Connectivity::Idle), Selection::NoLeaf(reason));
    }
    assert!(reason.is_lasting());
    set.list(at(0), &leaf("successor"), Distance::Far);
    assert_eq!(chosen(&set, at(60_000), &[]).as_deref(), Some("successor"));
    let moved = ListedLeaf { address: ([127, 0, 0, 1], 2).into(), ..leaf("gone") };
    set.list(at(0), &moved, Distance::Zone);
    assert_eq!(chosen(&set, at(60_000), &[]).as_deref(), Some("gone"));
}

/// 300 brokers with a few requests each, as right after a change of the split: the share of each
/// part is close to its weight from the first request on.
#[rstest]
fn a_split_over_many_brokers_with_few_requests_each_follows_the_weights(
    #[values(&[1, 1], &[9, 1], &[5, 3, 2], &[97, 2, 1], &[1, 0, 3])] weights: &[u64],
    #[values(1, 2, 3, 7)] requests: usize,
) {
    const BROKERS: usize = 300;
    let weighted = |(number, weight): (usize, &u64)| WeightedService {
        service: ServiceName::new(format!("part-{number}")),
        weight: weight * 1_000_000,
    };
    let parts: Vec<WeightedService> = weights.iter().enumerate().map(weighted).collect();
    let mut random = Pcg64::new(7, 7);
    let mut taken = vec![0usize; parts.len()];
    for _ in 0..BROKERS {
        let mut turns = SplitSequence::starting_at(random.next_u64());
        for _ in 0..requests {
            let chosen = turns.next(&parts).expect("a part").service.clone();
            taken[parts.iter().position(|part| part.service == chosen).expect("a known part")] += 1;
        }
    }
    let total: u64 = weights.iter().sum();
    for (taken, weight) in taken.iter().zip(weights) {
        let share = *taken as f64 / (BROKERS * requests) as f64;
        let wanted = *weight as f64 / total as f64;
        assert!((share - wanted).abs() < 0.08, "{taken} for {weight} of {total}");
    }
}
