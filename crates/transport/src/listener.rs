//! Listening sockets.

use std::io;
use std::net::SocketAddr;

use monoio::net::{ListenerOpts, TcpListener};

/// Listens on an address that no other process listens on.
///
/// By default the runtime lets several processes share an address; each of them would then get
/// some of the connections that are meant for one.
///
/// # Errors
/// An [`io::Error`] when the address is taken or is not of this machine.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind_with_config(address, &ListenerOpts::new().reuse_port(false))
}
