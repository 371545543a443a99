//! The outside checker: every broken promise that caller logs and leaf journals show.
//!
//! It knows nothing of brokers but what callers were told, and nothing of leaves but what they
//! wrote down before they replied.

mod answers;
mod evidence;
mod execution;
mod leaving;
mod priorities;
mod summary;
mod violation;

use std::path::PathBuf;
use std::time::Duration;

use gumdrop::Options;
use serde::Serialize;

pub use evidence::Evidence;
pub use summary::{ClassSummary, Summary};
pub use violation::{Violation, ViolationKind};

use crate::error::RehearsalError;

/// Bounds that the checker holds the fleet to.
#[derive(Debug, Clone, Copy)]
pub struct CheckSettings {
    /// Time after a drain order within which a leaf may still start new work.
    pub drain_time: Duration,
    /// Time around a fault of a broker within which answers that it owes may be lost.
    pub disturbance_time: Duration,
}

impl Default for CheckSettings {
    fn default() -> Self {
        Self { drain_time: Duration::from_secs(3), disturbance_time: Duration::from_secs(10) }
    }
}

/// All broken promises, in the order of the rules.
pub fn check(evidence: &Evidence, settings: &CheckSettings) -> Vec<Violation> {
    let mut violations = Vec::new();
    answers::check(evidence, &mut violations);
    execution::check(evidence, &mut violations);
    leaving::check(evidence, settings, &mut violations);
    priorities::check(evidence, &mut violations);
    violations
}

/// Flags of the checker.
#[derive(Debug, Options)]
pub struct CheckFlags {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, help = "folder with the records of a run")]
    folder: Option<PathBuf>,
}

#[derive(Serialize)]
struct CheckReport {
    summary: Summary,
    violations: Vec<Violation>,
}

/// Checks the records of a run and prints a report as JSON; gives the number of violations.
///
/// # Errors
/// A [`RehearsalError`] when a flag is missing or a record is not understood.
pub fn run(flags: CheckFlags) -> Result<usize, RehearsalError> {
    let missing = || RehearsalError::Flag("name the folder with the records of a run".into());
    let evidence = Evidence::read(&flags.folder.ok_or_else(missing)?)?;
    let violations = check(&evidence, &CheckSettings::default());
    let count = violations.len();
    let report = CheckReport { summary: Summary::new(&evidence), violations };
    println!("{}", serde_json::to_string_pretty(&report).expect("string keys only"));
    Ok(count)
}
