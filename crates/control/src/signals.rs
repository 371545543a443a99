//! Signals of a control process.

use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use signal_hook::consts::SIGHUP;

/// Takes the word that settings have changed: by itself it would end the process. A control
/// process reads its settings at its start only.
///
/// # Errors
/// An [`io::Error`] when the signal cannot be watched.
pub fn ignore_reload() -> io::Result<()> {
    signal_hook::flag::register(SIGHUP, Arc::new(AtomicBool::new(false)))?;
    Ok(())
}
