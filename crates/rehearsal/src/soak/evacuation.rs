//! Evacuations of a zone: ordered and taken back all through a soak, and checked at its end, from what
//! the leaves of the zone got.

use std::thread::sleep;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

use super::http::exchange;
use super::leaves::Journal;
use super::parties::Scene;

/// The zone that is evacuated; all services have leaves in others.
pub const ZONE: &str = "b";
/// Pause between two orders.
const ORDER_PAUSE: Duration = Duration::from_millis(900);
/// Time that an order has.
const ORDER_LIMIT: Duration = Duration::from_secs(6);
/// Time in which an order is accepted and in force everywhere when all is quiet.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(5);
/// Time for which the leaves of the zone are watched.
const WATCH: Duration = Duration::from_secs(1);

/// Salt of the orders' random choices.
const ORDER_SALT: u64 = 0x7a6f_6e65;

/// Evacuates the zone and restores it by turns, at any control process, until `until`. No such order may
/// be refused, whatever is broken.
pub fn order_by_turns(scene: &Scene, seed: u64, until: Instant) {
    let mut random = Pcg64::seed_from_u64(seed ^ ORDER_SALT);
    let mut evacuate = true;
    while Instant::now() < until {
        let control = random.random_range(0..scene.operators.len());
        order(scene, control, evacuate);
        evacuate = !evacuate;
        sleep(ORDER_PAUSE);
    }
}

/// Orders once; gives whether it was acknowledged.
fn order(scene: &Scene, control: usize, evacuate: bool) -> bool {
    let method = if evacuate { "PUT" } else { "DELETE" };
    let request = format!(
        "{method} /v1/evacuations/{ZONE} HTTP/1.1\r\nhost: soak\r\ncontent-length: 0\r\n\r\n"
    );
    let outcome = exchange(scene.operators[control], request.as_bytes(), ORDER_LIMIT);
    let mut seen = scene.record.lock();
    match outcome.map(|response| response.status) {
        Ok(200) => {
            seen.counts.zone_orders += 1;
            return true;
        }
        Ok(503) | Err(_) => {}
        Ok(status) => seen.violations.push(format!("{method} of zone {ZONE} got {status}")),
    }
    false
}

/// While callers go on and nothing is broken any more: the zone is evacuated, and once that is in
/// force its leaves get nothing; it is restored, and they get requests again.
pub fn check(scene: &Scene, journal: &Journal) {
    if !order_until_accepted(scene, true) {
        return scene.record.violation("an evacuation was not accepted at rest".to_owned());
    }
    sleep(IN_FORCE_LIMIT);
    let before = journal.arrivals_in(ZONE);
    sleep(WATCH);
    if let Some(fault) = fault_of_evacuated(before, journal.arrivals_in(ZONE)) {
        scene.record.violation(fault);
    }
    if !order_until_accepted(scene, false) {
        return scene.record.violation("an evacuation was not taken back at rest".to_owned());
    }
    sleep(IN_FORCE_LIMIT);
    if journal.arrivals_in(ZONE) == before {
        scene.record.violation("a zone that was restored gets no requests".to_owned());
    }
}

fn order_until_accepted(scene: &Scene, evacuate: bool) -> bool {
    let end = Instant::now() + IN_FORCE_LIMIT * 2;
    let mut control = 0;
    while Instant::now() < end {
        if order(scene, control % scene.operators.len(), evacuate) {
            return true;
        }
        control += 1;
        sleep(ORDER_PAUSE);
    }
    false
}

/// What is wrong with the requests that leaves of the zone got while its evacuation was in force.
pub fn fault_of_evacuated(before: u64, after: u64) -> Option<String> {
    let count = after - before;
    (count > 0).then(|| format!("{count} requests came to the evacuated zone {ZONE}"))
}
