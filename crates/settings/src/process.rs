//! Limits that the machine sets to a process, whatever its role.

use crate::{Check, SettingsError};

/// Default memory of a process, in MB.
pub fn default_memory_mb() -> u32 {
    256
}

/// Default number of descriptors of a process.
pub fn default_open_files() -> u32 {
    4096
}

/// Checks both limits.
///
/// # Errors
/// A [`SettingsError`] if one is out of range.
pub fn check_process_limits(
    check: &mut Check<'_>,
    memory_mb: u32,
    open_files: u32,
) -> Result<(), SettingsError> {
    let accepted = (64..=1_048_576).contains(&memory_mb);
    check.field("memory_mb", memory_mb, accepted, "use a number from 64 to 1048576")?;
    let accepted = (64..=1_048_576).contains(&open_files);
    check.field("open_files", open_files, accepted, "use a number from 64 to 1048576")
}
