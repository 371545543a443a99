//! Warnings of slow, failing and refusing leaves, and their effect on selection.

use std::time::Duration;

use gingerkeel_domain::directory::{LeafAvailability, ListedLeaf};
use gingerkeel_domain::forwarding::{
    Connectivity, Distance, Outcome, ReplicaSet, ReplicaSettings, Selection,
};
use gingerkeel_domain::identifiers::{
    BrokerName, LeafIdentity, ServiceName, SoftwareVersion, ZoneName,
};
use gingerkeel_domain::leaf_warnings::{
    LeafObservation, LeafWarning, ObservationLog, ObservedOutcome, WarningAggregator, WarningCause,
};
use gingerkeel_domain::time::Timestamp;
use rstest::rstest;

fn at(milliseconds: u64) -> Timestamp {
    Timestamp::from_micros(milliseconds * 1_000)
}

fn leaf(name: &str) -> LeafIdentity {
    LeafIdentity::new(name)
}

fn slow(name: &str, ms_ago: &[u32], sound: u32) -> LeafObservation {
    LeafObservation {
        leaf: leaf(name),
        slow_ms_ago: ms_ago.to_vec(),
        failed_ms_ago: Vec::new(),
        refused_ms_ago: Vec::new(),
        sound,
    }
}

fn slowness(for_ms: u32) -> LeafWarning {
    LeafWarning { leaf: leaf("x"), cause: WarningCause::Slow, for_ms }
}

/// The warnings that follow from reports on one leaf, given as time, broker and observation.
fn warnings(
    aggregator: &mut WarningAggregator,
    reports: &[(u64, &str, LeafObservation)],
) -> Vec<LeafWarning> {
    let report = |(now, broker, seen): &(u64, &str, LeafObservation)| {
        aggregator.report(at(*now), &BrokerName::new(broker), std::slice::from_ref(seen))
    };
    reports.iter().flat_map(report).collect()
}

/// Reports that make a leaf count as slow: two brokers, three requests within 700 ms.
fn slow_leaf(now: u64) -> [(u64, &'static str, LeafObservation); 2] {
    [(now, "b1", slow("x", &[700, 300], 0)), (now, "b2", slow("x", &[0], 0))]
}

#[test]
fn a_leaf_that_several_brokers_find_slow_for_a_while_is_warned_of() {
    let warned = warnings(&mut WarningAggregator::default(), &slow_leaf(10_000));
    assert_eq!(warned, [slowness(1_000)]);
}

#[rstest]
#[case::one_broker_alone(&[(10_000, "b1", slow("x", &[900, 600, 300, 0], 0))])]
#[case::two_requests(&[(10_000, "b1", slow("x", &[700], 0)), (10_000, "b2", slow("x", &[0], 0))])]
#[case::a_short_stop(&[(10_000, "b1", slow("x", &[590, 200], 0)), (10_000, "b2", slow("x", &[0], 0))])]
#[case::mostly_sound(&[(10_000, "b1", slow("x", &[700, 300], 2)), (10_000, "b2", slow("x", &[0], 2))])]
#[case::long_ago(&[(10_000, "b1", slow("x", &[2_100, 2_050], 0)), (10_000, "b2", slow("x", &[0], 0))])]
#[case::now_and_then(&[
    (10_000, "b1", slow("x", &[0], 0)),
    (12_500, "b2", slow("x", &[0], 0)),
    (15_000, "b3", slow("x", &[0], 0)),
])]
fn it_takes_more(#[case] reports: &[(u64, &str, LeafObservation)]) {
    assert_eq!(warnings(&mut WarningAggregator::default(), reports), []);
}

#[test]
fn a_broker_that_reports_again_does_not_count_its_sound_answers_twice() {
    let mut aggregator = WarningAggregator::default();
    let reports = [
        (10_000, "b1", slow("x", &[0], 2)),
        (10_250, "b1", slow("x", &[0], 2)),
        (10_700, "b2", slow("x", &[0], 0)),
    ];
    assert_eq!(warnings(&mut aggregator, &reports).len(), 1);
}

#[test]
fn a_warning_is_not_repeated_while_it_lasts() {
    let mut aggregator = WarningAggregator::default();
    warnings(&mut aggregator, &slow_leaf(10_000));
    assert_eq!(warnings(&mut aggregator, &slow_leaf(10_900)), []);
}

