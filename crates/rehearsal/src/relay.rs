//! A relay between processes that counts the bytes that pass.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

use monoio::io::{AsyncReadRent, AsyncWriteRentExt, OwnedReadHalf, OwnedWriteHalf, Splitable};
use monoio::net::{TcpListener, TcpStream};
use tracing::warn;

use crate::error::RehearsalError;

/// Bytes that are read at once.
const BUFFER_BYTES: usize = 64 * 1024;

/// Bytes that passed a relay.
#[derive(Debug, Default)]
struct Counters {
    to_target: AtomicU64,
    from_target: AtomicU64,
}

/// A relay on a thread of its own, which runs as long as the process.
pub struct Relay {
    address: SocketAddr,
    counters: Arc<Counters>,
}

/// Bytes that passed a relay in each direction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RelayedBytes {
    /// From the connecting side to the target.
    pub to_target: u64,
    /// From the target to the connecting side.
    pub from_target: u64,
}

impl Relay {
    /// Relays connections to `target`.
    ///
    /// # Errors
    /// [`RehearsalError::Resource`] when no port is free or no thread can be started.
    pub fn start(target: SocketAddr) -> Result<Self, RehearsalError> {
        let resource = |error| RehearsalError::resource(format!("relay to {target}"), error);
        let listener = std::net::TcpListener::bind("127.0.0.1:0").map_err(resource)?;
        listener.set_nonblocking(true).map_err(resource)?;
        let address = listener.local_addr().map_err(resource)?;
        let counters = Arc::new(Counters::default());
        let shared = counters.clone();
        thread::Builder::new()
            .name("relay".into())
            .spawn(move || {
                let serving = serve(listener, target, shared);
                if let Err(error) = gingerkeel_transport::block_on(serving).and_then(|end| end) {
                    warn!(event = "relay_ended", %error);
                }
            })
            .map_err(resource)?;
        Ok(Self { address, counters })
    }

    /// Address on which connections are taken.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Bytes that passed so far.
    pub fn bytes(&self) -> RelayedBytes {
        RelayedBytes {
            to_target: self.counters.to_target.load(Ordering::Relaxed),
            from_target: self.counters.from_target.load(Ordering::Relaxed),
        }
    }
}

async fn serve(
    listener: std::net::TcpListener,
    target: SocketAddr,
    counters: Arc<Counters>,
) -> std::io::Result<()> {
    let listener = TcpListener::from_std(listener)?;
    loop {
        let (stream, _) = listener.accept().await?;
        monoio::spawn(connect(stream, target, counters.clone()));
    }
}

async fn connect(stream: TcpStream, target: SocketAddr, counters: Arc<Counters>) {
    // The connecting side sees its connection close.
    let Ok(peer) = TcpStream::connect_addr(target).await else {
        return;
    };
    // Latency is measured in milliseconds here; a socket without the option still works.
    let _ = (stream.set_nodelay(true), peer.set_nodelay(true));
    let (from_caller, to_caller) = stream.into_split();
    let (from_target, to_target) = peer.into_split();
    let backward = counters.clone();
    monoio::spawn(async move {
        pass(from_target, to_caller, &backward.from_target).await;
    });
    pass(from_caller, to_target, &counters.to_target).await;
}

/// Passes bytes on until either side closes.
async fn pass(
    mut from: OwnedReadHalf<TcpStream>,
    mut to: OwnedWriteHalf<TcpStream>,
    counter: &AtomicU64,
) {
    let mut buffer = Vec::with_capacity(BUFFER_BYTES);
    loop {
        let (read, filled) = from.read(buffer).await;
        let Ok(count @ 1..) = read else {
            return;
        };
        counter.fetch_add(count as u64, Ordering::Relaxed);
        let (written, emptied) = to.write_all(filled).await;
        if written.is_err() {
            return;
        }
        buffer = emptied;
        buffer.clear();
    }
}
