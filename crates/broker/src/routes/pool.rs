//! Pool of keep-alive connections to one leaf.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::FutureExt;
use gingerkeel_domain::forwarding::ConnectionAllowance;
use gingerkeel_transport::http1::{HttpReader, ReadError};
use monoio::io::{AsyncWriteRentExt, OwnedWriteHalf, Splitable};
use monoio::net::TcpStream;

/// Keep-alive timeout if the leaf states none.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);
/// Share of the leaf's keep-alive timeout after which a connection is not reused.
const KEEP_ALIVE_SHARE: f64 = 0.8;

/// Number of a connection, unique in this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionNumber(u64);

impl ConnectionNumber {
    fn next() -> Self {
        static NEXT: AtomicU64 = AtomicU64::new(0);
        Self(NEXT.fetch_add(1, Ordering::Relaxed))
    }
}

/// A connection to a leaf; one request at a time.
pub struct LeafConnection {
    /// Number of the connection.
    pub number: ConnectionNumber,
    /// Whether no request was sent on the connection, so that no late reply can arrive on it.
    pub is_fresh: bool,
    /// Reads responses.
    pub reader: HttpReader,
    writer: OwnedWriteHalf<TcpStream>,
    expires_at: Instant,
}

impl LeafConnection {
    /// Connects to a leaf.
    ///
    /// # Errors
    /// An [`io::Error`] if the leaf does not accept the connection.
    pub async fn connect(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_addr(address).await?;
        // Latency is measured in milliseconds here; a socket without the option still works.
        let _ = stream.set_nodelay(true);
        let (read_half, writer) = stream.into_split();
        let expires_at = Instant::now() + DEFAULT_KEEP_ALIVE;
        let reader = HttpReader::new(read_half);
        Ok(Self { number: ConnectionNumber::next(), is_fresh: true, reader, writer, expires_at })
    }

    /// Writes a request, with the `rest` of it behind, and reads the response concurrently: a leaf
    /// may reply before it has read the whole body. Also returns whether the request was written
    /// completely.
    ///
    /// # Errors
    /// A [`ReadError`] of the response, or of the socket.
    pub async fn exchange<F, T>(
        &mut self,
        request: Vec<u8>,
        rest: Bytes,
        read: F,
    ) -> Result<(T, bool), ReadError>
    where
        F: AsyncFnOnce(&mut HttpReader) -> Result<T, ReadError>,
    {
        let mut reading = std::pin::pin!(read(&mut self.reader));
        let writer = &mut self.writer;
        let mut writing = std::pin::pin!(async {
            writer.write_all(request).await.0?;
            if !rest.is_empty() {
                writer.write_all(rest).await.0?;
            }
            io::Result::Ok(())
        });
        monoio::select! {
            biased;
            written = &mut writing => written?,
            answer = &mut reading => return answer.map(|answer| (answer, false)),
        };
        reading.await.map(|answer| (answer, true))
    }

    /// Whether the leaf has neither sent data nor closed the connection while it was idle.
    pub fn is_reusable(&mut self) -> bool {
        self.reader.is_empty() && self.reader.fill().now_or_never().is_none()
    }

    /// Sets the expiry from the keep-alive timeout that the leaf stated, if any.
    pub fn set_keep_alive(&mut self, stated: Option<Duration>) {
        let span = stated.map_or(DEFAULT_KEEP_ALIVE, |stated| stated.mul_f64(KEEP_ALIVE_SHARE));
        self.expires_at = Instant::now() + span;
    }
}

/// Connections to one leaf.
#[derive(Default)]
pub struct LeafPool {
    idle: Vec<LeafConnection>,
    open: usize,
    allowance: ConnectionAllowance,
}

impl LeafPool {
    /// Takes a reusable idle connection other than `excluded`, the most recently used first.
    pub fn take_idle(&mut self, excluded: &[ConnectionNumber]) -> Option<LeafConnection> {
        let now = Instant::now();
        let is_usable = |connection: &LeafConnection| !excluded.contains(&connection.number);
        while let Some(position) = self.idle.iter().rposition(is_usable) {
            let mut connection = self.idle.remove(position);
            if now < connection.expires_at && connection.is_reusable() {
                return Some(connection);
            }
            self.open -= 1;
        }
        None
    }

    /// Whether an idle connection has not expired.
    pub fn has_idle(&self) -> bool {
        let now = Instant::now();
        self.idle.iter().any(|connection| now < connection.expires_at)
    }

    /// Whether any connection is open.
    pub fn is_open(&self) -> bool {
        self.open > 0
    }

    /// Whether another connection may be opened under `limit` and the number that the leaf was
    /// observed to accept.
    pub fn has_room(&self, limit: usize) -> bool {
        self.open < limit.min(self.allowance.allowed())
    }

    /// Records that the leaf replied on a new connection.
    pub fn connection_accepted(&mut self) {
        self.allowance.accepted(self.open);
    }

    /// Records that the leaf reset a new connection, which still counts as open; returns whether
    /// others are open.
    pub fn connection_reset(&mut self) -> bool {
        self.allowance.refused(self.open);
        self.open > 1
    }

    /// Reserves a connection that is about to be opened; false if the pool has no room. An idle
    /// connection, which the request may not use, is closed to make room.
    pub fn reserve(&mut self, limit: usize) -> bool {
        if !self.has_room(limit) && self.idle.pop().is_some() {
            self.open = self.open.saturating_sub(1);
        }
        let reserved = self.has_room(limit);
        self.open += usize::from(reserved);
        reserved
    }

    /// Releases a connection that was taken and closed.
    pub fn connection_closed(&mut self) {
        self.open = self.open.saturating_sub(1);
    }

    /// Returns a taken connection as idle.
    pub fn return_connection(&mut self, connection: LeafConnection) {
        self.idle.push(connection);
    }

    /// Closes idle connections past their keep-alive timeout.
    pub fn close_expired(&mut self) {
        let now = Instant::now();
        let before = self.idle.len();
        self.idle.retain(|connection| now < connection.expires_at);
        self.open = self.open.saturating_sub(before - self.idle.len());
    }
}
