//! What changes leave on a control process's disk, and how long it takes to come back.

use std::fs;
use std::path::Path;
use std::time::{Duration, Instant};

use gumdrop::Options;
use serde::Serialize;

use super::print;
use crate::error::RehearsalError;
use crate::fleet::{
    AnswerTopology, Binaries, CatalogLeaves, ClassTopology, Fleet, ManagedProcess, PolicyTopology,
    ServiceTopology, Topology, ZoneTopology, wait_until,
};

/// Counts of changes of a run at most.
const MAXIMUM_COUNTS: usize = 6;
/// Changes of a count at most.
const MAXIMUM_CHANGES: u32 = 20_000;
/// Leaves of the catalog at most.
const MAXIMUM_LEAVES: u32 = 13_000;
/// Time that a control process has to come back.
const RETURN_TIME: Duration = Duration::from_secs(60);
/// One change in this many assigns all replicas of a shard, one publishes a version, and the rest
/// drain and resume leaves.
const CYCLE: u32 = 50;
/// Leaves of the real service, before those that are in the catalog only.
const REAL_LEAVES: u32 = 1;

/// Flags of the measurement.
#[derive(Debug, Options)]
pub struct ControlLogFlags {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        help = "changes, each count on a new folder",
        default = "1000,5000",
        meta = "COUNTS"
    )]
    changes: String,
    #[options(help = "leaves of the catalog", default = "13000", meta = "LEAVES")]
    leaves: u32,
    #[options(help = "shards of the catalog", default = "53", meta = "SHARDS")]
    shards: u32,
}

/// What a count of changes gave.
#[derive(Debug, Serialize)]
struct ControlLogReport {
    kind: &'static str,
    changes: u32,
    leaves: u32,
    seconds: f64,
    folder_bytes_before: u64,
    folder_bytes_after: u64,
    log_bytes: u64,
    snapshot_bytes: u64,
    resident_bytes: u64,
    restart_ms: f64,
}

/// Runs each count and prints a report for it.
///
/// # Errors
/// A [`RehearsalError`] when a flag is wrong or a process cannot be run.
pub fn run(flags: &ControlLogFlags) -> Result<(), RehearsalError> {
    let flag = |text: &str| Err(RehearsalError::Flag(text.to_owned()));
    let counts: Option<Vec<u32>> =
        flags.changes.split(',').map(|count| count.trim().parse().ok()).collect();
    let accepted = |counts: &Vec<u32>| {
        counts.len() <= MAXIMUM_COUNTS
            && counts.iter().all(|count| (1..=MAXIMUM_CHANGES).contains(count))
    };
    let Some(counts) = counts.filter(accepted) else {
        return flag("--changes: use at most 6 numbers from 1 to 20000, as 1000,5000");
    };
    if !(1..=MAXIMUM_LEAVES).contains(&flags.leaves) {
        return flag("--leaves: use a number from 1 to 13000");
    }
    if flags.shards == 0 || flags.shards > flags.leaves {
        return flag("--shards: use a number from 1 to the number of leaves");
    }
    let listed = CatalogLeaves { leaves: flags.leaves, shards: flags.shards };
    for changes in counts {
        let folder = tempfile::tempdir()
            .map_err(|error| RehearsalError::resource("temporary folder", error))?;
        print(&measure(changes, listed, folder.path())?);
    }
    Ok(())
}

fn measure(
    changes: u32,
    listed: CatalogLeaves,
    folder: &Path,
) -> Result<ControlLogReport, RehearsalError> {
    let data = folder.join("control-0.data");
    let mut fleet = Fleet::launch(&topology(listed), folder)?;
    let folder_bytes_before = bytes_of(&data, "")?;
    let start = Instant::now();
    fleet.execute(&statements(changes, listed))?;
    let seconds = start.elapsed().as_secs_f64();
    let resident_bytes = fleet.control_usage(0)?.resident_bytes;
    fleet.stop();
    Ok(ControlLogReport {
        kind: "control_log",
        changes,
        leaves: listed.leaves,
        seconds,
        folder_bytes_before,
        folder_bytes_after: bytes_of(&data, "")?,
        log_bytes: bytes_of(&data, "log-")?,
        snapshot_bytes: bytes_of(&data, "snapshot-")?,
        resident_bytes,
        restart_ms: restart(folder)?,
    })
}

