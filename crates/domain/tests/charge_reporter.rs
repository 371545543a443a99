//! Exactly-once counting of a broker's charges despite lost reports, lost receipts and settled
//! runs.

use gingerkeel_domain::cluster::{
    ChargeKey, ChargeReceipt, ChargeReport, Charges, RUN_RETENTION, WallTime,
};
use gingerkeel_domain::feed::{ChargeReporter, RunReport};
use gingerkeel_domain::identifiers::{BrokerName, CallerName, ClassName, ServiceName};
use gingerkeel_domain::metering::ChargeCounters;
use proptest::prelude::*;

const PRICE: u64 = 3;

fn key(number: u8) -> ChargeKey {
    ChargeKey {
        caller: CallerName::new(format!("caller-{number}")),
        service: ServiceName::new("console"),
        class: ClassName::new("urgent"),
    }
}

fn record(charges: &mut Charges, now: WallTime, report: &RunReport) -> ChargeReceipt {
    let broker = BrokerName::new("b1");
    let RunReport { run, sequence, totals } = report.clone();
    charges.record(now, &ChargeReport { broker, run, sequence, counters: totals })
}

#[test]
fn recorded_charges_are_not_reported_again() {
    let mut counters = ChargeCounters::default();
    let mut reporter = ChargeReporter::new(1);
    assert_eq!(reporter.report(counters.counters()), None);
    counters.charge(key(0), PRICE);
    let report = reporter.report(counters.counters()).unwrap();
    assert_eq!(reporter.report(counters.counters()), Some(report.clone()));
    for (run, sequence) in [(report.run, report.sequence + 1), (report.run + 1, report.sequence)] {
        reporter.recorded(run, sequence);
        reporter.run_settled(run, sequence, 9);
        let again = reporter.report(counters.counters());
        assert_eq!(again.as_ref(), Some(&report), "a receipt of another report is ignored");
    }
    reporter.recorded(report.run, report.sequence);
    assert_eq!(reporter.report(counters.counters()), None);
}

#[test]
fn charges_after_a_settled_run_are_counted_in_a_new_run() {
    let mut charges = Charges::default();
    let mut counters = ChargeCounters::default();
    let mut reporter = ChargeReporter::new(1);
    let mut now = WallTime(1);
    counters.charge(key(0), PRICE);
    let first = reporter.report(counters.counters()).unwrap();
    assert_eq!(record(&mut charges, now, &first), ChargeReceipt::Recorded);
    reporter.recorded(first.run, first.sequence);
    now = now.after(RUN_RETENTION);
    charges.settle(now);
    counters.charge(key(0), PRICE);
    let second = reporter.report(counters.counters()).unwrap();
    assert_eq!(record(&mut charges, now, &second), ChargeReceipt::RunSettled);
    reporter.run_settled(second.run, second.sequence, 2);
    let again = reporter.report(counters.counters()).unwrap();
    assert_eq!(record(&mut charges, now, &again), ChargeReceipt::Recorded);
    assert_eq!(charges.totals(), counters.counters());
}

proptest! {
    #[test]
    fn totals_match_once_the_last_report_is_recorded(
        steps in prop::collection::vec((0..3u8, any::<bool>(), any::<bool>()), 1..60),
    ) {
        let mut charges = Charges::default();
        let mut counters = ChargeCounters::default();
        let mut reporter = ChargeReporter::new(1);
        let now = WallTime(1);
        for (caller, arrives, receipt_arrives) in steps {
            counters.charge(key(caller), PRICE);
            let report = reporter.report(counters.counters()).unwrap();
            if arrives {
                record(&mut charges, now, &report);
                if receipt_arrives {
                    reporter.recorded(report.run, report.sequence);
                }
            }
            for (key, total) in charges.totals() {
                prop_assert!(total.answered <= counters.counter(key).answered);
            }
        }
        while let Some(report) = reporter.report(counters.counters()) {
            record(&mut charges, now, &report);
            reporter.recorded(report.run, report.sequence);
        }
        prop_assert_eq!(charges.totals(), counters.counters());
    }
}
