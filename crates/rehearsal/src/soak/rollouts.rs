//! Roll-outs of versions that fail: ordered one after the other all through a soak, and judged by what the leaves of each
//! version got.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::{Duration, Instant};

use gingerkeel_domain::identifiers::SoftwareVersion;
use gingerkeel_domain::rollout::ExposureLimit;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use serde_json::Value;

use super::answer::SINGLE;
use super::http::exchange;
use super::leaves::{Journal, LeafMode, ServedDirectory, StandInLeaf};
use super::parties::Scene;

/// The zone of the leaves of new versions, in which no others are.
pub const NEW_ZONE: &str = "c";
/// Leaves of a new version, and the number of the first.
const NEW_LEAVES: usize = 3;
const FIRST_NUMBER: usize = 10;
/// Time of a roll-out.
const WITHIN: Duration = Duration::from_secs(6);
/// Time from an order to its outcome at most, while control processes are down by turns.
const OUTCOME_LIMIT: Duration = Duration::from_secs(20);
/// Pause between two looks at a roll-out.
const LOOK_PAUSE: Duration = Duration::from_millis(300);
/// Time that an order or a look has.
const CALL_LIMIT: Duration = Duration::from_secs(6);
/// Time after a version was taken back in which requests may still come to it.
const LAST_REQUESTS: Duration = Duration::from_secs(5);

/// Salt of the orders' random choices.
const ORDER_SALT: u64 = 0x726f_6c6c;

/// Orders roll-outs of versions that fail, until `until`. None may be refused but for one that is under way, get more
/// requests than allowed, or be completed.
pub fn order_by_turns(
    scene: &Scene,
    journal: &Arc<Journal>,
    directory: &ServedDirectory,
    seed: u64,
    until: Instant,
) {
    let mut random = Pcg64::seed_from_u64(seed ^ ORDER_SALT);
    let mut turn = 0;
    while Instant::now() < until {
        turn += 1;
        let version = format!("bad-{turn}");
        let control = random.random_range(0..scene.operators.len());
        if !order(scene, control, &version) {
            sleep(LOOK_PAUSE);
            continue;
        }
        if let Some(fault) = play(scene, journal, directory, &version) {
            scene.record.violation(fault);
        }
    }
}

/// Lists leaves of a version, waits for the outcome of its roll-out and gives what is wrong with it.
fn play(
    scene: &Scene,
    journal: &Arc<Journal>,
    directory: &ServedDirectory,
    version: &str,
) -> Option<String> {
    let requests_before = journal.arrivals_at(SINGLE);
    let exposed_before = journal.arrivals_in(NEW_ZONE);
    // Without leaves of its own the version gets nothing, and there is nothing to judge.
    let leaves = start_leaves(journal, version)?;
    directory.add(&leaves);
    let outcome = wait_for_outcome(scene, version);
    let requests = journal.arrivals_at(SINGLE) - requests_before;
    let exposed = journal.arrivals_in(NEW_ZONE) - exposed_before;
    scene.record.lock().counts.rollouts += 1;
    sleep(LAST_REQUESTS);
    let late = journal.arrivals_in(NEW_ZONE);
    sleep(LOOK_PAUSE);
    let late = journal.arrivals_in(NEW_ZONE) - late;
    directory.remove(&leaves);
    fault_of_bad_version(outcome.as_deref(), requests, exposed, late)
}

/// What is wrong with the roll-out of a version that fails; `late` are the requests that came long after its outcome.
/// Without an outcome, as when nobody could be asked, nothing is judged but the requests.
pub fn fault_of_bad_version(
    outcome: Option<&str>,
    requests: u64,
    exposed: u64,
    late: u64,
) -> Option<String> {
    let allowed = allowed(requests);
    match outcome {
        Some("completed") => Some("a version that fails was completed".to_owned()),
        _ if exposed > allowed => Some(format!(
            "{exposed} of {requests} requests came to a version that fails, {allowed} allowed"
        )),
        Some("rolled_back") if late > 0 => {
            Some(format!("{late} requests came to a version that was taken back"))
        }
        _ => None,
    }
}

/// Requests of which so many may reach a version that fails.
pub fn allowed(requests: u64) -> u64 {
    let limit = ExposureLimit::default();
    requests * u64::from(limit.share.0) / 1_000_000 + u64::from(limit.slack)
}

fn start_leaves(journal: &Arc<Journal>, version: &str) -> Option<Vec<StandInLeaf>> {
    let leaf = |number| {
        let identity = format!("{SINGLE}-{version}-{number}");
        let mut leaf = StandInLeaf::start_as(&identity, SINGLE, NEW_ZONE, journal).ok()?;
        leaf.listed.version = SoftwareVersion::new(version);
        leaf.set_mode(LeafMode::Fails);
        Some(leaf)
    };
    (FIRST_NUMBER..FIRST_NUMBER + NEW_LEAVES).map(leaf).collect()
}

/// Orders once; gives whether it was acknowledged.
fn order(scene: &Scene, control: usize, version: &str) -> bool {
    let body = format!("{{\"version\":\"{version}\",\"within_ms\":{}}}", WITHIN.as_millis());
    let request = format!(
        "PUT /v1/rollouts/{SINGLE} HTTP/1.1\r\nhost: soak\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    match exchange(scene.operators[control], request.as_bytes(), CALL_LIMIT) {
        Ok(response) if response.status == 200 => true,
        Ok(response) if ![409, 503].contains(&response.status) => {
            scene.record.violation(format!("a roll-out got {}", response.status));
            false
        }
        _ => false,
    }
}

fn wait_for_outcome(scene: &Scene, version: &str) -> Option<String> {
    let end = Instant::now() + OUTCOME_LIMIT;
    while Instant::now() < end && !scene.stop.load(Ordering::Relaxed) {
        if let Some((known, stage)) = look(scene)
            && known == version
            && ["completed", "rolled_back"].contains(&stage.as_str())
        {
            return Some(stage);
        }
        sleep(LOOK_PAUSE);
    }
    None
}

/// The version and the stage of the newest roll-out, as any process that can be sure of it says.
pub fn look(scene: &Scene) -> Option<(String, String)> {
    let request = format!("GET /v1/rollouts/{SINGLE} HTTP/1.1\r\nhost: soak\r\n\r\n");
    let read = |control: &std::net::SocketAddr| {
        let response = exchange(*control, request.as_bytes(), CALL_LIMIT).ok()?;
        let document: Value = serde_json::from_slice(&response.body).ok()?;
        let text = |field: &str| document[field].as_str().map(str::to_owned);
        Some((text("version")?, text("stage")?))
    };
    scene.operators.iter().find_map(read)
}
