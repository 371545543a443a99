//! Incremental layout updates give the same result as a new router with the final catalog.

mod support;

use std::collections::BTreeMap;
use std::sync::Arc;

use gingerkeel_domain::catalog::{Catalog, Change, Leaf, LeafMap, LeafState, Placement};
use gingerkeel_domain::identifiers::{BrokerName, IndexVersion, LeafId, ServiceName, ShardId};
use gingerkeel_domain::routing::subset::BrokerEntry;
use gingerkeel_domain::routing::{Router, RoutingPolicy};
use gingerkeel_domain::time::Timestamp;
use proptest::prelude::*;
use proptest::sample::{Index, subsequence};
use rstest::rstest;
use support::{change, leaf, placement, service};

/// Number of leaves that generated changes refer to.
const LEAVES: u32 = 24;
/// Number of shards that generated changes refer to.
const SHARDS: u32 = 3;
/// A time at which every leaf is due a probe.
const LATER: Timestamp = Timestamp::from_micros(1_000_000_000);

/// One input to a broker's router.
#[derive(Debug, Clone)]
enum Step {
    Change(Change),
    Brokers(usize),
}

fn places() -> impl Strategy<Value = Placement> {
    (0..2usize, 0..2usize).prop_map(|(region, zone)| place(region * 2 + zone))
}

fn place(number: usize) -> Placement {
    let (region, zone) = [("north", "a"), ("north", "b"), ("south", "a"), ("south", "b")][number];
    placement(region, zone)
}

fn services() -> impl Strategy<Value = ServiceName> {
    prop_oneof![Just(service()), Just(ServiceName::new("other"))]
}

fn entries() -> impl Strategy<Value = Leaf> {
    (0..LEAVES, places(), 1..9u32).prop_map(|(id, placement, connection_limit)| Leaf {
        connection_limit,
        ..leaf(id, placement)
    })
}

fn changes() -> impl Strategy<Value = Change> {
    let leaves = (0..LEAVES).prop_map(LeafId);
    let states = prop_oneof![Just(LeafState::Active), Just(LeafState::Draining)];
    let replicas = subsequence((0..LEAVES).map(LeafId).collect::<Vec<_>>(), 0..LEAVES as usize);
    prop_oneof![
        3 => entries().prop_map(Change::AddLeaf),
        2 => (leaves.clone(), states)
            .prop_map(|(leaf, state)| Change::SetLeafState { leaf, state }),
        2 => leaves.prop_map(Change::RemoveLeaf),
        1 => services().prop_map(|service| Change::DefineService { service, concurrency: 8 }),
        1 => services().prop_map(Change::RemoveService),
        1 => (services(), 1..=SHARDS)
            .prop_map(|(service, shards)| Change::Repartition { service, shards }),
        1 => (services(), 1..9u64).prop_map(|(service, version)| Change::PublishVersion {
            service,
            version: IndexVersion(version),
        }),
        4 => (services(), 0..SHARDS, replicas).prop_map(|(service, shard, leaves)| {
            Change::AssignShard { service, shard: ShardId(shard), leaves }
        }),
    ]
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        12 => changes().prop_map(Step::Change),
        1 => (0..30usize).prop_map(Step::Brokers),
    ];
    prop::collection::vec(step, 1..40)
}

/// A catalog with two services, so that every kind of change can be applied.
fn first_catalog() -> Catalog {
    let mut catalog = Catalog::default();
    for id in 0..LEAVES / 2 {
        change(&mut catalog, Change::AddLeaf(leaf(id, place(id as usize % 4))));
    }
    for name in [service(), ServiceName::new("other")] {
        change(&mut catalog, Change::DefineService { service: name.clone(), concurrency: 8 });
        change(&mut catalog, Change::Repartition { service: name.clone(), shards: SHARDS });
        for shard in 0..SHARDS {
            let leaves = (0..LEAVES / 2).filter(|id| id % SHARDS == shard).map(LeafId).collect();
            let shard = ShardId(shard);
            change(&mut catalog, Change::AssignShard { service: name.clone(), shard, leaves });
        }
    }
    catalog
}

fn own() -> BrokerEntry {
    BrokerEntry { name: BrokerName::new("broker-0"), placement: place(0) }
}

fn brokers(count: usize) -> Arc<[BrokerEntry]> {
    let broker = |number: usize| BrokerEntry {
        name: BrokerName::new(format!("broker-{number}")),
        placement: place(number % 4),
    };
    (0..count).map(broker).collect()
}

fn router(policy: RoutingPolicy, known: &Arc<[BrokerEntry]>, catalog: &Catalog) -> Router {
    let mut router = Router::new(own(), policy);
    router.update_brokers(known.clone(), &Catalog::default());
    router.reconfigure(Timestamp::ZERO, catalog);
    router
}

/// Asserts that two routers have equal routes, connection limits and probes.
fn assert_equal_routers(one: &mut Router, other: &mut Router, catalog: &Catalog) {
    assert_equal_routes(one, other, catalog);
    for leaf in (0..LEAVES).map(LeafId) {
        assert_eq!(one.connection_limit(leaf), other.connection_limit(leaf), "leaf {leaf}");
        assert_eq!(one.takes_new_work(leaf), other.takes_new_work(leaf), "leaf {leaf}");
    }
    assert_eq!(one.due_probes(LATER), other.due_probes(LATER));
}

/// Asserts that two routers have equal routes.
fn assert_equal_routes(one: &Router, other: &Router, catalog: &Catalog) {
    for (name, service) in catalog.services() {
        for map in service.partitions() {
            assert_eq!(one.table(name, map.epoch), other.table(name, map.epoch), "{name}");
        }
    }
}

