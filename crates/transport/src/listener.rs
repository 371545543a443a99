//! Listening sockets and their accept loops.

use std::future::{Future, pending};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use monoio::net::{ListenerOpts, TcpListener, TcpStream};
use monoio::time::{sleep, timeout};
use tracing::warn;

/// Pause after a failed accept, for example when the process has run out of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// How long the accept queue must stay empty before a listener is closed. The runtime polls the
/// socket in this time.
const EMPTY_QUEUE_TIME: Duration = Duration::from_millis(1);

/// Listens on an address exclusively.
///
/// By default the runtime sets `SO_REUSEPORT`; a second process on the same address would then
/// receive some of the connections.
///
/// # Errors
/// An [`io::Error`] if the address is in use or does not belong to this machine.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind_with_config(address, &ListenerOpts::new().reuse_port(false))
}

/// Accepts connections for the life of the process and passes them to `accepted`. `name` identifies
/// the listener in the log.
pub async fn accept_connections(
    listener: TcpListener,
    name: &'static str,
    accepted: impl FnMut(TcpStream),
) {
    accept_until(listener, name, pending(), accepted).await;
}

/// Accepts connections and passes them to `accepted` until `closing` completes, then closes the
/// listener.
///
/// Closing a listener resets the connections in its accept queue, although their peers count as
/// connected and may have sent a request. So the queue is emptied first.
pub async fn accept_until(
    listener: TcpListener,
    name: &'static str,
    closing: impl Future<Output = ()>,
    mut accepted: impl FnMut(TcpStream),
) {
    let mut closing = std::pin::pin!(closing);
    loop {
        monoio::select! {
            connection = listener.accept() => match connection {
                Ok((stream, _)) => accepted(stream),
                Err(error) => {
                    warn!(event = "accept_failed", listener = name, %error);
                    sleep(ACCEPT_PAUSE).await;
                }
            },
            () = &mut closing => break,
        }
    }
    while let Ok(Ok((stream, _))) = timeout(EMPTY_QUEUE_TIME, listener.accept()).await {
        accepted(stream);
    }
}
