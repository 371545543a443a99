//! A request that crashes leaves, over real processes that lose power.

use std::thread::sleep;
use std::time::Duration;

use gingerkeel_domain::identifiers::SoftwareVersion;

use super::fleet::{FleetSize, SoakFleet};
use super::http::{Response, exchange};
use super::leaves::{CRASHING, Journal};
use super::parties::Scene;
use super::{REST_LIMIT, Service};
use crate::fleet::wait_until;

const SIZE: FleetSize = FleetSize { controls: 3, brokers: 3 };
/// Requests that come to each broker after the loss of power.
const REPEATS: usize = 4;
/// Time between them: a leaf that ended is back within it.
const BETWEEN_REPEATS: Duration = Duration::from_millis(500);

/// Sends the request that crashes leaves to a broker.
fn send_crashing(scene: &Scene, broker: usize) -> Option<Response> {
    let route = format!("v{}", scene.record.lock().acknowledged);
    let request = format!(
        "GET /{route}/{CRASHING} HTTP/1.1\r\nhost: soak\r\ngingerkeel-request-id: {CRASHING}\r\n\
         gingerkeel-deadline-ms: 4000\r\nconnection: close\r\n\r\n"
    );
    exchange(scene.callers[broker], request.as_bytes(), Duration::from_secs(8)).ok()
}

fn arrivals(journal: &Journal) -> usize {
    journal.all_arrivals().iter().filter(|arrival| arrival.id == CRASHING).count()
}

/// Whether a broker says that the request has not run, and when it may come again.
fn is_refused(scene: &Scene, broker: usize) -> bool {
    let response = send_crashing(scene, broker);
    response.is_some_and(|response| {
        response.status == 503 && response.header("retry-after").is_some_and(|after| after > "1")
    })
}

#[test]
fn a_crashing_request_is_not_sent_again_after_a_loss_of_all_power() {
    let folder = tempfile::tempdir().expect("a folder");
    let service = Service::start(folder.path(), SIZE, &SoftwareVersion::default());
    let Service { journal, mut fleet, scene, .. } = service.expect("a fleet that is ready");
    assert!(wait_until(REST_LIMIT, || is_refused(&scene, 0)), "it is refused in the end");
    sleep(BETWEEN_REPEATS);
    let before = arrivals(&journal);

    let nodes = fleet.controls.iter_mut().chain(&mut fleet.brokers);
    nodes.for_each(|node| node.kill());
    fleet.run_all().expect("all processes start again");
    let ready = || fleet.readiness.iter().all(|address| SoakFleet::is_ready(*address));
    assert!(wait_until(REST_LIMIT, ready), "all brokers are ready");
    for _ in 0..REPEATS {
        (0..SIZE.brokers).for_each(|broker| drop(send_crashing(&scene, broker)));
        sleep(BETWEEN_REPEATS);
    }
    assert_eq!(arrivals(&journal), before, "no leaf got it again");
}