fn follow(policy: RoutingPolicy, steps: Vec<Step>, picks: &[Index]) {
    let mut catalog = first_catalog();
    let mut known = brokers(0);
    let mut updated = Router::new(own(), policy);
    updated.reconfigure(Timestamp::ZERO, &catalog);
    let checked: Vec<usize> = picks.iter().map(|pick| pick.index(steps.len())).collect();
    for (number, step) in steps.into_iter().enumerate() {
        match step {
            // A rejected change leaves the catalog unchanged.
            Step::Change(change) => {
                let _ = catalog.apply(&change);
                updated.reconfigure(Timestamp::ZERO, &catalog);
            }
            Step::Brokers(count) => {
                known = brokers(count);
                updated.update_brokers(known.clone(), &catalog);
            }
        }
        if checked.contains(&number) {
            assert_equal_routes(&updated, &router(policy, &known, &catalog), &catalog);
        }
    }
    assert_equal_routers(&mut updated, &mut router(policy, &known, &catalog), &catalog);
}

proptest! {
    #[test]
    fn incremental_layout_matches_a_new_one(
        steps in steps(),
        picks in prop::collection::vec(any::<Index>(), 3),
    ) {
        follow(RoutingPolicy::Measured, steps, &picks);
    }

    #[test]
    fn incremental_baseline_layout_matches_a_new_one(
        steps in steps(),
        picks in prop::collection::vec(any::<Index>(), 3),
    ) {
        follow(RoutingPolicy::Random, steps, &picks);
    }
}

/// Whether the table of each service is the same object before and after a change.
fn tables_kept(apply: Change) -> [bool; 2] {
    let mut catalog = first_catalog();
    let mut router = router(RoutingPolicy::Measured, &brokers(8), &catalog);
    let names = [service(), ServiceName::new("other")];
    let table = |router: &Router, catalog: &Catalog, name: &ServiceName| {
        let epoch = catalog.services()[name].newest_epoch();
        router.table(name, epoch).expect("the service has a table")
    };
    let before = names.each_ref().map(|name| table(&router, &catalog, name));
    change(&mut catalog, apply);
    router.reconfigure(Timestamp::ZERO, &catalog);
    let after = names.each_ref().map(|name| table(&router, &catalog, name));
    [Arc::ptr_eq(&before[0], &after[0]), Arc::ptr_eq(&before[1], &after[1])]
}

#[rstest]
#[case::drained(Change::SetLeafState { leaf: LeafId(0), state: LeafState::Draining }, [true, true])]
#[case::added(Change::AddLeaf(leaf(LEAVES, place(0))), [true, true])]
#[case::concurrency(Change::DefineService { service: service(), concurrency: 9 }, [true, true])]
#[case::published(
    Change::PublishVersion { service: service(), version: IndexVersion(1) },
    [true, true]
)]
#[case::assigned(
    Change::AssignShard { service: service(), shard: ShardId(0), leaves: vec![LeafId(0)] },
    [false, true]
)]
#[case::removed(Change::RemoveLeaf(LeafId(0)), [false, false])]
fn only_tables_that_a_change_affects_are_recomputed(
    #[case] change: Change,
    #[case] kept: [bool; 2],
) {
    assert_eq!(tables_kept(change), kept);
}

#[test]
fn a_cloned_catalog_shares_unchanged_parts() {
    let before = first_catalog();
    let mut after = before.clone();
    let drain = Change::SetLeafState { leaf: LeafId(0), state: LeafState::Draining };
    change(&mut after, drain);
    assert_eq!(before.leaves()[&LeafId(0)].state, LeafState::Active);
    let shared = |id: u32| {
        let id = LeafId(id);
        Arc::ptr_eq(&before.leaves()[&id], &after.leaves()[&id])
    };
    assert!(!shared(0));
    assert!((1..LEAVES / 2).all(shared));
    let service = service();
    assert!(Arc::ptr_eq(&before.services()[&service], &after.services()[&service]));
}

#[test]
fn unchanged_blocks_of_leaves_are_shared() {
    let mut before = first_catalog();
    for id in [500, 1000] {
        change(&mut before, Change::AddLeaf(leaf(id, place(0))));
    }
    let mut after = before.clone();
    change(&mut after, Change::RemoveLeaf(LeafId(500)));
    change(&mut after, Change::AddLeaf(leaf(2000, place(0))));
    let unshared = after.leaves().unshared_with(before.leaves());
    assert_eq!(unshared, [LeafId(500), LeafId(2000)].into());
    assert_eq!(after.leaves().len(), before.leaves().len());
    assert!(!after.leaves().contains_key(&LeafId(500)));
    assert!(before.leaves().contains_key(&LeafId(500)));
}

#[test]
fn leaves_are_serialized_as_a_map() {
    let mut catalog = first_catalog();
    change(&mut catalog, Change::AddLeaf(leaf(1000, place(0))));
    let bytes = postcard::to_allocvec(catalog.leaves()).expect("leaves can be written");
    let map: BTreeMap<LeafId, Leaf> = postcard::from_bytes(&bytes).expect("a map");
    let numbers: Vec<LeafId> = catalog.leaves().keys().copied().collect();
    assert_eq!(map.into_keys().collect::<Vec<_>>(), numbers);
    assert_eq!(&postcard::from_bytes::<LeafMap>(&bytes).expect("leaves"), catalog.leaves());
}
