//! Subsetting: which replicas of each shard a broker connects to.

mod support;

use std::collections::BTreeMap;

use gingerkeel_domain::catalog::Leaf;
use gingerkeel_domain::identifiers::{BrokerName, LeafId, ShardId};
use gingerkeel_domain::routing::subset::{BrokerEntry, Subsetting};
use rstest::rstest;
use support::*;

const ZONES: [(&str, &str); 4] = [("north", "a"), ("north", "b"), ("south", "a"), ("south", "b")];

fn brokers(count: usize) -> Vec<BrokerEntry> {
    (0..count)
        .map(|index| {
            let (region, zone) = ZONES[index % ZONES.len()];
            let name = BrokerName::new(format!("broker-{index}"));
            BrokerEntry { name, placement: placement(region, zone) }
        })
        .collect()
}

fn replicas(count: usize) -> Vec<Leaf> {
    (0..count)
        .map(|index| {
            let (region, zone) = ZONES[index % ZONES.len()];
            leaf(index as u32, placement(region, zone))
        })
        .collect()
}

/// The subset of each broker.
fn subsets(brokers: &[BrokerEntry], leaves: &[Leaf]) -> BTreeMap<BrokerName, Vec<LeafId>> {
    let route = |broker: &BrokerEntry| {
        let subsetting = Subsetting::new(broker.clone(), brokers);
        let mut taken: Vec<LeafId> =
            subsetting.route(ShardId(3), leaves.iter().collect()).tiers.concat();
        taken.sort_unstable();
        (broker.name.clone(), taken)
    };
    brokers.iter().map(route).collect()
}

fn holders(subsets: &BTreeMap<BrokerName, Vec<LeafId>>, leaves: &[Leaf]) -> Vec<usize> {
    let holds = |leaf: &Leaf| subsets.values().filter(|taken| taken.contains(&leaf.id)).count();
    leaves.iter().map(holds).collect()
}

#[test]
fn a_broker_that_knows_no_other_uses_every_replica() {
    let own = brokers(1).remove(0);
    let leaves = replicas(40);
    let route = Subsetting::new(own, &[]).route(ShardId(0), leaves.iter().collect());
    assert_eq!(route.tiers.concat().len(), 40);
    assert!(route.spare.is_empty());
}

#[rstest]
#[case::few(4, 40)]
#[case::many(120, 40)]
#[case::more_leaves(40, 200)]
fn subsets_are_balanced_over_leaves(#[case] broker_count: usize, #[case] leaf_count: usize) {
    let (brokers, leaves) = (brokers(broker_count), replicas(leaf_count));
    let subsets = subsets(&brokers, &leaves);
    let counts = holders(&subsets, &leaves);
    let (least, most) = (counts.iter().min().unwrap(), counts.iter().max().unwrap());
    assert!(most - least <= 3, "between {least} and {most} brokers hold a leaf");
}

#[test]
fn subsets_do_not_depend_on_list_order() {
    let (brokers, leaves) = (brokers(30), replicas(60));
    let expected = subsets(&brokers, &leaves);
    let (mut brokers, mut leaves) = (brokers, leaves);
    brokers.reverse();
    leaves.reverse();
    assert_eq!(subsets(&brokers, &leaves), expected);
}

#[rstest]
#[case::a_broker_leaves(1, 0)]
#[case::a_leaf_leaves(0, 1)]
fn few_connections_move_when_one_of_a_hundred_is_removed(
    #[case] brokers_gone: usize,
    #[case] leaves_gone: usize,
) {
    let (brokers, leaves) = (brokers(100), replicas(100));
    let before = subsets(&brokers, &leaves);
    let after = subsets(&brokers[brokers_gone..], &leaves[leaves_gone..]);
    let kept = |name: &BrokerName, taken: &[LeafId]| {
        taken.iter().filter(|leaf| before[name].contains(leaf)).count()
    };
    let pairs: usize = after.values().map(Vec::len).sum();
    let same: usize = after.iter().map(|(name, taken)| kept(name, taken)).sum();
    assert!((pairs - same) * 10 < pairs, "{} of {pairs} pairs moved", pairs - same);
}

#[rstest]
#[case::roomy(100)]
#[case::tight(20)]
#[case::tighter(7)]
fn connections_stay_within_the_limit_of_each_leaf(#[case] limit: u32) {
    let brokers = brokers(100);
    let mut leaves = replicas(100);
    leaves.iter_mut().for_each(|leaf| leaf.connection_limit = limit);
    let subsets = subsets(&brokers, &leaves);
    let all: Vec<&Leaf> = leaves.iter().collect();
    let shares = Subsetting::new(brokers[0].clone(), &brokers).holders(&all);
    for (leaf, held_by) in leaves.iter().zip(holders(&subsets, &leaves)) {
        let stated = shares[&leaf.placement];
        assert!(held_by <= stated, "{held_by} brokers hold the leaf, {stated} are planned for");
        let each = (limit as usize / stated).max(1);
        assert!(held_by * each <= limit as usize, "{held_by} brokers with {each} connections");
    }
}

#[test]
fn the_own_zone_is_preferred_and_other_replicas_are_spares() {
    let (brokers, leaves) = (brokers(100), replicas(100));
    let subsetting = Subsetting::new(brokers[0].clone(), &brokers);
    let route = subsetting.route(ShardId(0), leaves.iter().collect());
    let sizes: Vec<usize> = route.tiers.iter().map(Vec::len).collect();
    assert_eq!(sizes, [7, 2, 1]);
    assert_eq!(route.spare.len(), 90);
}

#[test]
fn a_shard_with_any_live_replica_is_served() {
    let (brokers, leaves) = (brokers(100), replicas(3));
    for taken in subsets(&brokers, &leaves).values() {
        assert!(!taken.is_empty());
    }
}
