//! A soak: real processes under faults from outside, drawn from a seed, and a checker that holds
//! them to their promises by what callers, leaves and the operator see.

mod answer;
#[cfg(test)]
mod crash_tests;
mod evacuation;
mod extra_load;
mod faults;
mod fleet;
mod http;
mod leaves;
pub mod members;
mod parties;
#[cfg(test)]
mod quota_tests;
mod record;
#[cfg(test)]
mod rollout_tests;
mod rollouts;
mod tenants;
#[cfg(test)]
mod tests;

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use gingerkeel_domain::identifiers::SoftwareVersion;
use gumdrop::Options;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use serde::Serialize;
use tracing::info;

use crate::error::RehearsalError;
use crate::fleet::{end_processes_on_interrupt, wait_until};
use answer::{SHARDS, SINGLE};
use fleet::{CONTROLS, FleetSize, SOAK_SIZE, SoakFleet};
use leaves::{Journal, ServedDirectory, StandInLeaf, serve_directory};
use members::{LEAST_MACHINES, MOST_MACHINES, soak_members};
use parties::{Scene, call, operate, read, replace};
use record::{Counts, Cut, Record};

/// Callers at the same time.
const CALLERS: usize = 6;
/// Leaves of each service.
const LEAVES_OF_A_SERVICE: usize = 2;
/// Time for the fleet to get ready, and to come to rest at the end.
const REST_LIMIT: Duration = Duration::from_secs(30);
/// Time from the last fault to the last checks.
const QUIET_AT_THE_END: Duration = Duration::from_secs(3);

/// Flags of `soak`.
#[derive(Debug, Options)]
pub struct SoakFlags {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "seconds of faults", default = "60", meta = "N", no_short)]
    seconds: u64,
    #[options(help = "seed of the faults; drawn by default", meta = "N", no_short)]
    seed: Option<u64>,
    #[options(
        help = "control machines: 3, or 5 to 9 of which two may be lost",
        default = "3",
        meta = "N",
        no_short
    )]
    controls: usize,
    #[options(help = "keep logs in this folder", meta = "FOLDER", no_short)]
    folder: Option<PathBuf>,
}

/// What came out of a soak.
#[derive(Debug, Clone, Serialize)]
pub struct SoakSummary {
    /// The seed, by which the faults come again.
    pub seed: u64,
    /// Seconds of faults.
    pub seconds: u64,
    /// Counts.
    pub counts: Counts,
    /// Broken promises.
    pub violations: Vec<String>,
}

/// Runs a soak and prints its summary; gives the number of broken promises.
///
/// # Errors
/// A [`RehearsalError`] when the fleet cannot be run.
pub fn run(flags: &SoakFlags) -> Result<usize, RehearsalError> {
    end_processes_on_interrupt()?;
    let seed = flags.seed.unwrap_or_else(|| rand::rng().random());
    let temporary =
        tempfile::tempdir().map_err(|error| RehearsalError::resource("a folder", error))?;
    let folder = flags.folder.clone().unwrap_or_else(|| temporary.path().to_owned());
    std::fs::create_dir_all(&folder)
        .map_err(|error| RehearsalError::resource(folder.display(), error))?;
    match flags.controls {
        CONTROLS => {
            let summary = soak(seed, flags.seconds, &folder)?;
            Ok(print(&summary, &summary.violations))
        }
        controls @ LEAST_MACHINES..=MOST_MACHINES => {
            let summary = soak_members(controls, seed, flags.seconds, &folder)?;
            Ok(print(&summary, &summary.violations))
        }
        _ => Err(RehearsalError::Flag(format!(
            "--controls: use {CONTROLS}, or {LEAST_MACHINES} to {MOST_MACHINES}"
        ))),
    }
}

/// Prints a summary; gives the number of broken promises.
fn print(summary: &impl Serialize, violations: &[String]) -> usize {
    println!("{}", serde_json::to_string(summary).unwrap_or_default());
    violations.len()
}

