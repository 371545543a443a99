//! What a process has used, as the kernel counts it.

use std::io;

use procfs::ProcError;
use procfs::process::Process;

use crate::error::RehearsalError;

/// Processor time, memory and descriptors of a process.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ProcessUsage {
    /// Processor time of all threads in seconds, user and system.
    pub cpu_seconds: f64,
    /// Resident memory in bytes.
    pub resident_bytes: u64,
    /// Open descriptors.
    pub descriptors: usize,
}

impl ProcessUsage {
    /// The usage of the process with this identifier until now.
    ///
    /// # Errors
    /// [`RehearsalError::Resource`] when the process is gone.
    pub fn of(process: u32) -> Result<Self, RehearsalError> {
        read(process).map_err(|error| {
            RehearsalError::resource(format!("process {process}"), io::Error::other(error))
        })
    }
}

fn read(process: u32) -> Result<ProcessUsage, ProcError> {
    let process = Process::new(i32::try_from(process).unwrap_or(i32::MAX))?;
    let stat = process.stat()?;
    let ticks = (stat.utime + stat.stime) as f64;
    Ok(ProcessUsage {
        cpu_seconds: ticks / procfs::ticks_per_second() as f64,
        resident_bytes: stat.rss * procfs::page_size(),
        descriptors: process.fd_count()?,
    })
}