/// Milliseconds from the start of the control process until it answers from its state.
fn restart(folder: &Path) -> Result<f64, RehearsalError> {
    let binaries = Binaries::find()?;
    let settings = folder.join("control-0.toml");
    let text = fs::read_to_string(&settings)
        .map_err(|error| RehearsalError::resource(settings.display(), error))?;
    let named: gingerkeel_settings::ControlSettings =
        gingerkeel_settings::parse("control-0", &text)?;
    let start = Instant::now();
    let arguments = ["--settings", &settings.to_string_lossy()];
    let log = folder.join("control-0-again.log");
    let mut process = ManagedProcess::start("control-0", &binaries.control(), &arguments, &log)?;
    let address = named.operators.to_string();
    let mut ended = None;
    let answers = || {
        ended = process.check_running().err();
        let asked = std::process::Command::new(binaries.command_line())
            .args(["--control", &address, "SHOW STATUS"])
            .output();
        ended.is_some() || asked.is_ok_and(|output| output.status.success())
    };
    let ready = wait_until(RETURN_TIME, answers);
    match ended {
        Some(error) => Err(error),
        None if ready => Ok(start.elapsed().as_secs_f64() * 1000.0),
        None => Err(RehearsalError::NotReady("control".into())),
    }
}

/// Bytes of the files of a folder whose names begin so.
fn bytes_of(folder: &Path, prefix: &str) -> Result<u64, RehearsalError> {
    let resource = |error| RehearsalError::resource(folder.display(), error);
    let mut bytes = 0;
    for entry in fs::read_dir(folder).map_err(resource)? {
        let entry = entry.map_err(resource)?;
        if entry.file_name().to_string_lossy().starts_with(prefix) {
            bytes += entry.metadata().map_err(resource)?.len();
        }
    }
    Ok(bytes)
}

/// The changes, a line each.
fn statements(changes: u32, listed: CatalogLeaves) -> String {
    let first = REAL_LEAVES + 1;
    let statement = |number: u32| match number % CYCLE {
        0 => {
            let shard = (number / CYCLE) % listed.shards;
            let replicas = (shard..listed.leaves).step_by(listed.shards as usize);
            let replicas: Vec<String> = replicas.map(|leaf| (first + leaf).to_string()).collect();
            format!("ASSIGN SHARD {shard} OF listed TO LEAF {};\n", replicas.join(", "))
        }
        1 => format!("PUBLISH VERSION {} OF listed;\n", 2 + number / CYCLE),
        even if even % 2 == 0 => format!("DRAIN LEAF {};\n", first + number % listed.leaves),
        _ => format!("RESUME LEAF {};\n", first + (number - 1) % listed.leaves),
    };
    (0..changes).map(statement).collect()
}

/// One control process, and as little else as a fleet may have.
fn topology(listed: CatalogLeaves) -> Topology {
    let class = ClassTopology {
        name: "only".into(),
        queue: 64,
        price: 1,
        deadline_ms: 2000,
        answer: AnswerTopology::Full,
        rate: 1.0,
        not_repeatable_share: 0.0,
        obedient_share: 0.0,
    };
    let service = ServiceTopology {
        name: "real".into(),
        brokers: 1,
        leaves: REAL_LEAVES,
        shards: 1,
        replicas: 1,
        slots: 5,
        connections: 75,
        service_ms: 5.0,
        concurrency: 64,
        classes: vec![class],
    };
    Topology {
        controls: 1,
        voters: None,
        relay_peers: false,
        zones: vec![ZoneTopology { name: "north".into(), region: "home".into() }],
        leaf_processes: 1,
        zone_delay_ms: 0.0,
        region_delay_ms: 0.0,
        client_delay_ms: 0.0,
        journal: false,
        policy: PolicyTopology::Standard,
        connections_per_leaf: None,
        seed: 1,
        listed: Some(listed),
        services: vec![service],
    }
}
