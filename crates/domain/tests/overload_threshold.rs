//! Aggregation of overload reports into a load-shedding threshold, one table for each rule.

use std::time::Duration;

use gingerkeel_domain::admission::{ADMIT_ALL, ClassPressure, OverloadReport};
use gingerkeel_domain::cluster::{
    BrokerOverload, ClusterState, Command, CommandBody, LogIndex, OverloadAggregator,
    OverloadSettings, Thresholds, WallTime,
};
use gingerkeel_domain::feed::OverloadReporter;
use gingerkeel_domain::identifiers::{BrokerName, ServiceName};
use rstest::rstest;

const START: WallTime = WallTime(1_700_000_000_000);
const SECOND: Duration = Duration::from_secs(1);
const CONCURRENCY: u32 = 20;

fn service() -> ServiceName {
    ServiceName::new("console")
}

/// A report of classes 0, 1, 2 and so on, each with 100 queries and this number of refusals.
fn report(running: u32, lowest_admitted: u8, refused: &[u64]) -> OverloadReport {
    let class = |(priority, refused): (u8, &u64)| ClassPressure {
        priority,
        offered: 100,
        refused: *refused,
        waiting: 0,
    };
    OverloadReport {
        service: service(),
        running,
        concurrency: CONCURRENCY,
        lowest_admitted,
        classes: (0..).zip(refused).map(class).collect(),
    }
}

/// Feeds reports to the aggregator under a manual clock.
struct Harness {
    fold: OverloadAggregator,
    settings: OverloadSettings,
    thresholds: Thresholds,
    now: WallTime,
}

impl Harness {
    fn new(settings: OverloadSettings) -> Self {
        let (fold, thresholds) = (OverloadAggregator::default(), Thresholds::default());
        Self { fold, settings, thresholds, now: START }
    }

    fn lowest_admitted(&self) -> u8 {
        self.thresholds.of(&service()).map_or(ADMIT_ALL, |threshold| threshold.lowest_admitted)
    }

    fn report(&mut self, broker: &str, report: OverloadReport) -> u8 {
        let reported = BrokerOverload { broker: BrokerName::new(broker), report };
        self.fold.report(&self.settings, self.now, &reported, &mut self.thresholds);
        self.lowest_admitted()
    }

    fn wait(&mut self, span: Duration) {
        self.now = self.now.after(span);
    }
}

#[rstest]
#[case::nothing_refused(CONCURRENCY, &[0, 0, 0], ADMIT_ALL)]
#[case::only_the_lowest_is_refused(CONCURRENCY, &[0, 0, 100], ADMIT_ALL)]
#[case::the_middle_one_is_refused(CONCURRENCY, &[0, 20, 100], 1)]
#[case::the_highest_is_refused(CONCURRENCY, &[5, 20, 100], 0)]
#[case::a_share_too_small(CONCURRENCY, &[4, 4, 100], ADMIT_ALL)]
#[case::refused_though_a_slot_is_free(CONCURRENCY - 1, &[90, 90, 90], ADMIT_ALL)]
fn the_highest_class_that_presses_is_the_lowest_admitted_at_once(
    #[case] running: u32,
    #[case] refused: &[u64],
    #[case] expected: u8,
) {
    let mut harness = Harness::new(OverloadSettings::default());
    assert_eq!(harness.report("b1", report(running, ADMIT_ALL, refused)), expected);
}

#[test]
fn what_presses_at_one_broker_counts_for_all() {
    let mut harness = Harness::new(OverloadSettings::default());
    harness.report("b1", report(CONCURRENCY, ADMIT_ALL, &[0, 30, 100]));
    assert_eq!(harness.report("b2", report(CONCURRENCY, ADMIT_ALL, &[0, 0, 100])), 1);
    // A class below the threshold is refused on purpose and no longer counts as overloaded.
    assert_eq!(harness.report("b1", report(CONCURRENCY, 1, &[0, 30, 100])), 1);
    assert_eq!(harness.report("b2", report(CONCURRENCY, 1, &[10, 30, 100])), 0);
}

#[test]
fn a_report_of_a_broker_that_fell_silent_counts_no_more() {
    let settings = OverloadSettings::default();
    let mut harness = Harness::new(settings);
    harness.report("b1", report(CONCURRENCY, ADMIT_ALL, &[30, 30, 100]));
    harness.wait(settings.report_ttl);
    for _ in 0..=settings.step_down_after.as_secs() {
        harness.report("b2", report(1, 0, &[0, 100, 100]));
        harness.wait(SECOND);
    }
    assert_eq!(harness.lowest_admitted(), 1);
}

