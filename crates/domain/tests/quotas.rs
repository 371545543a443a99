//! Quotas over a fleet of brokers without failures.

mod quota_fleet;

use gingerkeel_domain::identifiers::TenantName;
use gingerkeel_domain::quota::{QuotaDecision, QuotaMeter};
use gingerkeel_domain::routes::TenantQuota;
use quota_fleet::{Fleet, Load, SETTINGS, Spread, at, quota};
use rstest::rstest;

/// Number of control processes of a fleet.
const CONTROLS: usize = 3;
/// Start of the load; by then the processes have discovered each other.
const OPEN_MS: u64 = 3_000;
/// Load of a tenant within its quota, as a fraction of the quota.
const CALM: f64 = 0.6;

fn calm(tenant: &'static str, per_second: f64, spread: Spread, until_ms: u64) -> Load {
    Load { tenant, per_second: per_second * CALM, spread, from_ms: OPEN_MS, until_ms }
}

/// A tenant with a quota of `rate` requests per second that sends `times` as much from second 10 to
/// 20, and another tenant that stays within its quota.
fn hot_tenant(brokers: usize, rate: f64, times: f64, spread: Spread) -> Fleet {
    let quotas = [("hot", quota(rate, rate)), ("calm", quota(40.0, 40.0))];
    let mut fleet = Fleet::new(brokers, CONTROLS.min(brokers), &quotas);
    fleet.load(calm("hot", rate, spread, 30_000));
    fleet.load(calm("calm", 40.0, spread, 30_000));
    let more = rate * (times - CALM);
    fleet.load(Load { tenant: "hot", per_second: more, spread, from_ms: 10_000, until_ms: 20_000 });
    fleet.run_until(30_000);
    fleet
}

#[rstest]
fn a_hot_tenant_gets_its_quota_and_no_more(
    #[values(1, 4, 64, 300)] brokers: usize,
    #[values(0.1, 1.0, 40.0, 400.0)] rate: f64,
    #[values(3.0, 6.0)] times: f64,
    #[values(Spread::One, Spread::Zipf, Spread::Even)] spread: Spread,
) {
    let fleet = hot_tenant(brokers, rate, times, spread);
    let hot = fleet.ledger("hot");
    let worst = hot.worst_window(&SETTINGS, 0);
    assert!(worst <= 1.0, "a window had {worst:.2} of what operators tolerate");
    let (got, owed) = (hot.admitted(10_000, 20_000), hot.within(10_000, 20_000));
    assert!(got as f64 >= 0.9 * owed as f64, "while it was hot it got {got} of {owed}");
    let refused = hot.wrongly_refused(0, 10_000);
    assert!(refused < 0.001, "{refused:.4} were refused before it was hot");
    let refused = fleet.ledger("calm").wrongly_refused(0, 30_000);
    assert!(refused < 0.001, "{refused:.4} of the other tenant were refused");
}

#[rstest]
fn requests_within_a_quota_are_served(
    #[values(1, 4, 64, 300)] brokers: usize,
    #[values(0.1, 1.0, 40.0, 400.0)] rate: f64,
    #[values(0.6, 0.8)] load: f64,
    #[values(Spread::One, Spread::Zipf, Spread::Even)] spread: Spread,
) {
    let mut fleet =
        Fleet::new(brokers, CONTROLS.min(brokers), &[("calm", quota(rate, rate * 2.0))]);
    let per_second = rate * load;
    fleet.load(Load { tenant: "calm", per_second, spread, from_ms: OPEN_MS, until_ms: 60_000 });
    fleet.run_until(60_000);
    let refused = fleet.ledger("calm").wrongly_refused(0, 60_000);
    assert!(refused < 0.001, "{refused:.4} were refused");
}

#[test]
fn a_lower_quota_holds_within_a_window_and_a_higher_one_is_used_within_a_second() {
    let mut fleet = Fleet::new(64, CONTROLS, &[("t", quota(200.0, 200.0))]);
    let load =
        Load { tenant: "t", per_second: 600.0, spread: Spread::Even, from_ms: 0, until_ms: 40_000 };
    fleet.load(load);
    fleet.run_until(15_000);
    fleet.change_quota("t", quota(20.0, 20.0));
    fleet.run_until(30_000);
    let worst = fleet.ledger("t").worst_window(&SETTINGS, 15_000);
    assert!(worst <= 1.0, "a window had {worst:.2} of what operators tolerate");
    fleet.change_quota("t", quota(200.0, 200.0));
    fleet.run_until(32_000);
    let admitted = fleet.ledger("t").admitted(31_000, 32_000);
    assert!(admitted >= 180, "{admitted} of 200 in the second second");
}

#[test]
fn a_refusal_carries_a_retry_delay() {
    let tenant = TenantName::new("t");
    let mut meter = QuotaMeter::new(SETTINGS);
    meter.configure(at(0), [(tenant.clone(), quota(1.0, 1.0))].into_iter());
    let verdicts: Vec<QuotaDecision> =
        (0..100).map(|_| meter.admit(at(1_000), &tenant, 0.5)).collect();
    let Some(QuotaDecision::Rejected { retry_after, .. }) = verdicts.last() else {
        panic!("a hundred at once are beyond a quota of one a second");
    };
    assert!(retry_after.as_secs_f64() >= 1.0 && retry_after.as_secs_f64() <= 60.0);
    assert_eq!(verdicts[0], QuotaDecision::Admitted);
}

#[test]
fn a_tenant_without_a_quota_is_neither_limited_nor_counted() {
    let mut meter = QuotaMeter::new(SETTINGS);
    let free = TenantName::new("free");
    meter.configure(at(0), [(free.clone(), TenantQuota::default())].into_iter());
    let unlimited = (0..10_000).all(|_| meter.admit(at(0), &free, 0.9) == QuotaDecision::Admitted);
    assert!(unlimited);
    assert!(meter.report(at(100)).is_none_or(|report| report.uses.is_empty()));
}
