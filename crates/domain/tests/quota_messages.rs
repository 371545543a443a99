//! Quota messages are counted exactly once.

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

/// An aggregator that knows the membership, long enough after its start for a full burst.
fn aggregator() -> UsageAggregator {
    let mut aggregator = UsageAggregator::new(1);
    aggregator.configure(at(0), [(tenant(), QUOTA)].into_iter());
    aggregator.set_members(at(0), 1, std::iter::empty());
    (0..200).for_each(|round| {
        aggregator.peer_message(at(round * 100));
    });
    aggregator
}

fn level(aggregator: &mut UsageAggregator, now: Timestamp) -> i64 {
    let levels = aggregator.broker_levels(now);
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
fn duplicate_reports_count_once_and_a_new_run_of_the_broker_counts_again() {
    let (mut aggregator, broker, now) = (aggregator(), BrokerName::new("b"), at(20_000));
    aggregator.record_report(now, &broker, BrokerRun(1), &report(1, 50));
    aggregator.record_report(now, &broker, BrokerRun(1), &report(1, 50));
    assert_eq!(level(&mut aggregator, now), 50_000);
    assert_eq!(aggregator.last_sequence(&broker), 1);
    aggregator.record_report(now, &broker, BrokerRun(2), &report(1, 10));
    assert_eq!(level(&mut aggregator, now), 40_000);
}

#[test]
fn earlier_totals_do_not_count_and_those_of_a_new_run_start_at_zero() {
    let (mut aggregator, peer, now) = (aggregator(), ControlName::new("c"), at(20_000));
    aggregator.record_peer_usage(now, &peer, &totals(7, 1_000_000));
    assert_eq!(level(&mut aggregator, now), 100_000, "the first total is the baseline");
    aggregator.record_peer_usage(now, &peer, &totals(7, 1_000_030));
    aggregator.record_peer_usage(now, &peer, &totals(7, 1_000_010));
    assert_eq!(level(&mut aggregator, now), 70_000, "a reordered message changes nothing");
    aggregator.record_peer_usage(now, &peer, &totals(8, 20));
    assert_eq!(level(&mut aggregator, now), 50_000);
}

#[test]
fn unacknowledged_counts_are_reported_again_over_a_new_link() {
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
    assert_eq!(admitted(meter.report(at(200))), 1, "acknowledged requests are not repeated");
    arrive(&mut meter, at(210));
    meter.link_lost(at(220));
    assert_eq!(admitted(meter.report(at(300))), 2, "the unacknowledged request and the new one");
    assert_eq!(meter.report(at(400)), None);
    assert_eq!(admitted(meter.report(at(900))), 0, "a heartbeat");
    meter.link_lost(at(9_000));
    assert_eq!(admitted(meter.report(at(9_000))), 0, "expired");
}

#[test]
fn a_control_process_without_the_membership_sends_no_levels() {
    let mut aggregator = UsageAggregator::new(1);
    aggregator.configure(at(0), [(tenant(), QUOTA)].into_iter());
    assert!(!aggregator.is_informed(at(60_000)));
    aggregator.set_members(at(60_000), 3, std::iter::empty());
    assert!(aggregator.is_informed(at(60_000)));
}
