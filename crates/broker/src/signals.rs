//! The signals that ask for a planned stop.

use std::future::Future;
use std::io;
use std::os::unix::net::UnixStream as StdUnixStream;

use monoio::io::AsyncReadRent;
use monoio::net::UnixStream;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::low_level::pipe;

/// A future that ends once SIGTERM or SIGINT has arrived.
///
/// # Errors
/// An [`io::Error`] when the signals cannot be watched.
pub fn stop_requested() -> io::Result<impl Future<Output = ()>> {
    let (receiver, sender) = StdUnixStream::pair()?;
    pipe::register(SIGINT, sender.try_clone()?)?;
    pipe::register(SIGTERM, sender)?;
    receiver.set_nonblocking(true)?;
    let mut receiver = UnixStream::from_std(receiver)?;
    Ok(async move {
        // Any end of the read, also an error, is taken as the signal.
        let _ = receiver.read(vec![0u8; 1]).await;
    })
}
