//! Rate of requests of all brokers together to a cold leaf.

use std::time::Duration;

use gingerkeel_domain::catalog::Placement;
use gingerkeel_domain::feed::KnownBroker;
use gingerkeel_domain::forwarding::{ColdLeaves, ColdShare, ColdStart, Distance};
use gingerkeel_domain::identifiers::{BrokerName, LeafIdentity, RegionName, ZoneName};
use gingerkeel_domain::routing::subset::BrokerEntry;
use gingerkeel_domain::time::Timestamp;
use proptest::prelude::*;
use rstest::rstest;

/// Number of zones over which the brokers are spread; the leaf is in the first, and two zones form
/// a region.
const ZONES: usize = 6;
/// Age of a long-running process.
const OLD: Duration = Duration::from_secs(60);

fn brokers(count: usize) -> Vec<KnownBroker> {
    let broker = |number: usize| {
        let zone = number % ZONES;
        let placement = Placement {
            region: RegionName::new(format!("r{}", zone / 2)),
            zone: ZoneName::new(format!("z{zone}")),
        };
        let entry = BrokerEntry { name: BrokerName::new(format!("b{number}")), placement };
        KnownBroker { entry, live: true }
    };
    (0..count).map(broker).collect()
}

fn distance(broker: &KnownBroker) -> Distance {
    match broker.entry.placement.zone.as_str() {
        "z0" => Distance::Zone,
        "z1" => Distance::Region,
        _ => Distance::Far,
    }
}

fn start(per_second: f64) -> ColdStart {
    ColdStart { span_ms: 3_000, requests_per_1000_s: (per_second * 1_000.0) as u32 }
}

fn leaf() -> LeafIdentity {
    LeafIdentity::new("cold")
}

fn at(milliseconds: u64) -> Timestamp {
    Timestamp::from_micros(milliseconds * 1_000)
}

fn share(start: ColdStart, broker: &KnownBroker, known: &[KnownBroker]) -> ColdShare {
    ColdShare::of(start, &leaf(), &broker.entry.name, OLD, known, distance)
}

/// Times in milliseconds at which brokers send if they always have a request for the leaf; each
/// broker knows the brokers of its own list.
fn sends(start: ColdStart, known: &[Vec<KnownBroker>], all: &[KnownBroker]) -> Vec<u64> {
    let mut sends = Vec::new();
    for (broker, known) in all.iter().zip(known) {
        let mut cold = ColdLeaves::default();
        cold.mark_cold(&leaf(), at(60_000));
        let share = share(start, broker, known);
        for now in (0..20_000).step_by(10) {
            if cold.has_room(at(now), &leaf(), share) {
                cold.sent(at(now), &leaf(), share);
                sends.push(now);
            }
        }
    }
    sends.sort_unstable();
    sends
}

/// Maximum number of requests within any second.
fn most_within_a_second(sends: &[u64]) -> usize {
    let until = |from: &u64| sends.partition_point(|time| *time <= from + 1_000);
    sends.iter().enumerate().map(|(index, from)| until(from) - index).max().unwrap_or(0)
}

/// Mean rate per second of all brokers.
fn rate(sends: &[u64]) -> f64 {
    sends.len() as f64 / 20.0
}

#[rstest]
#[case::few_brokers(5.0, 6)]
#[case::as_many_as_requests(20.0, 20)]
#[case::many_brokers(20.0, 61)]
#[case::far_more_brokers(20.0, 300)]
#[case::as_many_as_there_are_to_be(5.0, 1_600)]
#[case::less_than_one_a_second(0.4, 61)]
fn all_brokers_together_use_the_rate_and_never_exceed_it(
    #[case] per_second: f64,
    #[case] count: usize,
) {
    let all = brokers(count);
    let sends = sends(start(per_second), &vec![all.clone(); count], &all);
    assert!(most_within_a_second(&sends) as f64 <= per_second.max(1.0));
    assert!(rate(&sends) >= per_second * 0.9, "{} a second of {per_second}", rate(&sends));
}