#[test]
fn the_threshold_falls_class_by_class_while_there_is_room() {
    let settings = OverloadSettings::default();
    let mut harness = Harness::new(settings);
    harness.report("b1", report(CONCURRENCY, ADMIT_ALL, &[30, 30, 100]));
    let mut seen = Vec::new();
    for _ in 0..=2 * settings.step_down_after.as_secs() {
        harness.wait(SECOND);
        seen.push(harness.report("b1", report(1, harness.lowest_admitted(), &[0, 0, 0])));
    }
    let step = settings.step_down_after.as_secs() as usize;
    assert_eq!(seen[..step], vec![0; step]);
    assert_eq!(seen[step..2 * step], vec![1; step]);
    assert_eq!(seen[2 * step], ADMIT_ALL, "a threshold at the lowest class shuts nothing out");
}

#[rstest]
#[case::no_room(report(CONCURRENCY * 7 / 10, 0, &[0, 100, 100]))]
#[case::it_presses_still(report(CONCURRENCY, 0, &[5, 100, 100]))]
fn the_threshold_stays_without_room(#[case] later: OverloadReport) {
    let mut harness = Harness::new(OverloadSettings::default());
    harness.report("b1", report(CONCURRENCY, ADMIT_ALL, &[30, 30, 100]));
    for _ in 0..60 {
        harness.wait(SECOND);
        assert_eq!(harness.report("b1", later.clone()), 0);
    }
}

/// Number of threshold changes in a minute in which a class is overloaded every fourth second.
fn changes_under_a_load_that_swings(settings: OverloadSettings) -> u64 {
    let mut harness = Harness::new(settings);
    for second in 0..60 {
        let lowest = harness.lowest_admitted();
        let measured = match second % 4 {
            0 => report(CONCURRENCY, lowest, &[0, 30, 100]),
            _ => report(2, lowest, &[0, 0, 0]),
        };
        harness.report("b1", measured);
        harness.wait(SECOND);
    }
    harness.thresholds.version()
}

#[test]
fn a_load_that_swings_changes_the_threshold_once_and_often_without_hysteresis() {
    let settings = OverloadSettings::default();
    assert_eq!(changes_under_a_load_that_swings(settings), 1);
    let mutant = OverloadSettings { step_down_after: Duration::ZERO, ..settings };
    assert!(changes_under_a_load_that_swings(mutant) > 20);
}

#[test]
fn the_threshold_ends_when_nobody_reports() {
    let mut state = ClusterState::default();
    let reported = BrokerOverload {
        broker: BrokerName::new("b1"),
        report: report(CONCURRENCY, ADMIT_ALL, &[0, 30, 100]),
    };
    let mut apply = |index, at, reports| {
        let command = Command { at, body: CommandBody::ReportOverload(reports) };
        state.apply(LogIndex(index), &command);
        state.thresholds().of(&service()).map(|threshold| threshold.lowest_admitted)
    };
    assert_eq!(apply(1, START, vec![reported]), Some(1));
    let life = OverloadSettings::default().threshold_ttl;
    assert_eq!(apply(2, START.after(life - SECOND), vec![]), Some(1));
    assert_eq!(apply(3, START.after(life), vec![]), None);
}

#[rstest]
#[case::calm(report(1, ADMIT_ALL, &[0, 0]), false)]
#[case::refused(report(1, ADMIT_ALL, &[0, 1]), true)]
#[case::shut_out(report(1, 0, &[0, 0]), true)]
fn a_broker_reports_while_it_is_overloaded_and_once_after(
    #[case] measured: OverloadReport,
    #[case] overloaded: bool,
) {
    let mut reporter = OverloadReporter::default();
    assert_eq!(reporter.reports(vec![measured.clone()]).len(), usize::from(overloaded));
    let calm = OverloadReport { lowest_admitted: ADMIT_ALL, ..measured };
    assert_eq!(reporter.reports(vec![calm.clone()]).len(), usize::from(overloaded));
    assert_eq!(reporter.reports(vec![calm]), vec![]);
}

#[test]
fn a_broker_reports_what_came_since_its_last_look() {
    let mut reporter = OverloadReporter::default();
    reporter.reports(vec![report(CONCURRENCY, ADMIT_ALL, &[0, 7])]);
    let mut measured = report(CONCURRENCY, ADMIT_ALL, &[0, 10]);
    measured.classes[1].offered = 160;
    let reports = reporter.reports(vec![measured]);
    let class = reports[0].classes[1];
    assert_eq!((class.offered, class.refused), (60, 3));
}
