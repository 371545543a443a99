//! Connections to one leaf that wait for their next request.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures_util::FutureExt;
use gingerkeel_domain::forwarding::ConnectionAllowance;
use gingerkeel_transport::http1::{HttpReader, ReadError};
use monoio::io::{AsyncWriteRentExt, OwnedWriteHalf, Splitable};
use monoio::net::TcpStream;

/// Time for which a connection is kept when the leaf does not say how long it does.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);
/// Part of a leaf's own time after which a connection is not used again.
const KEEP_ALIVE_SHARE: f64 = 0.8;

/// A connection to a leaf; one request at a time.
pub struct LeafConnection {
    /// Reads responses.
    pub reader: HttpReader,
    writer: OwnedWriteHalf<TcpStream>,
    expires_at: Instant,
}

impl LeafConnection {
    /// Connects to a leaf.
    ///
    /// # Errors
    /// An [`io::Error`] when it does not take the connection.
    pub async fn connect(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_addr(address).await?;
        // Latency is measured in milliseconds here; a socket without the option still works.
        let _ = stream.set_nodelay(true);
        let (read_half, writer) = stream.into_split();
        let expires_at = Instant::now() + DEFAULT_KEEP_ALIVE;
        Ok(Self { reader: HttpReader::new(read_half), writer, expires_at })
    }

    /// Writes a request while the response is already awaited: a leaf may answer before it has
    /// read the whole body. Gives whether the request was written whole, too.
    ///
    /// # Errors
    /// A [`ReadError`] of the response, or of the socket.
    pub async fn exchange<F, T>(
        &mut self,
        request: Vec<u8>,
        read: F,
    ) -> Result<(T, bool), ReadError>
    where
        F: AsyncFnOnce(&mut HttpReader) -> Result<T, ReadError>,
    {
        let mut reading = std::pin::pin!(read(&mut self.reader));
        let mut writing = std::pin::pin!(self.writer.write_all(request));
        monoio::select! {
            biased;
            (written, _) = &mut writing => written?,
            answer = &mut reading => return answer.map(|answer| (answer, false)),
        };
        reading.await.map(|answer| (answer, true))
    }

    /// Whether the leaf has sent nothing and has not closed the connection while it lay idle.
    pub fn is_reusable(&mut self) -> bool {
        self.reader.is_empty() && self.reader.fill().now_or_never().is_none()
    }

    /// The leaf said, or did not, how long it keeps the connection.
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
    /// An idle connection that is still sound, the last used one first.
    pub fn take_idle(&mut self) -> Option<LeafConnection> {
        let now = Instant::now();
        while let Some(mut connection) = self.idle.pop() {
            if now < connection.expires_at && connection.is_reusable() {
                return Some(connection);
            }
            self.open -= 1;
        }
        None
    }

    /// Whether a connection lies idle that may be used again.
    pub fn has_idle(&self) -> bool {
        let now = Instant::now();
        self.idle.iter().any(|connection| now < connection.expires_at)
    }

    /// Whether any connection is open.
    pub fn is_open(&self) -> bool {
        self.open > 0
    }

    /// Whether another connection may be opened where `limit` may be open, and the leaf is observed to
    /// accept it.
    pub fn has_room(&self, limit: usize) -> bool {
        self.open < limit.min(self.allowance.allowed())
    }

    /// The leaf answered on a new connection.
    pub fn connection_accepted(&mut self) {
        self.allowance.accepted(self.open);
    }

    /// The leaf reset a new connection, which still counts as open; gives whether others are.
    pub fn connection_reset(&mut self) -> bool {
        self.allowance.refused(self.open);
        self.open > 1
    }

    /// Counts a connection that is about to be opened, unless `limit` are open.
    pub fn reserve(&mut self, limit: usize) -> bool {
        let reserved = self.has_room(limit);
        self.open += usize::from(reserved);
        reserved
    }

    /// A connection that was taken is closed.
    pub fn connection_closed(&mut self) {
        self.open = self.open.saturating_sub(1);
    }

    /// A connection that was taken is idle again.
    pub fn return_connection(&mut self, connection: LeafConnection) {
        self.idle.push(connection);
    }

    /// Closes idle connections whose time is over.
    pub fn close_expired(&mut self) {
        let now = Instant::now();
        let before = self.idle.len();
        self.idle.retain(|connection| now < connection.expires_at);
        self.open = self.open.saturating_sub(before - self.idle.len());
    }
}