#[test]
fn a_leaf_that_is_slow_again_is_warned_of_at_once_and_for_longer() {
    let mut aggregator = WarningAggregator::default();
    warnings(&mut aggregator, &slow_leaf(10_000));
    let again = |aggregator: &mut WarningAggregator, now| {
        let warned = warnings(aggregator, &[(now, "b3", slow("x", &[0], 0))]);
        warned.first().map(|warning| warning.for_ms)
    };
    assert_eq!(again(&mut aggregator, 11_100), Some(2_000));
    assert_eq!(again(&mut aggregator, 13_200), Some(4_000));
    assert_eq!(again(&mut aggregator, 17_300), Some(4_000), "the longest");
    assert_eq!(again(&mut aggregator, 23_400), None, "it had time to show that it is sound");
}

#[test]
fn requests_of_before_the_end_of_a_warning_do_not_renew_it() {
    let mut aggregator = WarningAggregator::default();
    warnings(&mut aggregator, &slow_leaf(10_000));
    assert_eq!(warnings(&mut aggregator, &[(11_100, "b3", slow("x", &[200], 0))]), []);
}

#[test]
fn a_new_broker_is_told_the_current_warnings() {
    let mut aggregator = WarningAggregator::default();
    warnings(&mut aggregator, &slow_leaf(10_000));
    let current = aggregator.current(at(10_400));
    assert_eq!(current, [slowness(600)]);
    assert_eq!(aggregator.current(at(11_000)), []);
}

#[test]
fn a_report_tells_each_slow_request_once_with_the_sound_answers_of_the_last_seconds() {
    let mut log = ObservationLog::default();
    log.observe(at(1_000), &leaf("x"), at(980), ObservedOutcome::Sound);
    log.observe(at(1_100), &leaf("x"), at(1_000), ObservedOutcome::Slow);
    log.observe(at(1_100), &leaf("y"), at(1_000), ObservedOutcome::Sound);
    assert_eq!(log.take(at(1_200)), [slow("x", &[200], 1)]);
    assert_eq!(log.take(at(1_300)), []);
    log.observe(at(2_200), &leaf("x"), at(2_150), ObservedOutcome::Slow);
    assert_eq!(log.take(at(2_200)), [slow("x", &[50], 1)], "the second before counts as well");
    log.observe(at(4_500), &leaf("x"), at(4_400), ObservedOutcome::Slow);
    assert_eq!(log.take(at(4_500)), [slow("x", &[100], 0)], "what is older does not");
}

#[test]
fn a_report_is_bounded() {
    let mut log = ObservationLog::default();
    for number in 0..200 {
        for _ in 0..20 {
            log.observe(
                at(1_000),
                &leaf(&format!("leaf-{number}")),
                at(900),
                ObservedOutcome::Slow,
            );
        }
    }
    let report = log.take(at(1_000));
    assert_eq!(report.len(), 64);
    assert!(report.iter().all(|seen| seen.slow_ms_ago.len() == 8));
    assert_eq!(log.take(at(1_000)).len(), 64, "the others come next");
}

/// A near and a far leaf of one service.
fn near_and_far() -> ReplicaSet {
    let mut set = ReplicaSet::default();
    for (name, distance) in [("near", Distance::Zone), ("far", Distance::Far)] {
        let listed = ListedLeaf {
            identity: leaf(name),
            service: ServiceName::new("s"),
            address: ([127, 0, 0, 1], 80).into(),
            zone: ZoneName::new("a"),
            slots: 4,
            availability: LeafAvailability::Ready,
            cold_ms: 0,
            version: SoftwareVersion::default(),
        };
        set.list(at(0), &listed, distance);
    }
    set
}

fn chosen(set: &ReplicaSet, now: u64) -> String {
    let settings = ReplicaSettings::default();
    match set.choose(at(now), &settings, &[], |_| Ok(Connectivity::Idle), || 0.0) {
        Selection::Ask(choice) => choice.leaf.to_string(),
        other => format!("{other:?}"),
    }
}

#[test]
fn a_leaf_is_deprioritized_while_a_warning_lasts() {
    let mut set = near_and_far();
    set.warn(at(0), &leaf("near"), WarningCause::Slow, at(2_000));
    assert_eq!(chosen(&set, 1_000), "far");
    assert_eq!(chosen(&set, 2_000), "near");
}

