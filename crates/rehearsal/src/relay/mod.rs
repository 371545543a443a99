//! A relay between processes that counts the bytes that pass, and can be cut or disturbed.

mod frames;
mod link;

use std::collections::BTreeMap;
use std::net::{Shutdown, SocketAddr};
use std::pin::pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::Duration;

use monoio::io::{
    AsyncReadRent, AsyncWriteRent, AsyncWriteRentExt, OwnedReadHalf, OwnedWriteHalf, Splitable,
};
use monoio::net::{TcpListener, TcpStream};
use monoio::time::sleep;
use rustix::net::connect_unspec;
use tracing::warn;

pub use frames::{BytesByKind, FrameFollower, KindCounters};
pub use link::LinkFault;

use crate::error::RehearsalError;
use link::LinkState;

/// Time between two looks at whether connections are refused no longer.
const REFUSAL_LOOK: Duration = Duration::from_millis(5);
/// Bytes that are read at once.
const BUFFER_BYTES: usize = 64 * 1024;

/// Bytes that passed a relay in one direction.
#[derive(Debug, Default)]
struct Direction {
    bytes: AtomicU64,
    kinds: KindCounters,
    link: LinkState,
}

/// What a relay and its thread share.
#[derive(Debug, Default)]
struct Shared {
    to_target: Direction,
    from_target: Direction,
    connections: Mutex<Connections>,
}

/// Open connections to the target, so that a cut can close them.
#[derive(Debug, Default)]
struct Connections {
    cut: bool,
    /// Whether nobody listens at the relay's address.
    refusing: bool,
    next: u64,
    open: BTreeMap<u64, std::net::TcpStream>,
}

/// A relay on a thread of its own, which runs as long as the process.
#[derive(Clone)]
pub struct Relay {
    address: SocketAddr,
    shared: Arc<Shared>,
}

