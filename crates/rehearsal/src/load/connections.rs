//! A caller's connections to one broker: bounded, and kept between queries.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use gingerkeel_transport::{
    ClientConnection, HttpRequest, HttpResponse, Limits, RequestWriter, ResponseReader,
    TransportError,
};
use monoio::time::timeout;
use tokio::sync::{Semaphore, SemaphorePermit};

/// Time within which a connection has to open.
const CONNECT_TIME: Duration = Duration::from_secs(1);
/// Bytes of an answer that are accepted: many parts.
const ANSWER_BYTES: usize = 16 * 1024 * 1024;
/// Idle connections that are looked at before a new one is opened.
const MAXIMUM_STALE: usize = 64;

/// The connections to one broker.
pub struct BrokerConnections {
    /// Address of the broker.
    pub address: SocketAddr,
    permits: Semaphore,
    idle: RefCell<Vec<Lease>>,
}

/// A connection that carries one query at a time.
pub struct Lease {
    writer: RequestWriter,
    reader: ResponseReader,
}

impl BrokerConnections {
    /// At most `limit` connections, none of them open yet.
    pub fn new(address: SocketAddr, limit: usize) -> Self {
        Self { address, permits: Semaphore::new(limit), idle: RefCell::default() }
    }

    /// Waits until a connection may be used.
    pub async fn permit(&self) -> SemaphorePermit<'_> {
        self.permits.acquire().await.expect("the semaphore is never closed")
    }

    /// An open connection; the caller holds a permit.
    ///
    /// # Errors
    /// A [`TransportError`] when the broker cannot be reached.
    pub async fn lease(&self) -> Result<Lease, TransportError> {
        for _ in 0..MAXIMUM_STALE {
            let Some(mut lease) = self.idle.borrow_mut().pop() else {
                break;
            };
            if lease.is_open().await {
                return Ok(lease);
            }
        }
        let limits = Limits { body_bytes: ANSWER_BYTES, ..Limits::default() };
        let connecting = ClientConnection::connect(self.address, limits);
        let connection =
            timeout(CONNECT_TIME, connecting).await.map_err(|_| TransportError::TimedOut)??;
        let (writer, reader) = connection.into_split();
        Ok(Lease { writer, reader })
    }

    /// Takes a connection back on which nothing is owed.
    pub fn give_back(&self, lease: Lease) {
        self.idle.borrow_mut().push(lease);
    }
}

impl Lease {
    /// Whether the broker has not closed the idle connection.
    async fn is_open(&mut self) -> bool {
        timeout(Duration::ZERO, self.reader.receive()).await.is_err()
    }

    /// Sends a request and reads its response.
    ///
    /// # Errors
    /// A [`TransportError`]; the connection is then of no further use.
    pub async fn exchange(&mut self, request: HttpRequest) -> Result<HttpResponse, TransportError> {
        self.writer.send(request).await?;
        self.reader.receive().await
    }
}
