//! Measurements of speed, memory and balance; each prints one JSON document a line.

mod broker;
mod control_log;
mod memory;
mod served;
mod subsetting;

use gumdrop::Options;
use serde::Serialize;

use crate::error::RehearsalError;
use broker::BrokerFlags;
use control_log::ControlLogFlags;
use subsetting::SubsettingFlags;

/// Flags of the measurements.
#[derive(Debug, Options)]
pub struct BenchFlags {
    #[options(help = "print this help")]
    help: bool,
    #[options(command)]
    command: Option<BenchCommand>,
}

#[derive(Debug, Options)]
enum BenchCommand {
    #[options(help = "load one broker in steps, then measure what connections and queries hold")]
    Broker(BrokerFlags),
    #[options(help = "lay out replica subsets at the planned size and count connections")]
    Subsetting(SubsettingFlags),
    #[options(help = "make changes on one control process, and look at its disk and restart")]
    ControlLog(ControlLogFlags),
}

/// Runs a measurement.
///
/// # Errors
/// A [`RehearsalError`] when a flag is wrong or the fleet cannot be run.
pub fn run(flags: BenchFlags) -> Result<(), RehearsalError> {
    match flags.command {
        Some(BenchCommand::Broker(flags)) => broker::run(&flags),
        Some(BenchCommand::Subsetting(flags)) => subsetting::run(&flags),
        Some(BenchCommand::ControlLog(flags)) => control_log::run(&flags),
        None => Err(RehearsalError::Flag("name a measurement: see bench --help".into())),
    }
}

fn print(report: &impl Serialize) {
    println!("{}", serde_json::to_string(report).expect("reports have string keys only"));
}
