//! Scale runs: hollow brokers in growing numbers beside real control and broker processes.
//!
//! The catalog has the planned size. Each size is a fleet of its own: control processes, one real
//! broker with two real leaves, and processes of hollow brokers whose links pass relays that count
//! bytes. A stream of configuration changes then runs through it: in normal running, with the
//! leader frozen, and after a cut of all feeds.

pub mod accepted;
pub mod applied;
pub mod feed_bytes;
mod fleet;
mod measure;
mod reading;
mod report;

use std::path::PathBuf;

use gumdrop::Options;

use crate::error::RehearsalError;
use crate::fleet::end_processes_on_interrupt;

/// Sizes of a run at most.
const MAXIMUM_SIZES: usize = 6;
/// Control processes of a size at most.
const MAXIMUM_CONTROLS: u32 = 16;
/// Hollow brokers for each control process at most.
const MAXIMUM_BROKERS: u32 = 400;
/// Leaves of the catalog at most.
const MAXIMUM_LEAVES: u32 = 13_000;
/// Changes of a size at most.
const MAXIMUM_CHANGES: u32 = 400;

/// Flags of a scale run.
#[derive(Debug, Options)]
pub struct ScaleFlags {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "control processes of each size", default = "1", meta = "COUNTS", no_short)]
    controls: String,
    #[options(
        help = "hollow brokers for each control process, of each size",
        default = "1,50,200",
        meta = "COUNTS"
    )]
    brokers: String,
    #[options(help = "hollow brokers of each process", default = "25", meta = "COUNT", no_short)]
    per_process: u32,
    #[options(help = "leaves of the catalog", default = "13000", meta = "LEAVES")]
    leaves: u32,
    #[options(help = "shards of the catalog", default = "53", meta = "SHARDS")]
    shards: u32,
    #[options(help = "configuration changes of each size", default = "40", meta = "COUNT")]
    changes: u32,
    #[options(help = "changes per second", default = "2", meta = "RATE")]
    rate: f64,
    #[options(help = "seconds without changes that are measured", default = "5", meta = "SECONDS")]
    idle_seconds: f64,
    #[options(help = "folder for the summary, the page and all logs", meta = "FOLDER")]
    output: Option<PathBuf>,
}

/// What one size is run with.
#[derive(Debug, Clone, Copy)]
struct SizePlan {
    controls: u32,
    brokers_per_control: u32,
    per_process: u32,
    leaves: u32,
    shards: u32,
    changes: u32,
    rate: f64,
    idle_seconds: f64,
}

impl SizePlan {
    /// Hollow brokers of all control processes.
    fn brokers(&self) -> u32 {
        self.controls * self.brokers_per_control
    }
}

/// Runs each size, prints one JSON line for it, and writes summary and page.
///
/// # Errors
/// A [`RehearsalError`] when a flag is wrong or a fleet cannot be run.
pub fn run(flags: &ScaleFlags) -> Result<(), RehearsalError> {
    let plans = plans(flags)?;
    end_processes_on_interrupt()?;
    let scratch = tempfile::Builder::new()
        .prefix("gingerkeel-scale-")
        .tempdir()
        .map_err(|error| RehearsalError::resource("temporary folder", error))?;
    let folder = flags.output.as_deref().unwrap_or(scratch.path());
    let mut sizes = Vec::new();
    for plan in &plans {
        let size =
            measure::run(plan, &folder.join(format!("size-{}-{}", plan.controls, plan.brokers())))?;
        println!("{}", serde_json::to_string(&size).expect("string keys only"));
        sizes.push(size);
    }
    let summary = report::Summary::new(sizes);
    println!("{}", serde_json::to_string(&summary.slopes).expect("string keys only"));
    if let Some(output) = &flags.output {
        summary.write(output)?;
    }
    Ok(())
}

fn plans(flags: &ScaleFlags) -> Result<Vec<SizePlan>, RehearsalError> {
    let flag = |text: &str| Err(RehearsalError::Flag(text.to_owned()));
    let Some(brokers) = counts(&flags.brokers, MAXIMUM_BROKERS) else {
        return flag("--brokers: use at most 6 numbers from 1 to 400, as 1,50,200");
    };
    let Some(controls) = counts(&flags.controls, MAXIMUM_CONTROLS) else {
        return flag("--controls: use at most 6 numbers from 1 to 16, as 1,3,8");
    };
    if !(1..=MAXIMUM_BROKERS).contains(&flags.per_process) {
        return flag("--per-process: use a number from 1 to 400");
    }
    if !(1..=MAXIMUM_LEAVES).contains(&flags.leaves) {
        return flag("--leaves: use a number from 1 to 13000");
    }
    if flags.shards == 0 || flags.shards > flags.leaves {
        return flag("--shards: use a number from 1 to the number of leaves");
    }
    if !(1..=MAXIMUM_CHANGES).contains(&flags.changes) {
        return flag("--changes: use a number from 1 to 400");
    }
    if !(0.1..=20.0).contains(&flags.rate) {
        return flag("--rate: use a number from 0.1 to 20");
    }
    if !(0.5..=60.0).contains(&flags.idle_seconds) {
        return flag("--idle-seconds: use a number from 0.5 to 60");
    }
    let plan = |controls, brokers_per_control| SizePlan {
        controls,
        brokers_per_control,
        per_process: flags.per_process,
        leaves: flags.leaves,
        shards: flags.shards,
        changes: flags.changes,
        rate: flags.rate,
        idle_seconds: flags.idle_seconds,
    };
    let sizes = controls.into_iter().flat_map(|controls| {
        brokers.iter().map(move |brokers| (controls, *brokers)).collect::<Vec<_>>()
    });
    Ok(sizes.map(|(controls, brokers)| plan(controls, brokers)).collect())
}

/// Numbers from 1 to `most`, with commas between them; none when one is not.
fn counts(text: &str, most: u32) -> Option<Vec<u32>> {
    let counts: Option<Vec<u32>> = text.split(',').map(|count| count.trim().parse().ok()).collect();
    counts.filter(|counts| {
        counts.len() <= MAXIMUM_SIZES && counts.iter().all(|count| (1..=most).contains(count))
    })
}
