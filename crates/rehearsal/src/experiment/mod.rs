//! Experiments: a file names a fleet, loads and disturbances; a run measures them.
//!
//! Each load runs on a fleet of its own, under today's policy and, on demand, under the baseline
//! policy too, so that both are measured on the same machine in the same run.

mod figures;
mod report;
mod settings;

use std::path::{Path, PathBuf};
use std::thread::sleep;
use std::time::Duration;

use gumdrop::Options;
use tracing::{error, info};

pub use figures::{ClassFigures, RunFigures};
pub use settings::{ExperimentSettings, SlowLeaves};

use crate::check::{CheckSettings, Evidence, check};
use crate::clock;
use crate::error::RehearsalError;
use crate::fleet::{Fleet, PolicyTopology, end_processes_on_interrupt};
use crate::leaf::AdminCommand;
use crate::load::LoadRun;
use report::ExperimentReport;

/// Flags of an experiment.
#[derive(Debug, Options)]
pub struct RunFlags {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, help = "experiment file, TOML")]
    file: Option<PathBuf>,
    #[options(help = "run the baseline policy too, and give ratios", no_short)]
    baseline: bool,
    #[options(help = "folder for the summary, the page and all records", meta = "FOLDER")]
    output: Option<PathBuf>,
}

/// Runs an experiment; gives the number of broken promises under today's policy.
///
/// # Errors
/// A [`RehearsalError`] when the file is wrong or a fleet cannot be run.
pub fn run(flags: &RunFlags) -> Result<usize, RehearsalError> {
    let missing = || RehearsalError::Flag("name an experiment file, as in experiments/".into());
    let settings: ExperimentSettings =
        gingerkeel_settings::load(flags.file.as_deref().ok_or_else(missing)?)?;
    end_processes_on_interrupt()?;
    let scratch = tempfile::Builder::new()
        .prefix("gingerkeel-experiment-")
        .tempdir()
        .map_err(|error| RehearsalError::resource("temporary folder", error))?;
    let records = flags.output.as_deref().unwrap_or(scratch.path());
    let mut policies = vec![PolicyTopology::Standard];
    if flags.baseline {
        policies.push(PolicyTopology::Baseline);
    }
    let mut runs = Vec::new();
    for load in &settings.loads {
        for policy in &policies {
            let folder = records.join(format!("{}-{load}", policy.name()));
            let figures = measure(&settings, *policy, *load, &folder)?;
            println!("{}", serde_json::to_string(&figures).expect("string keys only"));
            runs.push(figures);
        }
    }
    let report = ExperimentReport::new(&settings, runs);
    println!("{}", serde_json::to_string(&report.ratios).expect("string keys only"));
    if let Some(output) = &flags.output {
        report.write(output)?;
    }
    Ok(report.violations())
}

fn measure(
    settings: &ExperimentSettings,
    policy: PolicyTopology,
    load: f64,
    folder: &Path,
) -> Result<RunFigures, RehearsalError> {
    std::fs::create_dir_all(folder)
        .map_err(|error| RehearsalError::resource(folder.display(), error))?;
    let mut topology = settings.topology.clone();
    topology.policy = policy;
    topology.scale_load(load);
    let mut fleet = Fleet::launch(&topology, folder)?;
    if let Some(slow) = &settings.slow_leaves {
        slow_down(&fleet, slow)?;
    }
    let seconds = settings.warm_up_seconds + settings.seconds;
    let run = LoadRun::start(&fleet.load_plan(seconds, topology.seed), folder)?;
    sleep(Duration::from_secs_f64(settings.warm_up_seconds));
    let measured_from = clock::now();
    run.join();
    fleet.check_running()?;
    let unfinished = fleet.stop();
    if !unfinished.is_empty() {
        return Err(RehearsalError::NotReady(format!("the end of {}", unfinished.join(", "))));
    }
    let evidence = Evidence::read(folder)?;
    let violations = check(&evidence, &CheckSettings::default());
    for violation in violations.iter().take(20) {
        error!(event = "violation", policy = policy.name(), load, %violation);
    }
    info!(event = "experiment_step", policy = policy.name(), load);
    let mut figures = RunFigures::new(&evidence, measured_from, settings.seconds);
    figures.policy = policy.name();
    figures.load = load;
    figures.violations = violations.len();
    Ok(figures)
}

/// Slows one leaf in so many down.
fn slow_down(fleet: &Fleet, slow: &SlowLeaves) -> Result<(), RehearsalError> {
    for (index, process) in fleet.leaf_processes().iter().enumerate() {
        let chosen = process.leaves.iter().filter(|(leaf, _)| leaf.is_multiple_of(slow.one_in));
        for (leaf, _) in chosen {
            let command = AdminCommand {
                leaf: Some(*leaf),
                slow_factor: Some(slow.factor),
                ..AdminCommand::default()
            };
            fleet.administer_leaves(index, &command)?;
        }
    }
    Ok(())
}
