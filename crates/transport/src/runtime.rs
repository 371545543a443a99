//! The runtime of every process: monoio over epoll.
//!
//! The machines offer no io_uring, so the driver is named instead of chosen at run time.

use std::future::Future;
use std::io;

use monoio::time::TimeDriver;
use monoio::{LegacyDriver, Runtime, RuntimeBuilder};

/// Builds a runtime of one thread with timers.
///
/// # Errors
/// An [`io::Error`] when the event queue cannot be created.
pub fn build_runtime() -> io::Result<Runtime<TimeDriver<LegacyDriver>>> {
    RuntimeBuilder::<LegacyDriver>::new().enable_timer().build()
}

/// Runs `future` to its end on a runtime of its own.
///
/// # Errors
/// An [`io::Error`] when the runtime cannot be built.
pub fn block_on<F: Future>(future: F) -> io::Result<F::Output> {
    Ok(build_runtime()?.block_on(future))
}
