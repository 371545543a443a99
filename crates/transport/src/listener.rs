//! Listening sockets.

use std::io;
use std::net::SocketAddr;

use monoio::net::{ListenerOpts, TcpListener};

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
