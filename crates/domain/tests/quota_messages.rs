//! What brokers and control processes tell each other of quotas counts once.

use std::time::Duration;

use gingerkeel_domain::identifiers::{BrokerName, BrokerRun, ControlName, TenantName};
use gingerkeel_domain::quota::{
    FleetUsage, PeerUsage, QuotaMeter, QuotaSettings, TenantTotal, TenantUse, UsageAggregator,
    UsageReport,
};
use gingerkeel_domain::routes::TenantQuota;
use gingerkeel_domain::time::Timestamp;

const QUOTA: TenantQuota = TenantQuota { requests_per_1000_s: 10_000, burst_thousandths: 100_000 };

fn at(milliseconds: u64) -> Timestamp {
    Timestamp::from_micros(milliseconds * 1_000)
}

fn tenant() -> TenantName {
    TenantName::new("t")
}

/// A control process that knows the members, long enough after its start for the burst to be whole.
fn fold() -> UsageAggregator {
    let mut fold = UsageAggregator::new(1);
    fold.configure(at(0), [(tenant(), QUOTA)].into_iter());
    fold.set_members(at(0), 1, std::iter::empty());
    (0..200).for_each(|round| {
        fold.peer_message(at(round * 100));
    });
    fold
}

fn level(fold: &mut UsageAggregator, now: Timestamp) -> i64 {
    let levels = fold.broker_levels(now);
    levels.first().map_or(100_000, |level| level.level_thousandths)
}

fn report(sequence: u64, admitted: u32) -> UsageReport {
    let used = TenantUse { tenant: tenant(), arrived: admitted, admitted };
    UsageReport { sequence, uses: vec![used] }
}

fn totals(run: u64, admitted: u64) -> PeerUsage {
    let total = TenantTotal { tenant: tenant(), arrived: admitted, admitted };
    PeerUsage { run, totals: vec![total] }
}

#[test]
fn a_report_that_comes_twice_counts_once_and_a_new_run_of_the_broker_counts_anew() {
    let (mut fold, broker, now) = (fold(), BrokerName::new("b"), at(20_000));
    fold.record_report(now, &broker, BrokerRun(1), &report(1, 50));
    fold.record_report(now, &broker, BrokerRun(1), &report(1, 50));
    assert_eq!(level(&mut fold, now), 50_000);
    assert_eq!(fold.last_sequence(&broker), 1);
    fold.record_report(now, &broker, BrokerRun(2), &report(1, 10));
    assert_eq!(level(&mut fold, now), 40_000);
}

#[test]
fn totals_of_before_do_not_count_and_those_of_a_new_run_begin_at_nothing() {
    let (mut fold, peer, now) = (fold(), ControlName::new("c"), at(20_000));
    fold.record_peer_usage(now, &peer, &totals(7, 1_000_000));
    assert_eq!(level(&mut fold, now), 100_000, "used before this process heard of it");
    fold.record_peer_usage(now, &peer, &totals(7, 1_000_030));
    fold.record_peer_usage(now, &peer, &totals(7, 1_000_010));
    assert_eq!(level(&mut fold, now), 70_000, "a message that was overtaken changes nothing");
    fold.record_peer_usage(now, &peer, &totals(8, 20));
    assert_eq!(level(&mut fold, now), 50_000);
}

#[test]
fn counts_that_were_not_acknowledged_come_again_over_another_link() {
    let settings = QuotaSettings { window: Duration::from_secs(5), overshoot: 0.1, slack: 20.0 };
    let mut meter = QuotaMeter::new(settings);
    meter.configure(at(0), [(tenant(), QUOTA)].into_iter());
    let admitted = |report: Option<UsageReport>| {
        report.map_or(0, |report| report.uses.iter().map(|used| used.admitted).sum())
    };
    let arrive = |meter: &mut QuotaMeter, now| meter.admit(now, &tenant(), 0.0);
    arrive(&mut meter, at(10));
    assert_eq!(admitted(meter.report(at(100))), 1);
    meter.apply_fleet_usage(at(150), &FleetUsage { heard: 1, levels: Vec::new() });
    arrive(&mut meter, at(160));
    assert_eq!(admitted(meter.report(at(200))), 1, "without what was acknowledged");
    arrive(&mut meter, at(210));
    meter.link_lost(at(220));
    assert_eq!(admitted(meter.report(at(300))), 2, "the one that may be lost, and the next");
    assert_eq!(meter.report(at(400)), None);
    assert_eq!(admitted(meter.report(at(900))), 0, "a sign of life");
    meter.link_lost(at(9_000));
    assert_eq!(admitted(meter.report(at(9_000))), 0, "too old to matter");
}

#[test]
fn a_control_process_that_does_not_know_the_members_tells_nothing() {
    let mut fold = UsageAggregator::new(1);
    fold.configure(at(0), [(tenant(), QUOTA)].into_iter());
    assert!(!fold.is_informed(at(60_000)));
    fold.set_members(at(60_000), 3, std::iter::empty());
    assert!(fold.is_informed(at(60_000)));
}