/// Runs a soak in a folder.
///
/// # Errors
/// A [`RehearsalError`] when the fleet cannot be run.
pub fn soak(seed: u64, seconds: u64, folder: &Path) -> Result<SoakSummary, RehearsalError> {
    info!(event = "soak_started", seed, seconds);
    let Service { journal, leaves, directory, mut fleet, scene } =
        Service::start(folder, SOAK_SIZE, &SoftwareVersion::default())?;
    let mut threads: Vec<_> = (0..CALLERS)
        .map(|number| {
            let scene = scene.clone();
            thread::spawn(move || call(&scene, number, seed))
        })
        .collect();
    let operator = scene.clone();
    threads.push(thread::spawn(move || operate(&operator, seed)));
    let mut random = Pcg64::seed_from_u64(seed);
    let end = Instant::now() + Duration::from_secs(seconds);
    let of_zones = scene.clone();
    threads.push(thread::spawn(move || evacuation::order_by_turns(&of_zones, seed, end)));
    let of_rollouts = (scene.clone(), journal.clone());
    threads.push(thread::spawn(move || {
        rollouts::order_by_turns(&of_rollouts.0, &of_rollouts.1, &directory, seed, end);
    }));
    let caused = faults::cause(&mut fleet, &leaves, &scene.record, &mut random, end);
    thread::sleep(QUIET_AT_THE_END);
    evacuation::check(&scene, &journal);
    scene.stop.store(true, Ordering::Relaxed);
    for thread in threads {
        if thread.join().is_err() {
            scene.record.violation("a party of the soak panicked".to_owned());
        }
    }
    caused?;
    check_at_rest(&scene, &fleet, &journal);
    let seen = scene.record.lock();
    Ok(SoakSummary { seed, seconds, counts: seen.counts, violations: seen.violations.clone() })
}

/// A fleet in service, with its leaves.
struct Service {
    journal: Arc<Journal>,
    leaves: Vec<StandInLeaf>,
    directory: ServedDirectory,
    fleet: SoakFleet,
    scene: Scene,
}

impl Service {
    /// Starts all of it in a folder, with leaves of this version, and waits until it is ready.
    fn start(
        folder: &Path,
        size: FleetSize,
        version: &SoftwareVersion,
    ) -> Result<Self, RehearsalError> {
        let journal = Arc::new(Journal::default());
        let mut leaves = start_leaves(&journal)?;
        leaves.iter_mut().for_each(|leaf| leaf.listed.version = version.clone());
        let directory = serve_directory(&leaves)?;
        let fleet = SoakFleet::start(folder, directory.address, size)?;
        let scene = set_scene(&fleet)?;
        Ok(Self { journal, leaves, directory, fleet, scene })
    }
}

/// What the parties of a run share, once a configuration is in force at all brokers.
fn set_scene(fleet: &SoakFleet) -> Result<Scene, RehearsalError> {
    let scene = Scene {
        callers: fleet.callers.clone(),
        operators: fleet.operators.clone(),
        record: Arc::new(Record::default()),
        stop: Arc::new(AtomicBool::new(false)),
        sent_version: Arc::new(AtomicU64::new(0)),
    };
    let ready = wait_until(REST_LIMIT, || {
        replace(&scene, 0);
        fleet.readiness.iter().all(|address| SoakFleet::is_ready(*address))
    });
    if !ready {
        return Err(RehearsalError::NotReady("the fleet of the soak".to_owned()));
    }
    Ok(scene)
}

fn start_leaves(journal: &Arc<Journal>) -> Result<Vec<StandInLeaf>, RehearsalError> {
    let mut leaves = Vec::new();
    for service in SHARDS.iter().chain(&[SINGLE]) {
        for number in 0..LEAVES_OF_A_SERVICE {
            let zone = if number == 0 { "a" } else { "b" };
            leaves.push(StandInLeaf::start(service, number, zone, journal)?);
        }
    }
    Ok(leaves)
}

