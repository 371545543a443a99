//! Open-loop callers: queries leave at their intended times however slow the answers are.

mod arrivals;
mod caller;
mod connections;
mod document;
mod plan;

use std::path::{Path, PathBuf};
use std::thread::{self, JoinHandle};

use gumdrop::Options;

pub use plan::{ClassLoad, LoadPlan, ServiceLoad};

use crate::error::RehearsalError;

/// Flags of the load tool.
#[derive(Debug, Options)]
pub struct LoadFlags {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "load plan, TOML", meta = "FILE")]
    plan: Option<PathBuf>,
    #[options(help = "folder that gets one caller log for each service", meta = "FOLDER")]
    output: Option<PathBuf>,
}

/// Runs a load plan to its end.
///
/// # Errors
/// A [`RehearsalError`] when a flag or the plan is wrong, or a log cannot be written.
pub fn run(flags: LoadFlags) -> Result<(), RehearsalError> {
    let missing =
        || RehearsalError::Flag("name a plan with --plan and a folder with --output".into());
    let plan = flags.plan.ok_or_else(missing)?;
    let output = flags.output.ok_or_else(missing)?;
    let plan: LoadPlan = gingerkeel_settings::load(&plan)?;
    LoadRun::start(&plan, &output)?.join();
    Ok(())
}

/// Load that runs on threads of its own, one for each service.
pub struct LoadRun {
    threads: Vec<JoinHandle<()>>,
}

impl LoadRun {
    /// Starts the load; each service logs to a file of its own in `folder`.
    ///
    /// # Errors
    /// [`RehearsalError::Resource`] when a log cannot be opened or a thread not started.
    pub fn start(plan: &LoadPlan, folder: &Path) -> Result<Self, RehearsalError> {
        let mut threads = Vec::new();
        for (index, service) in plan.services.iter().enumerate() {
            let log = caller::open_log(folder, &service.service)?;
            let seed = plan.seed.wrapping_add(index as u64);
            let duration = plan.duration();
            let service = service.clone();
            let thread = thread::Builder::new()
                .name(format!("load-{}", service.service))
                .spawn(move || caller::run_service(service, duration, seed, log))
                .map_err(|error| RehearsalError::resource("thread of the load", error))?;
            threads.push(thread);
        }
        Ok(Self { threads })
    }

    /// Waits until every query has ended; each is bounded by its deadline and a grace time.
    ///
    /// # Panics
    /// When a thread of the load panicked.
    pub fn join(self) {
        for thread in self.threads {
            thread.join().expect("a thread of the load panicked: read its message above");
        }
    }
}