#[test]
fn a_leaf_that_others_warn_of_is_asked_where_there_is_no_other() {
    let mut set = near_and_far();
    set.warn(at(0), &leaf("near"), WarningCause::Slow, at(2_000));
    set.warn(at(0), &leaf("far"), WarningCause::Slow, at(2_000));
    assert_eq!(chosen(&set, 1_000), "near");
}

#[rstest]
#[case::as_ever(30, "near")]
#[case::too_late(300, "far")]
fn own_observations_override_warnings_of_slowness(#[case] took_ms: u64, #[case] expected: &str) {
    let mut set = near_and_far();
    set.warn(at(0), &leaf("near"), WarningCause::Slow, at(4_000));
    set.begin(&leaf("near"));
    let outcome = Outcome::Answered(Duration::from_millis(took_ms));
    set.finish(at(1_000), &ReplicaSettings::default(), &leaf("near"), outcome);
    assert_eq!(chosen(&set, 1_001), expected);
}

fn failed(name: &str, ms_ago: &[u32], sound: u32) -> LeafObservation {
    let failed_ms_ago = ms_ago.to_vec();
    LeafObservation { failed_ms_ago, ..slow(name, &[], sound) }
}

/// Causes of the warnings of leaf x after reports of different brokers.
fn causes(reports: &[LeafObservation]) -> Vec<WarningCause> {
    let mut aggregator = WarningAggregator::default();
    let names = ["b1", "b2", "b3", "b4"];
    let reports: Vec<_> = names.into_iter().zip(reports).collect();
    let warned = reports.into_iter().flat_map(|(broker, seen)| {
        aggregator.report(at(10_000), &BrokerName::new(broker), std::slice::from_ref(seen))
    });
    warned.map(|warning| warning.cause).collect()
}

#[rstest]
#[case::by_several_brokers(&[failed("x", &[900, 10], 0), failed("x", &[300], 0)], &[WarningCause::Failing])]
#[case::at_one_moment(&[failed("x", &[10, 10], 0), failed("x", &[10], 0)], &[WarningCause::Failing])]
#[case::one_answer_in_ten(&[failed("x", &[10, 10], 20), failed("x", &[10], 7)], &[WarningCause::Failing])]
#[case::fewer(&[failed("x", &[10, 10], 20), failed("x", &[10], 8)], &[])]
#[case::one_broker_alone(&[failed("x", &[900, 600, 300, 10], 0)], &[])]
#[case::two_requests(&[failed("x", &[10], 0), failed("x", &[10], 0)], &[])]
#[case::long_ago(&[failed("x", &[2_100, 2_050], 0), failed("x", &[10], 0)], &[])]
fn a_leaf_that_loses_answers_is_warned_of(
    #[case] reports: &[LeafObservation],
    #[case] expected: &[WarningCause],
) {
    assert_eq!(causes(reports), expected);
}

#[test]
fn a_failing_leaf_that_fails_again_is_warned_of_for_longer() {
    let mut aggregator = WarningAggregator::default();
    let first = [(10_000, "b1", failed("x", &[10, 20], 0)), (10_000, "b2", failed("x", &[30], 0))];
    assert_eq!(warnings(&mut aggregator, &first)[0].for_ms, 1_000);
    let slow_again = warnings(&mut aggregator, &[(11_050, "b3", slow("x", &[0], 0))]);
    assert_eq!(slow_again, [], "that it is slow in one request says nothing of its answers");
    let again = warnings(&mut aggregator, &[(11_100, "b3", failed("x", &[0], 5))]);
    assert_eq!(again[0].for_ms, 2_000);
}

#[test]
fn an_answer_does_not_show_that_a_leaf_loses_none() {
    let mut set = near_and_far();
    set.warn(at(0), &leaf("near"), WarningCause::Failing, at(4_000));
    set.begin(&leaf("near"));
    let outcome = Outcome::Answered(Duration::from_millis(30));
    set.finish(at(1_000), &ReplicaSettings::default(), &leaf("near"), outcome);
    assert_eq!(chosen(&set, 1_001), "far");
    assert_eq!(chosen(&set, 4_000), "near");
}

