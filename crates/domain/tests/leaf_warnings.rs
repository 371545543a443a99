//! Which leaves brokers warn each other of.

use std::time::Duration;

use gingerkeel_domain::directory::{LeafAvailability, ListedLeaf};
use gingerkeel_domain::forwarding::{
    Connectivity, Distance, Outcome, ReplicaSet, ReplicaSettings, Selection,
};
use gingerkeel_domain::identifiers::{BrokerName, LeafIdentity, ServiceName, ZoneName};
use gingerkeel_domain::leaf_warnings::{LeafObservation, LeafWarning, ObservationLog, WarningFold};
use gingerkeel_domain::time::Timestamp;
use rstest::rstest;

fn at(milliseconds: u64) -> Timestamp {
    Timestamp::from_micros(milliseconds * 1_000)
}

fn leaf(name: &str) -> LeafIdentity {
    LeafIdentity::new(name)
}

fn slow(name: &str, ms_ago: &[u32], sound: u32) -> LeafObservation {
    LeafObservation { leaf: leaf(name), slow_ms_ago: ms_ago.to_vec(), sound }
}

/// The warnings after these reports of one leaf: when, by which broker, what.
fn warnings(fold: &mut WarningFold, reports: &[(u64, &str, LeafObservation)]) -> Vec<LeafWarning> {
    let report = |(now, broker, seen): &(u64, &str, LeafObservation)| {
        fold.report(at(*now), &BrokerName::new(broker), std::slice::from_ref(seen))
    };
    reports.iter().flat_map(report).collect()
}

/// Reports that make a leaf slow: two brokers, three requests within 700 ms.
fn slow_leaf(now: u64) -> [(u64, &'static str, LeafObservation); 2] {
    [(now, "b1", slow("x", &[700, 300], 0)), (now, "b2", slow("x", &[0], 0))]
}

#[test]
fn a_leaf_that_several_brokers_find_slow_for_a_while_is_warned_of() {
    let warned = warnings(&mut WarningFold::default(), &slow_leaf(10_000));
    assert_eq!(warned, [LeafWarning { leaf: leaf("x"), for_ms: 1_000 }]);
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
    assert_eq!(warnings(&mut WarningFold::default(), reports), []);
}

#[test]
fn a_broker_that_reports_again_does_not_count_its_sound_answers_twice() {
    let mut fold = WarningFold::default();
    let reports = [
        (10_000, "b1", slow("x", &[0], 2)),
        (10_250, "b1", slow("x", &[0], 2)),
        (10_700, "b2", slow("x", &[0], 0)),
    ];
    assert_eq!(warnings(&mut fold, &reports).len(), 1);
}

#[test]
fn a_warning_is_not_repeated_while_it_lasts() {
    let mut fold = WarningFold::default();
    warnings(&mut fold, &slow_leaf(10_000));
    assert_eq!(warnings(&mut fold, &slow_leaf(10_900)), []);
}

#[test]
fn a_leaf_that_is_slow_again_is_warned_of_at_once_and_for_longer() {
    let mut fold = WarningFold::default();
    warnings(&mut fold, &slow_leaf(10_000));
    let again = |fold: &mut WarningFold, now| {
        let warned = warnings(fold, &[(now, "b3", slow("x", &[0], 0))]);
        warned.first().map(|warning| warning.for_ms)
    };
    assert_eq!(again(&mut fold, 11_100), Some(2_000));
    assert_eq!(again(&mut fold, 13_200), Some(4_000));
    assert_eq!(again(&mut fold, 17_300), Some(4_000), "the longest");
    assert_eq!(again(&mut fold, 23_400), None, "it had time to show that it is sound");
}

#[test]
fn requests_of_before_the_end_of_a_warning_do_not_renew_it() {
    let mut fold = WarningFold::default();
    warnings(&mut fold, &slow_leaf(10_000));
    assert_eq!(warnings(&mut fold, &[(11_100, "b3", slow("x", &[200], 0))]), []);
}

#[test]
fn a_broker_that_comes_is_told_what_lasts() {
    let mut fold = WarningFold::default();
    warnings(&mut fold, &slow_leaf(10_000));
    let current = fold.current(at(10_400));
    assert_eq!(current, [LeafWarning { leaf: leaf("x"), for_ms: 600 }]);
    assert_eq!(fold.current(at(11_000)), []);
}

#[test]
fn a_report_tells_each_slow_request_once_with_the_sound_answers_of_the_last_seconds() {
    let mut log = ObservationLog::default();
    log.observe(at(1_000), &leaf("x"), at(980), false);
    log.observe(at(1_100), &leaf("x"), at(1_000), true);
    log.observe(at(1_100), &leaf("y"), at(1_000), false);
    assert_eq!(log.take(at(1_200)), [slow("x", &[200], 1)]);
    assert_eq!(log.take(at(1_300)), []);
    log.observe(at(2_200), &leaf("x"), at(2_150), true);
    assert_eq!(log.take(at(2_200)), [slow("x", &[50], 1)], "the second before counts as well");
    log.observe(at(4_500), &leaf("x"), at(4_400), true);
    assert_eq!(log.take(at(4_500)), [slow("x", &[100], 0)], "what is older does not");
}

#[test]
fn a_report_is_bounded() {
    let mut log = ObservationLog::default();
    for number in 0..200 {
        for _ in 0..20 {
            log.observe(at(1_000), &leaf(&format!("leaf-{number}")), at(900), true);
        }
    }
    let report = log.take(at(1_000));
    assert_eq!(report.len(), 64);
    assert!(report.iter().all(|seen| seen.slow_ms_ago.len() == 8));
    assert_eq!(log.take(at(1_000)).len(), 64, "the others come next");
}

/// Two leaves of a service, the first one near and the second one far.
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
fn a_leaf_is_asked_last_while_a_warning_lasts() {
    let mut set = near_and_far();
    set.warn(&leaf("near"), at(2_000));
    assert_eq!(chosen(&set, 1_000), "far");
    assert_eq!(chosen(&set, 2_000), "near");
}

#[test]
fn a_leaf_that_others_warn_of_is_asked_where_there_is_no_other() {
    let mut set = near_and_far();
    set.warn(&leaf("near"), at(2_000));
    set.warn(&leaf("far"), at(2_000));
    assert_eq!(chosen(&set, 1_000), "near");
}

#[rstest]
#[case::as_ever(30, "near")]
#[case::too_late(300, "far")]
fn what_a_broker_sees_itself_goes_before_what_others_say(
    #[case] took_ms: u64,
    #[case] expected: &str,
) {
    let mut set = near_and_far();
    set.warn(&leaf("near"), at(4_000));
    set.begin(&leaf("near"));
    let outcome = Outcome::Answered(Duration::from_millis(took_ms));
    set.finish(at(1_000), &ReplicaSettings::default(), &leaf("near"), outcome);
    assert_eq!(chosen(&set, 1_001), expected);
}
