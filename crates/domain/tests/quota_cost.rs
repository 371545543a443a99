//! Message sizes of quota reports and levels with thousands of tenants.

use std::collections::BTreeMap;

use gingerkeel_domain::identifiers::{BrokerName, BrokerRun, TenantName};
use gingerkeel_domain::quota::{FleetUsage, TenantUse, UsageAggregator, UsageReport};
use gingerkeel_domain::routes::TenantQuota;
use gingerkeel_domain::time::Timestamp;

/// Budget for control traffic per broker in bytes per second (CONTRIBUTING.md).
const BYTES_PER_S: usize = 13_000;
const TENANTS: usize = 10_000;
/// Tenants that exceed their quotas at the same time.
const HOT: usize = 500;
const ROUNDS_PER_S: u64 = 10;

fn tenant(number: usize) -> TenantName {
    TenantName::new(format!("tenant{number:04}"))
}

fn at(round: u64) -> Timestamp {
    Timestamp::from_micros(round * 1_000_000 / ROUNDS_PER_S)
}

/// A report with 25 tenants: the requests per round at one of 1,600 brokers under 400,000 requests
/// per second, as if each came from a different tenant.
fn report(round: u64) -> UsageReport {
    let first = (round as usize * 25) % HOT;
    let uses = (first..first + 25).map(|number| TenantUse {
        tenant: tenant(number % HOT),
        arrived: 100,
        admitted: 40,
    });
    UsageReport { sequence: round + 1, uses: uses.collect() }
}

#[test]
fn messages_stay_small_and_each_tenant_is_told_of_in_time() {
    let quota = TenantQuota { requests_per_1000_s: 10_000, burst_thousandths: 10_000 };
    let mut aggregator = UsageAggregator::new(1);
    aggregator.configure(at(0), (0..TENANTS).map(|number| (tenant(number), quota)));
    aggregator.set_members(at(0), 1_600, std::iter::empty());
    let broker = BrokerName::new("broker");
    let mut bytes = 0;
    let mut sent: BTreeMap<TenantName, u64> = BTreeMap::new();
    let mut longest = 0;
    for round in 0..200 {
        let report = report(round);
        aggregator.record_report(at(round), &broker, BrokerRun(1), &report);
        let usage = FleetUsage {
            heard: aggregator.last_sequence(&broker),
            levels: aggregator.broker_levels(at(round)),
        };
        assert!(usage.levels.len() <= 32);
        bytes += postcard::to_allocvec(&report).expect("a report").len();
        bytes += postcard::to_allocvec(&usage).expect("levels").len();
        for level in usage.levels {
            let before = sent.insert(level.tenant, round);
            longest = longest.max(before.map_or(0, |before| round - before));
        }
    }
    let per_second = bytes / 200 * ROUNDS_PER_S as usize;
    println!(
        "{per_second} bytes per second, {} tenants, longest interval {longest} rounds",
        sent.len()
    );
    assert!(per_second <= BYTES_PER_S);
    assert_eq!(sent.len(), HOT, "levels are sent only for tenants with requests");
    assert!(
        longest <= 20,
        "a level is valid for two seconds; one was repeated after {longest} rounds"
    );
}