/// Bytes that passed a relay in each direction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RelayedBytes {
    /// From the connecting side to the target.
    pub to_target: u64,
    /// From the target to the connecting side.
    pub from_target: u64,
    /// The same by kind, where frames pass.
    pub kinds_to_target: BytesByKind,
    /// The same by kind, where frames pass.
    pub kinds_from_target: BytesByKind,
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
        let shared = Arc::new(Shared::default());
        let of_thread = shared.clone();
        thread::Builder::new()
            .name("relay".into())
            .spawn(move || {
                let serving = serve(listener, target, of_thread);
                if let Err(error) = gingerkeel_transport::block_on(serving).and_then(|end| end) {
                    warn!(event = "relay_ended", %error);
                }
            })
            .map_err(resource)?;
        Ok(Self { address, shared })
    }

    /// Address on which connections are taken.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Bytes that passed so far.
    pub fn bytes(&self) -> RelayedBytes {
        RelayedBytes {
            to_target: self.shared.to_target.bytes.load(Ordering::Relaxed),
            from_target: self.shared.from_target.bytes.load(Ordering::Relaxed),
            kinds_to_target: self.shared.to_target.kinds.read(),
            kinds_from_target: self.shared.from_target.kinds.read(),
        }
    }

    /// Closes all connections, and every new one at once, until [`Self::heal`].
    pub fn cut(&self) {
        let mut connections = self.shared.connections();
        connections.cut = true;
        for connection in std::mem::take(&mut connections.open).into_values() {
            // One that ended by itself meanwhile needs no end.
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    /// Closes all connections, and refuses new ones as if the target had ended, until [`Self::heal`].
    pub fn refuse(&self) {
        self.shared.connections().refusing = true;
        // Wakes the task that accepts, which closes the listener; without it, the next connection does.
        let _ = std::net::TcpStream::connect(self.address);
        self.cut();
    }

    /// Disturbs the link until [`Self::heal`].
    pub fn disturb(&self, fault: LinkFault) {
        let (to_target, from_target) = (&self.shared.to_target.link, &self.shared.from_target.link);
        match fault {
            LinkFault::Delayed(delay) => {
                to_target.set(delay, false);
                from_target.set(delay, false);
            }
            LinkFault::Silent => {
                to_target.set(Duration::ZERO, true);
                from_target.set(Duration::ZERO, true);
            }
            LinkFault::SilentToTarget => to_target.set(Duration::ZERO, true),
            LinkFault::SilentFromTarget => from_target.set(Duration::ZERO, true),
            LinkFault::Reset => self.reset(),
        }
    }

    /// Resets all connections, and every new one at once, until [`Self::heal`].
    fn reset(&self) {
        let mut connections = self.shared.connections();
        connections.cut = true;
        for connection in std::mem::take(&mut connections.open).into_values() {
            // Without a peer the connection is reset, and the task that passes bytes on ends. One that
            // ended by itself meanwhile needs no end.
            let _ = connect_unspec(&connection);
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    /// Ends a cut and every other fault.
    pub fn heal(&self) {
        let mut connections = self.shared.connections();
        connections.cut = false;
        connections.refusing = false;
        drop(connections);
        self.shared.to_target.link.set(Duration::ZERO, false);
        self.shared.from_target.link.set(Duration::ZERO, false);
    }
}

impl Shared {
    fn connections(&self) -> MutexGuard<'_, Connections> {
        self.connections.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Notes a connection to the target; none during a cut.
    fn admit(&self, connection: std::net::TcpStream) -> Option<u64> {
        let mut connections = self.connections();
        if connections.cut {
            return None;
        }
        let number = connections.next;
        connections.next += 1;
        connections.open.insert(number, connection);
        Some(number)
    }

    fn is_refusing(&self) -> bool {
        self.connections().refusing
    }

    fn is_cut(&self) -> bool {
        self.connections().cut
    }

    fn forget(&self, number: u64) {
        self.connections().open.remove(&number);
    }
}

async fn serve(
    listener: std::net::TcpListener,
    target: SocketAddr,
    shared: Arc<Shared>,
) -> std::io::Result<()> {
    let address = listener.local_addr()?;
    let mut listener = TcpListener::from_std(listener)?;
    loop {
        let (stream, _) = listener.accept().await?;
        if !shared.is_refusing() {
            monoio::spawn(relay(stream, target, shared.clone()));
            continue;
        }
        drop((listener, stream));
        while shared.is_refusing() {
            sleep(REFUSAL_LOOK).await;
        }
        let again = std::net::TcpListener::bind(address)?;
        again.set_nonblocking(true)?;
        listener = TcpListener::from_std(again)?;
    }
}

async fn relay(stream: TcpStream, target: SocketAddr, shared: Arc<Shared>) {
    // The connecting side sees its connection close.
    let Ok((peer, handle)) = open(target) else {
        return;
    };
    let Some(number) = shared.admit(handle) else {
        return;
    };
    // Latency is measured in milliseconds here; a socket without the option still works.
    let _ = (stream.set_nodelay(true), peer.set_nodelay(true));
    let (from_caller, to_caller) = stream.into_split();
    let (from_target, to_target) = peer.into_split();
    let mut forward = pin!(pass(from_caller, to_target, &shared, &shared.to_target));
    let mut backward = pin!(pass(from_target, to_caller, &shared, &shared.from_target));
    monoio::select! {
        _ = &mut forward => backward.await,
        // What is left of a connection that was cut closes with this task.
        _ = &mut backward => if !shared.is_cut() {
            forward.await;
        },
    }
    shared.forget(number);
}

/// A connection to the target, and a handle by which a cut closes it.
fn open(target: SocketAddr) -> std::io::Result<(TcpStream, std::net::TcpStream)> {
    let peer = std::net::TcpStream::connect(target)?;
    peer.set_nonblocking(true)?;
    let handle = peer.try_clone()?;
    Ok((TcpStream::from_std(peer)?, handle))
}

/// Passes bytes on until either side closes, then closes the other.
async fn pass(
    mut from: OwnedReadHalf<TcpStream>,
    mut to: OwnedWriteHalf<TcpStream>,
    shared: &Shared,
    direction: &Direction,
) {
    let mut frames = FrameFollower::default();
    let mut buffer = Vec::with_capacity(BUFFER_BYTES);
    loop {
        let (read, filled) = from.read(buffer).await;
        let Ok(count @ 1..) = read else {
            break;
        };
        direction.bytes.fetch_add(count as u64, Ordering::Relaxed);
        frames.follow(&filled[..count], &direction.kinds);
        direction.link.let_pass().await;
        let (written, emptied) = to.write_all(filled).await;
        if written.is_err() {
            break;
        }
        buffer = emptied;
        buffer.clear();
    }
    // A connection that is reset is not closed in order; the other side may have closed it already.
    if !shared.is_cut() {
        let _ = to.shutdown().await;
    }
}
