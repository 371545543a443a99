//! Returning admitted requests that did not run to the quota.

use std::time::Duration;

use gingerkeel_domain::identifiers::TenantName;
use gingerkeel_domain::quota::{FleetUsage, QuotaDecision, QuotaMeter, QuotaSettings};
use gingerkeel_domain::routes::TenantQuota;
use gingerkeel_domain::time::Timestamp;
use rstest::rstest;

/// Zero tolerance, so that the burst alone decides.
const EXACT: QuotaSettings =
    QuotaSettings { window: Duration::from_secs(5), overshoot: 0.0, slack: 0.0 };

fn at(milliseconds: u64) -> Timestamp {
    Timestamp::from_micros(milliseconds * 1_000)
}

/// A meter with a tenant that has a burst of three requests and a negligible rate.
fn meter(tenant: &TenantName) -> QuotaMeter {
    let mut meter = QuotaMeter::new(EXACT);
    let quota = TenantQuota { requests_per_1000_s: 1, burst_thousandths: 3_000 };
    meter.configure(at(0), [(tenant.clone(), quota)].into_iter());
    meter
}

/// Whether a request is admitted at a draw of 0.3.
fn is_admitted(meter: &mut QuotaMeter, now: Timestamp, tenant: &TenantName) -> bool {
    meter.admit(now, tenant, 0.3) == QuotaDecision::Admitted
}

/// Number of ten requests, `apart_ms` apart, that are admitted if each or none is given back.
fn admitted_of_ten(apart_ms: u64, connected: bool, gives_back: bool) -> usize {
    let tenant = TenantName::new("t");
    let mut meter = meter(&tenant);
    let admitted = (0..10).filter(|turn| {
        let now = at(turn * apart_ms);
        if connected {
            meter.apply_fleet_usage(now, &FleetUsage::default());
        }
        let admitted = is_admitted(&mut meter, now, &tenant);
        if gives_back {
            meter.give_back(now, &tenant);
        }
        admitted
    });
    admitted.count()
}

#[rstest]
#[case::with_current_levels(450, true)]
#[case::isolated(2_000, false)]
fn a_request_that_did_not_run_is_available_again(#[case] apart_ms: u64, #[case] connected: bool) {
    assert_eq!(admitted_of_ten(apart_ms, connected, true), 10);
    assert!(admitted_of_ten(apart_ms, connected, false) <= 4);
}

#[test]
fn a_returned_request_is_not_reported_and_a_reported_one_stays_counted() {
    let tenant = TenantName::new("t");
    let mut meter = meter(&tenant);
    meter.apply_fleet_usage(at(0), &FleetUsage::default());
    assert!(is_admitted(&mut meter, at(0), &tenant));
    assert!(is_admitted(&mut meter, at(1), &tenant));
    meter.give_back(at(2), &tenant);
    let report = meter.report(at(100)).expect("a report");
    assert_eq!((report.uses[0].arrived, report.uses[0].admitted), (2, 1));
    let level = |meter: &QuotaMeter| meter.tenant_statuses().next().map(|standing| standing.level);
    assert_eq!(level(&meter), Some(2.0));
    meter.give_back(at(101), &tenant);
    assert_eq!(level(&meter), Some(2.0));
}

#[test]
fn requests_that_were_not_admitted_cannot_be_given_back() {
    let tenant = TenantName::new("t");
    let mut meter = meter(&tenant);
    (0..100).for_each(|_| meter.give_back(at(0), &tenant));
    let level = meter.tenant_statuses().next().map(|standing| standing.level);
    assert_eq!(level, Some(3.0));
}