/// A hundred brokers each send one request per second to 36 shards of three leaves, and every
/// second leaf loses 2 of 5 answers. Checks the share of the requests of four seconds that get 35
/// parts with two attempts each.
#[rstest]
#[case::by_what_each_sees_itself(false)]
#[case::with_warnings(true)]
fn half_of_the_leaves_lose_answers(#[case] warned: bool) {
    let share = fleet::share_of_whole_answers(warned);
    match warned {
        false => assert!(share < 0.85, "{share}"),
        true => assert!(share > 0.95, "{share}"),
    }
}

mod fleet {
    use std::collections::BTreeMap;

    use rand_pcg::Pcg64;
    use rand_pcg::rand_core::{RngCore, SeedableRng};

    use super::*;

    const BROKERS: u64 = 100;
    const SHARDS: usize = 36;
    const SECONDS: u64 = 4;
    /// Time until a warning that follows from a report has reached the brokers.
    const DELAY_MS: u64 = 250;

    struct Broker {
        name: BrokerName,
        shards: Vec<ReplicaSet>,
        log: ObservationLog,
    }

    fn replica(shard: usize, number: usize) -> LeafIdentity {
        leaf(&format!("{shard}-{number}"))
    }

    fn loses(leaf: &LeafIdentity, chance: f64) -> bool {
        // Every second leaf: 0-1, 1-0, 1-2, 2-1 and so on.
        let (shard, number) = leaf.as_str().split_once('-').unwrap();
        let place = shard.parse::<usize>().unwrap() * 3 + number.parse::<usize>().unwrap();
        place % 2 == 1 && chance < 0.4
    }

    fn broker(number: u64) -> Broker {
        let shards = (0..SHARDS).map(|shard| {
            let mut set = ReplicaSet::default();
            for replica_number in 0..3 {
                let listed = ListedLeaf {
                    identity: replica(shard, replica_number),
                    service: ServiceName::new("s"),
                    address: ([127, 0, 0, 1], 80).into(),
                    zone: ZoneName::new("a"),
                    slots: 4,
                    availability: LeafAvailability::Ready,
                    cold_ms: 0,
                    version: SoftwareVersion::default(),
                };
                let distance = if replica_number == 0 { Distance::Zone } else { Distance::Far };
                set.list(at(0), &listed, distance);
            }
            set
        });
        let name = BrokerName::new(format!("b{number}"));
        Broker { name, shards: shards.collect(), log: ObservationLog::default() }
    }

    /// Sends one request; returns whether 35 parts arrived.
    fn request(broker: &mut Broker, now: u64, draw: &mut impl FnMut() -> f64) -> bool {
        let settings = ReplicaSettings::default();
        let mut present = 0;
        for shard in &mut broker.shards {
            let mut tried = Vec::new();
            for _ in 0..2 {
                let reach = |_: &LeafIdentity| Ok(Connectivity::Idle);
                let choice = shard.choose(at(now), &settings, &tried, reach, &mut *draw);
                let Selection::Ask(choice) = choice else { break };
                shard.begin(&choice.leaf);
                let lost = loses(&choice.leaf, draw());
                let outcome = match lost {
                    true => Outcome::Failed,
                    false => Outcome::Answered(Duration::from_millis(30)),
                };
                shard.finish(at(now), &settings, &choice.leaf, outcome);
                let observed = if lost { ObservedOutcome::Failed } else { ObservedOutcome::Sound };
                broker.log.observe(at(now), &choice.leaf, at(now), observed);
                tried.push(choice.leaf);
                if !lost {
                    present += 1;
                    break;
                }
            }
        }
        present >= SHARDS - 1
    }

    pub fn share_of_whole_answers(warned: bool) -> f64 {
        let mut random = Pcg64::seed_from_u64(7);
        let mut draw = || (random.next_u32() as f64) / f64::from(u32::MAX);
        let mut brokers: Vec<Broker> = (0..BROKERS).map(broker).collect();
        let mut aggregator = WarningAggregator::default();
        let mut due: BTreeMap<u64, Vec<LeafWarning>> = BTreeMap::new();
        let (mut whole, mut all) = (0, 0);
        for now in (1_000..1_000 + SECONDS * 1_000).step_by(10) {
            let number = (now / 10 % BROKERS) as usize;
            all += 1;
            whole += u32::from(request(&mut brokers[number], now, &mut draw));
            let report = brokers[number].log.take(at(now));
            let warnings = aggregator.report(at(now), &brokers[number].name, &report);
            due.entry(now + DELAY_MS).or_default().extend(warnings);
            for warning in due.remove(&now).unwrap_or_default().iter().filter(|_| warned) {
                let (shard, _) = warning.leaf.as_str().split_once('-').unwrap();
                let shard: usize = shard.parse().unwrap();
                let until = at(now).after(Duration::from_millis(warning.for_ms.into()));
                for broker in &mut brokers {
                    broker.shards[shard].warn(at(now), &warning.leaf, warning.cause, until);
                }
            }
        }
        f64::from(whole) / f64::from(all)
    }
}

