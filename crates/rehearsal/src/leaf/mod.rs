//! A stand-in leaf: an HTTP server that keeps a journal of what it ran.

mod journal;
mod server;

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use gumdrop::Options;
use monoio::net::TcpListener;
use tracing::info;

use journal::Journal;
use server::LeafServer;

/// Flags of a stand-in leaf.
#[derive(Debug, Options)]
pub struct LeafFlags {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "address on which requests are taken", meta = "ADDRESS", required)]
    listen: Option<SocketAddr>,
    #[options(help = "file to which each request that runs is appended", meta = "FILE", required)]
    journal: Option<PathBuf>,
    #[options(help = "milliseconds that a request takes", default = "5", meta = "MS")]
    service_ms: u64,
}

/// Serves requests until the process ends.
///
/// # Errors
/// An [`io::Error`] when the address cannot be bound or the journal cannot be opened.
pub async fn run(flags: LeafFlags) -> io::Result<()> {
    let listen = flags.listen.ok_or(io::ErrorKind::InvalidInput)?;
    let journal = Journal::open(&flags.journal.ok_or(io::ErrorKind::InvalidInput)?)?;
    let listener = TcpListener::bind(listen)?;
    info!(event = "started", role = "leaf", %listen);
    LeafServer::new(journal, flags.service_ms).serve(listener).await
}
