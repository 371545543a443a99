//! Signals that start a planned stop.

use std::future::Future;
use std::io;
use std::os::unix::net::UnixStream as StdUnixStream;

use monoio::io::AsyncReadRent;
use monoio::net::UnixStream;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::low_level::pipe;

/// Returns a future that completes on SIGTERM or SIGINT.
///
/// # Errors
/// An [`io::Error`] if the signal handlers cannot be registered.
pub fn stop_requested() -> io::Result<impl Future<Output = ()>> {
    let (receiver, sender) = StdUnixStream::pair()?;
    pipe::register(SIGINT, sender.try_clone()?)?;
    pipe::register(SIGTERM, sender)?;
    receiver.set_nonblocking(true)?;
    let mut receiver = UnixStream::from_std(receiver)?;
    Ok(async move {
        // A read error also starts the stop.
        let _ = receiver.read(vec![0u8; 1]).await;
    })
}
