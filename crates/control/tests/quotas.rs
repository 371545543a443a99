//! Exchange of quota usage between control processes, and its distribution to their brokers.

mod support;

use std::thread::sleep;
use std::time::Duration;

use gingerkeel_domain::identifiers::TenantName;
use gingerkeel_domain::quota::{FleetUsage, TenantLevel, TenantUse, UsageReport};
use gingerkeel_protocol::{FeedMessage, SubscriberMessage, decode_document, encode_document};
use gingerkeel_transport::{ClientConnection, HttpRequest, Limits, block_on};
use http::{Method, Uri};
use support::cluster::Cluster;
use support::{FakeBroker, wait_until};

/// Number of control processes. With one of two down there is no quorum, but quotas still hold.
const PROCESSES: usize = 2;
/// Name of the tenant with a quota.
const TENANT: &str = "kiosk";

/// The tenant's burst, in requests.
const BURST: u64 = 1_000;
/// Time after which control processes that started together count each other's reports as new
/// usage.
const STARTUP_TIME: Duration = Duration::from_secs(2);

/// Replaces the routes by a configuration with this quota, in requests per second; 0 is unlimited.
fn replace_quota(cluster: &Cluster, version: u64, per_second: u64) {
    let configuration = serde_json::json!({
        "version": version,
        "routes": [],
        "services": [],
        "limits": { "head_bytes": 8192, "body_bytes": 65536, "head_time_ms": 5000, "idle_time_ms": 5000 },
        "tenants": [{
            "name": TENANT,
            "keys": [],
            "quota": {
                "requests_per_1000_s": per_second * 1_000,
                "burst_thousandths": BURST * 1_000,
            },
        }],
    });
    let body = configuration.to_string();
    wait_until(|| put(cluster, body.clone()) == Some(200));
}

fn put(cluster: &Cluster, body: String) -> Option<u16> {
    let routes = cluster.members[0].routes;
    let mut request = HttpRequest::new(body.into());
    *request.method_mut() = Method::PUT;
    *request.uri_mut() = Uri::from_static("/v1/routes");
    let exchanging = async move {
        let mut connection = ClientConnection::connect(routes, Limits::default()).await?;
        connection.exchange(request).await
    };
    block_on(exchanging).ok()?.ok().map(|response| response.status().as_u16())
}

fn report(sequence: u64, requests: u32) -> SubscriberMessage {
    let used = TenantUse { tenant: TenantName::new(TENANT), arrived: requests, admitted: requests };
    let report = encode_document(&UsageReport { sequence, uses: vec![used] }).unwrap();
    SubscriberMessage::Usage { report: report.into() }
}

/// The first quota usage message for which `select` returns a value.
fn receive_usage<T>(broker: &mut FakeBroker, select: impl Fn(&FleetUsage) -> Option<T>) -> T {
    broker.receive_until(|message| match message {
        FeedMessage::Usage { usage } => select(&decode_document(&usage.bytes).unwrap()),
        _ => None,
    })
}

fn level_below(usage: &FleetUsage, level: i64) -> Option<()> {
    let is_low = |known: &TenantLevel| {
        known.tenant.as_str() == TENANT && known.level_thousandths < level * 1_000
    };
    usage.levels.iter().any(is_low).then_some(())
}

#[test]
fn usage_of_a_broker_reaches_the_brokers_of_the_other_control_process() {
    let cluster = Cluster::start(PROCESSES);
    replace_quota(&cluster, 1, 1);
    let [first, second] = [0, 1].map(|index: usize| &cluster.members[index].control);
    let mut here = FakeBroker::subscribe(first, "b1", 1, 0);
    let mut there = FakeBroker::subscribe(second, "b2", 2, 0);
    sleep(STARTUP_TIME);
    here.send(&report(1, 2_000));
    receive_usage(&mut here, |usage| (usage.heard == 1).then_some(()));
    receive_usage(&mut there, |usage| level_below(usage, 0));
    let mut newcomer = FakeBroker::subscribe(second, "b3", 3, 0);
    let first_usage = receive_usage(&mut newcomer, |usage| Some(usage.clone()));
    assert!(level_below(&first_usage, 0).is_some(), "{first_usage:?}");
}

#[test]
fn usage_survives_the_loss_of_the_control_process_that_received_it() {
    let mut cluster = Cluster::start(PROCESSES);
    replace_quota(&cluster, 1, 1);
    let mut here = FakeBroker::subscribe(&cluster.members[0].control, "b1", 1, 0);
    let mut there = FakeBroker::subscribe(&cluster.members[1].control, "b2", 2, 0);
    sleep(STARTUP_TIME);
    here.send(&report(1, 5_000));
    receive_usage(&mut there, |usage| level_below(usage, -1_000));
    cluster.kill(0);
    let mut moved = FakeBroker::subscribe(&cluster.members[1].control, "b1", 1, 0);
    receive_usage(&mut moved, |usage| level_below(usage, -1_000));
    receive_usage(&mut there, |usage| level_below(usage, -1_000));
}

#[test]
fn restarted_control_process_learns_later_usage() {
    let mut cluster = Cluster::start(PROCESSES);
    replace_quota(&cluster, 1, 1);
    let mut here = FakeBroker::subscribe(&cluster.members[0].control, "b1", 1, 0);
    receive_usage(&mut here, |_| Some(()));
    cluster.kill(1);
    here.send(&report(1, 5_000));
    receive_usage(&mut here, |usage| level_below(usage, -1_000));
    cluster.restart(1);
    wait_until(|| cluster.members[1].control.is_ready());
    let mut there = FakeBroker::subscribe(&cluster.members[1].control, "b2", 2, 0);
    // It does not know the usage before its start and counts the burst as used.
    receive_usage(&mut there, |usage| level_below(usage, 100));
    here.send(&report(2, 5_000));
    receive_usage(&mut there, |usage| level_below(usage, -1_000));
}

#[test]
fn each_control_process_shows_the_rest_of_a_quota() {
    let cluster = Cluster::start(PROCESSES);
    replace_quota(&cluster, 1, 1);
    let mut broker = FakeBroker::subscribe(&cluster.members[0].control, "b1", 1, 0);
    sleep(STARTUP_TIME);
    broker.send(&report(1, 2_000));
    for member in &cluster.members {
        wait_until(|| {
            let rows = member.control.rows("SHOW TENANTS");
            let left = rows.first().and_then(|row| row[7].parse::<f64>().ok());
            left.is_some_and(|left| left < -900.0)
        });
    }
}

#[test]
fn usage_of_a_removed_quota_is_no_longer_sent() {
    let cluster = Cluster::start(PROCESSES);
    replace_quota(&cluster, 1, 1);
    let mut broker = FakeBroker::subscribe(&cluster.members[0].control, "b1", 1, 0);
    receive_usage(&mut broker, |_| Some(()));
    broker.send(&report(1, 2_000));
    receive_usage(&mut broker, |usage| level_below(usage, 0));
    replace_quota(&cluster, 2, 0);
    wait_until(|| {
        let mut newcomer = FakeBroker::subscribe(&cluster.members[0].control, "b2", 2, 0);
        newcomer.send(&SubscriberMessage::Renew { ticket: 1, in_force: 0 });
        let first = newcomer.receive_until(|message| match message {
            FeedMessage::Usage { .. } => Some(true),
            FeedMessage::Lease { .. } => Some(false),
            _ => None,
        });
        !first
    });
}
