//! The demonstration: a small fleet of both deployments under load, with a drain and a kill.

use std::path::{Path, PathBuf};
use std::thread::sleep;
use std::time::Duration;

use gumdrop::Options;
use serde::Serialize;
use tracing::{error, info};

use crate::check::{CheckSettings, Evidence, Summary, check};
use crate::error::RehearsalError;
use crate::fleet::{Fleet, Signal, Topology, end_processes_on_interrupt};
use crate::load::LoadRun;

/// The fleet, in the format of a topology file.
const TOPOLOGY: &str = include_str!("demo.toml");
/// Share of the run after which a leaf is drained.
const DRAIN_AT: f64 = 0.3;
/// Share of the run between the drain and the kill.
const KILL_AFTER: f64 = 0.3;
/// Shortest and longest run, in seconds.
const SECONDS: std::ops::RangeInclusive<f64> = 0.5..=120.0;

/// Flags of the demonstration.
#[derive(Debug, Options)]
pub struct DemoFlags {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "seconds of load", default = "10", meta = "SECONDS")]
    seconds: f64,
    #[options(help = "folder that keeps settings, logs and records", meta = "FOLDER")]
    output: Option<PathBuf>,
}

/// The last line that the demonstration prints.
#[derive(Debug, Serialize)]
struct DemoReport {
    answered: u64,
    refused_not_run: u64,
    outcome_unknown: u64,
    without_outcome: u64,
    offered: u64,
    coverage_mean: f64,
    p50_ms: f64,
    p99_ms: f64,
    extra_load: f64,
    leaf_requests: u64,
    processes: usize,
    violations: usize,
}

/// Runs the demonstration; gives the number of violations.
///
/// # Errors
/// A [`RehearsalError`] when the fleet cannot be run.
pub fn run(flags: DemoFlags) -> Result<usize, RehearsalError> {
    if !SECONDS.contains(&flags.seconds) {
        return Err(RehearsalError::Flag("--seconds: use a number from 0.5 to 120".into()));
    }
    end_processes_on_interrupt()?;
    let scratch = tempfile::Builder::new()
        .prefix("gingerkeel-rehearsal-")
        .tempdir()
        .map_err(|error| RehearsalError::resource("temporary folder", error))?;
    let folder = flags.output.as_deref().unwrap_or(scratch.path());
    std::fs::create_dir_all(folder)
        .map_err(|error| RehearsalError::resource(folder.display(), error))?;
    let processes = exercise(folder, flags.seconds)?;
    let report = judge(folder, processes)?;
    println!("{}", serde_json::to_string(&report).expect("string keys only"));
    Ok(report.violations)
}

/// Puts load on a fleet, drains one leaf and kills another; gives the number of processes.
fn exercise(folder: &Path, seconds: f64) -> Result<usize, RehearsalError> {
    let topology: Topology = gingerkeel_settings::parse("demo.toml", TOPOLOGY)?;
    let mut fleet = Fleet::launch(&topology, folder)?;
    let processes = fleet.process_count();
    let plan = fleet.load_plan(seconds, topology.seed);
    let load = LoadRun::start(&plan, folder)?;
    sleep(Duration::from_secs_f64(seconds * DRAIN_AT));
    let drained = fleet.leaf_processes()[0].leaves[0].0;
    fleet.drain_leaf(drained)?;
    info!(event = "leaf_drained", leaf = drained);
    sleep(Duration::from_secs_f64(seconds * KILL_AFTER));
    let killed = fleet.leaf_processes().len() - 1;
    fleet.signal_leaves(killed, Signal::KILL)?;
    info!(event = "leaf_killed", leaf = fleet.leaf_processes()[killed].leaves[0].0);
    load.join();
    let unfinished = fleet.stop();
    if !unfinished.is_empty() {
        return Err(RehearsalError::NotReady(format!("the end of {}", unfinished.join(", "))));
    }
    Ok(processes)
}

fn judge(folder: &Path, processes: usize) -> Result<DemoReport, RehearsalError> {
    let evidence = Evidence::read(folder)?;
    let violations = check(&evidence, &CheckSettings::default());
    for violation in &violations {
        error!(event = "violation", %violation);
    }
    let summary = Summary::new(&evidence);
    for (class, figures) in &summary.classes {
        info!(
            event = "class",
            class,
            offered = figures.offered,
            answered = figures.answered,
            refused_not_run = figures.refused_not_run,
            outcome_unknown = figures.outcome_unknown,
            coverage_mean = figures.coverage_mean,
            p50_ms = figures.p50_ms,
            p99_ms = figures.p99_ms
        );
    }
    let total = &summary.total;
    Ok(DemoReport {
        answered: total.answered,
        refused_not_run: total.refused_not_run,
        outcome_unknown: total.outcome_unknown,
        without_outcome: total.without_outcome,
        offered: total.offered,
        coverage_mean: total.coverage_mean,
        p50_ms: total.p50_ms,
        p99_ms: total.p99_ms,
        extra_load: summary.extra_load,
        leaf_requests: summary.leaf_requests,
        processes,
        violations: violations.len(),
    })
}
