//! Processes that the launcher started, and only these.

use std::collections::BTreeSet;
use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use rustix::process::{Pid, kill_process};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

pub use rustix::process::Signal;

use super::wait::wait_until;
use crate::error::RehearsalError;
use crate::process_usage::ProcessUsage;

/// Exit code after an interrupt, as shells give it.
const EXIT_INTERRUPTED: i32 = 130;

/// Processes that have not been waited for.
static RUNNING: Mutex<BTreeSet<u32>> = Mutex::new(BTreeSet::new());

/// Kills all processes that were started, and ends, once an interrupt or SIGTERM arrives.
///
/// # Errors
/// [`RehearsalError::Resource`] when signals cannot be watched.
pub fn end_processes_on_interrupt() -> Result<(), RehearsalError> {
    let mut signals = Signals::new([SIGINT, SIGTERM])
        .map_err(|error| RehearsalError::resource("signals", error))?;
    thread::spawn(move || {
        if signals.forever().next().is_some() {
            // Held until the end, so that nothing is started any more.
            let running = RUNNING.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
            for id in running.iter() {
                // One that ended meanwhile needs no signal.
                let _ = send_signal(*id, Signal::KILL);
            }
            std::process::exit(EXIT_INTERRUPTED);
        }
    });
    Ok(())
}

/// A process that the launcher started; killed when dropped.
pub struct ManagedProcess {
    name: String,
    log: PathBuf,
    child: Child,
}

impl ManagedProcess {
    /// Starts a program with its output in a log file.
    ///
    /// # Errors
    /// [`RehearsalError::NotStarted`] when it cannot be started.
    pub fn start(
        name: &str,
        program: &Path,
        arguments: &[&str],
        log: &Path,
    ) -> Result<Self, RehearsalError> {
        let not_started = |error| RehearsalError::NotStarted(program.display().to_string(), error);
        let output =
            File::create(log).map_err(|error| RehearsalError::resource(log.display(), error))?;
        let errors = output.try_clone().map_err(not_started)?;
        let mut running = RUNNING.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .spawn()
            .map_err(not_started)?;
        running.insert(child.id());
        Ok(Self { name: name.to_owned(), log: log.to_owned(), child })
    }

    /// What it has used so far.
    ///
    /// # Errors
    /// [`RehearsalError::Resource`] when the process is gone.
    pub fn usage(&self) -> Result<ProcessUsage, RehearsalError> {
        ProcessUsage::of(self.child.id())
    }

    /// Sends a signal.
    ///
    /// # Errors
    /// [`RehearsalError::Resource`] when the process is gone.
    pub fn signal(&self, signal: Signal) -> Result<(), RehearsalError> {
        send_signal(self.child.id(), signal)
    }

    /// How the process ended, if it has.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Fails when the process has ended.
    ///
    /// # Errors
    /// [`RehearsalError::EndedEarly`] with the log that tells why.
    pub fn check_running(&mut self) -> Result<(), RehearsalError> {
        match self.ended() {
            None => Ok(()),
            Some(_) => {
                let log = self.log.display().to_string();
                Err(RehearsalError::EndedEarly(self.name.clone(), log))
            }
        }
    }

    /// Waits for the end; kills the process and gives false when it does not end in time.
    pub fn wait_or_kill(&mut self, limit: Duration) -> bool {
        let ended = wait_until(limit, || self.ended().is_some());
        self.kill();
        ended
    }

    fn kill(&mut self) {
        // Fails only when the process has ended before.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let mut running = RUNNING.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        running.remove(&self.child.id());
    }
}

impl Drop for ManagedProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

fn send_signal(id: u32, signal: Signal) -> Result<(), RehearsalError> {
    let pid = i32::try_from(id).ok().and_then(Pid::from_raw);
    let sent = pid.map_or(Err(rustix::io::Errno::SRCH), |pid| kill_process(pid, signal));
    sent.map_err(|error| RehearsalError::resource(format!("process {id}"), error.into()))
}