fn refused(ms_ago: &[u32], sound: u32) -> LeafObservation {
    LeafObservation { refused_ms_ago: ms_ago.to_vec(), ..slow("x", &[], sound) }
}

fn refusal(for_ms: u32) -> LeafWarning {
    LeafWarning { leaf: leaf("x"), cause: WarningCause::Refusing, for_ms }
}

/// Guards a fleet in which most leaves refuse half of their requests and each of a thousand brokers
/// asks a leaf every fourteen seconds, so that no broker could find the refusing leaves by itself.
#[test]
fn a_single_refusal_leads_to_a_warning() {
    let reports = [(10_000, "b1", refused(&[100], 0))];
    assert_eq!(warnings(&mut WarningAggregator::default(), &reports), [refusal(8_000)]);
}

#[rstest]
#[case::takes_most(&[(10_000, "b1", refused(&[100], 5))])]
#[case::takes_most_of_others(&[
    (10_000, "b1", slow("x", &[0], 9)),
    (10_100, "b2", refused(&[100], 0)),
])]
#[case::long_ago(&[(10_000, "b1", refused(&[2_100], 0))])]
fn a_leaf_that_is_full_for_a_moment_is_not_warned_of(
    #[case] reports: &[(u64, &str, LeafObservation)],
) {
    assert_eq!(warnings(&mut WarningAggregator::default(), reports), []);
}

#[test]
fn a_leaf_that_goes_on_refusing_is_warned_of_for_longer() {
    let mut aggregator = WarningAggregator::default();
    let reports = [10_000, 18_100, 34_200, 50_300].map(|now| (now, "b1", refused(&[10], 0)));
    let given = warnings(&mut aggregator, &reports);
    assert_eq!(given, [refusal(8_000), refusal(16_000), refusal(16_000), refusal(16_000)]);
}

#[test]
fn a_warning_of_another_control_process_holds_here() {
    let mut aggregator = WarningAggregator::default();
    aggregator.adopt(at(10_000), &[refusal(1_000)]);
    assert_eq!(aggregator.current(at(10_400)), [refusal(600)]);
    assert_eq!(warnings(&mut aggregator, &[(10_500, "b1", refused(&[10], 0))]), [], "it lasts");
    let relapsed = warnings(&mut aggregator, &[(11_200, "b1", refused(&[10], 0))]);
    assert_eq!(relapsed, [refusal(2_000)]);
}

#[test]
fn a_shorter_warning_of_another_control_process_ends_none() {
    let mut aggregator = WarningAggregator::default();
    warnings(&mut aggregator, &[(10_000, "b1", refused(&[10], 0))]);
    aggregator.adopt(at(10_100), &[refusal(200)]);
    assert_eq!(aggregator.current(at(10_500)), [refusal(7_500)]);
}

/// Whether the near leaf, which other brokers report as refusing, is preferred to the far one after
/// it answered this long ago.
fn is_asked_first(answered_ms_ago: Option<u64>) -> bool {
    let settings = ReplicaSettings::default();
    let mut replicas = near_and_far();
    if let Some(ago) = answered_ms_ago {
        replicas.begin(&leaf("near"));
        let answered = Outcome::Answered(Duration::from_millis(5));
        replicas.finish(at(10_000 - ago), &settings, &leaf("near"), answered);
    }
    replicas.warn(at(10_000), &leaf("near"), WarningCause::Refusing, at(11_000));
    chosen(&replicas, 10_000) == "near"
}

#[rstest]
#[case::never_asked(None, false)]
#[case::answered_long_ago(Some(2_000), false)]
#[case::answered_just_now(Some(100), true)]
fn own_answers_override_warnings_of_refusal(
    #[case] answered_ms_ago: Option<u64>,
    #[case] expected: bool,
) {
    assert_eq!(is_asked_first(answered_ms_ago), expected);
}
