//! A quota over real processes: callers who come to brokers unevenly, and a control process that is killed.

use std::sync::atomic::Ordering;
use std::thread::{sleep, spawn};
use std::time::Duration;

use gingerkeel_domain::identifiers::SoftwareVersion;

use super::Service;
use super::fleet::FleetSize;
use super::parties::{Scene, call_once};
use super::tenants::{GREEDY, GREEDY_QUOTA, STEADY, fault_of_quota};

/// Two control processes, so that without one nothing is accepted, and brokers that callers use unevenly.
const SIZE: FleetSize = FleetSize { controls: 2, brokers: 4 };
/// Requests a second that come to each broker from the tenant beyond its quota: five times the quota.
const GREEDY_REQUESTS: [u64; SIZE.brokers] = [60, 30, 9, 1];
/// Those of the tenant within its quota.
const STEADY_REQUESTS: [u64; SIZE.brokers] = [1, 1, 5, 20];
/// Time before and after the control process is killed.
const SPAN: Duration = Duration::from_secs(7);

/// Sends requests of a tenant to one broker until the run is over.
fn send(scene: &Scene, tenant: &str, broker: usize, per_second: u64) {
    let mut number = 0;
    while !scene.stop.load(Ordering::Relaxed) {
        number += 1;
        call_once(scene, broker, "one", &format!("c{broker}-{tenant}-{number}-one"));
        sleep(Duration::from_millis(1_000 / per_second));
    }
}

#[test]
fn a_quota_holds_over_uneven_brokers_while_a_control_process_is_killed() {
    let folder = tempfile::tempdir().expect("a folder");
    let service = Service::start(folder.path(), SIZE, &SoftwareVersion::default());
    let Service { journal, mut fleet, scene, .. } = service.expect("a fleet that is ready");
    let rates = [(GREEDY, GREEDY_REQUESTS), (STEADY, STEADY_REQUESTS)];
    let parties = rates.into_iter().flat_map(|(tenant, rates)| {
        rates.into_iter().enumerate().map(move |(broker, rate)| (tenant, broker, rate))
    });
    let threads: Vec<_> = parties
        .map(|(tenant, broker, rate)| {
            let scene = scene.clone();
            spawn(move || send(&scene, tenant, broker, rate))
        })
        .collect();
    sleep(SPAN);
    fleet.controls[0].kill();
    sleep(SPAN);
    scene.stop.store(true, Ordering::Relaxed);
    threads.into_iter().for_each(|thread| thread.join().expect("a party ends"));
    let seen = scene.record.lock();
    assert!(seen.violations.is_empty(), "{:?}", seen.violations);
    assert!(seen.counts.over_quota > 0, "{:?}", seen.counts);
    let arrivals = journal.greedy_arrivals();
    assert_eq!(fault_of_quota(&arrivals), None);
    let allowed = GREEDY_QUOTA.per_second() * SPAN.as_secs_f64() * 2.0;
    assert!(arrivals.len() as f64 > 0.7 * allowed, "{} of {allowed}", arrivals.len());
}