/// Alternatives at the same counts: equal shares of whole requests leave most brokers without any
/// and use nothing; shares rounded up exceed the rate.
#[rstest]
#[case(61)]
#[case(300)]
fn equal_shares_use_nothing_or_exceed_the_rate(#[case] count: usize) {
    let rate = 20;
    assert_eq!(rate / count, 0, "rounded down, nobody sends");
    assert!(count.div_ceil(rate) * rate >= 2 * rate, "rounded up, all together send too much");
    assert!(count > 2 * rate, "one request each in the same second is more than twice the rate");
}

#[test]
fn brokers_of_the_leafs_zone_come_first() {
    let all = brokers(61);
    let chosen = |zone: &str| {
        let own = |broker: &&KnownBroker| broker.entry.placement.zone.as_str() == zone;
        let sends = |broker: &&KnownBroker| share(start(5.0), broker, &all) != ColdShare::NOTHING;
        all.iter().filter(own).filter(sends).count()
    };
    assert_eq!(chosen("z0"), 5);
    assert_eq!((1..ZONES).map(|zone| chosen(&format!("z{zone}"))).sum::<usize>(), 0);
}

#[test]
fn different_leaves_are_assigned_to_different_brokers() {
    let all = brokers(61);
    let chosen_for = |leaf: usize| {
        let leaf = LeafIdentity::new(format!("leaf-{leaf}"));
        let share = |broker: &&KnownBroker| {
            let share = ColdShare::of(start(5.0), &leaf, &broker.entry.name, OLD, &all, distance);
            share != ColdShare::NOTHING
        };
        all.iter().filter(share).map(|broker| broker.entry.name.clone()).collect::<Vec<_>>()
    };
    let mut chosen: Vec<_> = (0..40).flat_map(chosen_for).collect();
    chosen.sort();
    chosen.dedup();
    assert_eq!(chosen.len(), 11, "all brokers of the zone take part");
}

#[test]
fn a_broker_without_a_list_or_just_started_sends_nothing() {
    let all = brokers(3);
    let own = &all[0].entry.name;
    let share =
        |age, known: &[KnownBroker]| ColdShare::of(start(20.0), &leaf(), own, age, known, distance);
    assert_eq!(share(OLD, &[]), ColdShare::NOTHING);
    assert_eq!(share(OLD, &all[1..]), ColdShare::NOTHING);
    assert_eq!(share(Duration::from_secs(1), &all), ColdShare::NOTHING);
    assert_ne!(share(OLD, &all), ColdShare::NOTHING);
}

#[test]
fn a_warm_leaf_is_not_limited_and_a_cold_one_until_its_time_is_over() {
    let mut cold = ColdLeaves::default();
    assert!(cold.has_room(at(0), &leaf(), ColdShare::NOTHING));
    cold.mark_cold(&leaf(), at(3_000));
    cold.mark_cold(&leaf(), at(1_000));
    assert!(!cold.has_room(at(2_999), &leaf(), ColdShare::NOTHING));
    assert_eq!((cold.count(at(2_999)), cold.count(at(3_000))), (1, 0));
    assert!(cold.has_room(at(3_000), &leaf(), ColdShare::NOTHING));
}

proptest! {
    /// While brokers join, their lists differ: the total stays within 1.5 times the rate plus five.
    #[test]
    fn lists_that_differ_by_a_few_brokers_exceed_the_rate_by_little(
        count in 2usize..80,
        per_second in 1u32..40,
        newcomers in 0usize..3,
        knows in prop::collection::vec(any::<bool>(), 80),
    ) {
        let all = brokers(count + newcomers);
        let before = all[..count].to_vec();
        let known: Vec<Vec<KnownBroker>> = (0..all.len())
            .map(|broker| if broker >= count || knows[broker] { all.clone() } else { before.clone() })
            .collect();
        let most = most_within_a_second(&sends(start(f64::from(per_second)), &known, &all));
        prop_assert!(most as f64 <= f64::from(per_second) * 1.5 + 5.0, "{most} of {per_second}");
    }
}
