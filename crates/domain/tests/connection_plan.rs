//! Plans of open connections to the leaves of a service, and their sum over all brokers.

use std::collections::BTreeMap;

use gingerkeel_domain::forwarding::{BrokerCensus, ConnectionPlan, PlanningBroker};
use gingerkeel_domain::identifiers::{BrokerName, LeafIdentity, ServiceName, ZoneName};
use proptest::prelude::*;
use rstest::rstest;

/// Six zones, two in each of three regions.
fn regions() -> BTreeMap<String, String> {
    (0..6).map(|zone| (format!("z{zone}"), format!("r{}", zone % 3))).collect()
}

fn zone(number: usize) -> ZoneName {
    ZoneName::new(format!("z{number}"))
}

/// Brokers with their zones, `counts` per zone.
fn brokers(counts: &[usize]) -> Vec<(ZoneName, BrokerName)> {
    let of_zone = |(number, count): (usize, &usize)| {
        (0..*count)
            .map(move |broker| (zone(number), BrokerName::new(format!("b{number}-{broker}"))))
    };
    counts.iter().enumerate().flat_map(of_zone).collect()
}

/// One leaf in each of the given zones.
fn leaves(zones: &[usize]) -> Vec<(LeafIdentity, ZoneName)> {
    let leaf =
        |(index, number): (usize, &usize)| (LeafIdentity::new(format!("l{index}")), zone(*number));
    zones.iter().enumerate().map(leaf).collect()
}

fn plans(counts: &[usize], leaf_zones: &[usize], accepted: usize) -> Vec<ConnectionPlan> {
    let (all, leaves) = (brokers(counts), leaves(leaf_zones));
    let census = BrokerCensus::new(all.clone());
    let service = ServiceName::new("s");
    let plan = |(zone, name): &(ZoneName, BrokerName)| {
        let broker = PlanningBroker { name, zone };
        ConnectionPlan::new(&service, &leaves, accepted, broker, &census, &regions())
    };
    all.iter().map(plan).collect()
}

#[test]
fn the_primary_and_the_standby_are_kept_ready() {
    let plans = plans(&[10, 10, 10, 10, 10, 11], &[0, 1, 2], 62);
    let ready: Vec<Vec<&str>> =
        plans.iter().map(|plan| plan.ready().iter().map(LeafIdentity::as_str).collect()).collect();
    assert!(ready.iter().all(|ready| ready.len() == 2));
    // Zones 0 and 3 are in the region of the first leaf; each other leaf is the standby of half of
    // their brokers.
    let of_region: Vec<_> = ready
        .iter()
        .enumerate()
        .filter(|(at, _)| (0..10).contains(at) || (30..40).contains(at))
        .collect();
    assert!(of_region.iter().all(|(_, ready)| ready[0] == "l0"));
    assert_eq!(of_region.iter().filter(|(_, ready)| ready[1] == "l1").count(), 10);
}

/// A leaf that accepts 41 has room for the twenty brokers with it as primary and about twenty with
/// it as standby.
#[rstest]
#[case::enough(41, 2)]
#[case::too_few(36, 0)]
fn connections_are_kept_ready_only_where_all_find_room(
    #[case] accepted: usize,
    #[case] ready: usize,
) {
    let plans = plans(&[10, 10, 10, 10, 10, 10], &[0, 1, 2], accepted);
    assert!(plans.iter().all(|plan| plan.ready().len() == ready), "{plans:?}");
}

#[rstest]
#[case::several_near(&[0, 0, 1], 0)]
#[case::only_one(&[3], 1)]
#[case::none(&[], 0)]
fn without_a_single_nearest_leaf_and_another_there_is_no_standby(
    #[case] leaf_zones: &[usize],
    #[case] ready: usize,
) {
    let plans = plans(&[2], leaf_zones, 10);
    assert!(plans.iter().all(|plan| plan.ready().len() == ready), "{plans:?}");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    /// The planned connections add up to no more than a leaf accepts, for any number of brokers and
    /// with zones without leaves.
    #[test]
    fn plans_add_up_to_no_more_than_a_leaf_accepts(
        counts in prop::collection::vec(0usize..70, 6),
        leaf_zones in prop::collection::vec(0usize..6, 1..7),
        accepted in 10usize..2_000,
    ) {
        let plans = plans(&counts, &leaf_zones, accepted);
        for (leaf, _) in leaves(&leaf_zones) {
            let kept = plans.iter().filter(|plan| plan.ready().contains(&leaf)).count();
            prop_assert!(kept <= accepted, "{kept} of {accepted} to {leaf}");
        }
    }
}
