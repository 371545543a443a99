//! The asynchronous runtime of every process: monoio over epoll.
//!
//! The target machines offer no io_uring, so the epoll driver is fixed instead of detected at run
//! time.

use std::future::Future;
use std::io;

use monoio::time::TimeDriver;
use monoio::{LegacyDriver, Runtime, RuntimeBuilder};

/// Builds a single-threaded runtime with timers.
///
/// # Errors
/// An [`io::Error`] if the epoll instance cannot be created.
pub fn build_runtime() -> io::Result<Runtime<TimeDriver<LegacyDriver>>> {
    RuntimeBuilder::<LegacyDriver>::new().enable_timer().build()
}

/// Runs `future` to completion on a new runtime.
///
/// # Errors
/// An [`io::Error`] if the runtime cannot be built.
pub fn block_on<F: Future>(future: F) -> io::Result<F::Output> {
    Ok(build_runtime()?.block_on(future))
}