/// The promises that can be judged only once all is quiet.
fn check_at_rest(scene: &Scene, fleet: &SoakFleet, journal: &Journal) {
    let record = &scene.record;
    // Before the checks send requests of their own.
    let beyond = extra_load::faults(&record.lock().sent, &journal.all_arrivals());
    record.lock().violations.extend(beyond);
    let acknowledged = record.lock().acknowledged;
    let read_back = wait_until(REST_LIMIT, || {
        (0..scene.operators.len()).all(|control| read(scene, control).is_some())
    });
    if !read_back {
        record.violation("the configuration cannot be read back from all control processes".into());
    }
    let in_force = wait_until(REST_LIMIT, || {
        scene.callers.iter().all(|broker| serves_version(*broker, acknowledged))
    });
    if !in_force {
        record.violation(format!("version {acknowledged} is not in force at all brokers"));
    }
    for key in journal.repeated(SINGLE).into_iter().filter(|key| key.contains("-once")) {
        record.violation(format!("{key} ran more than once"));
    }
    check_refusals(record, journal);
    check_cuts(record, fleet);
    check_tenants(scene, journal);
}

/// What leaves learnt of callers, what the greedy tenant got, and keys that were taken away.
fn check_tenants(scene: &Scene, journal: &Journal) {
    let acknowledged = scene.record.lock().acknowledged;
    let revoked = tenants::revoked_key(acknowledged);
    let brokers = scene.callers.iter().enumerate();
    let served = brokers.filter_map(|(number, broker)| {
        let status = status_of_key(*broker, revoked.as_deref()?)?;
        tenants::fault_of_revoked(status, number)
    });
    let served: Vec<String> = served.collect();
    let mut seen = scene.record.lock();
    seen.violations.extend(served);
    seen.violations.extend(journal.identity_faults());
    seen.violations.extend(tenants::fault_of_quota(&journal.greedy_arrivals()));
}

/// The status that a request with a key gets; none without an answer.
fn status_of_key(broker: std::net::SocketAddr, key: &str) -> Option<u16> {
    let request = format!(
        "GET /one/x HTTP/1.1\r\nhost: soak\r\ngingerkeel-request-id: probe\r\n\
         authorization: Bearer {key}\r\nconnection: close\r\n\r\n"
    );
    let response = http::exchange(broker, request.as_bytes(), Duration::from_secs(5));
    response.ok().map(|response| response.status)
}

/// Whether a broker has the route of this version or of a later one, which has replaced it.
fn serves_version(broker: std::net::SocketAddr, acknowledged: u64) -> bool {
    (acknowledged..acknowledged + 50).any(|version| {
        let request = format!(
            "GET /v{version}/x HTTP/1.1\r\nhost: soak\r\ngingerkeel-request-id: probe\r\n\
             connection: close\r\n\r\n"
        );
        let response = http::exchange(broker, request.as_bytes(), Duration::from_secs(5));
        response.is_ok_and(|response| response.status == 200)
    })
}

fn check_refusals(record: &Record, journal: &Journal) {
    let mut seen = record.lock();
    let ran: Vec<String> =
        seen.refused_once.iter().filter(|id| journal.runs(SINGLE, id) > 0).cloned().collect();
    seen.violations.extend(ran.iter().map(|id| format!("{id} was refused as not run, and ran")));
}

/// A connection may end without an answer only around a fault of its broker.
fn check_cuts(record: &Record, fleet: &SoakFleet) {
    let mut seen = record.lock();
    let disturbed = |broker: usize, from, to| {
        fleet.brokers.get(broker).is_some_and(|node| node.was_disturbed(from, to))
    };
    let unexplained: Vec<String> =
        seen.cuts.iter().filter_map(|cut| cut_without_fault(cut, disturbed)).collect();
    seen.violations.extend(unexplained);
}

fn cut_without_fault(
    cut: &Cut,
    disturbed: impl Fn(usize, Instant, Instant) -> bool,
) -> Option<String> {
    let explained = disturbed(cut.broker, cut.sent, cut.ended);
    (!explained).then(|| format!("{} was cut by broker-{} without a fault", cut.id, cut.broker))
}
