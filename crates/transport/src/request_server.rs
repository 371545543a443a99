//! Server of the administrative HTTP interfaces: complete requests and responses of bounded size, one
//! at a time on each connection.

use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use gingerkeel_domain::memory::Activity;
use http::HeaderValue;
use http::header::CONNECTION;
use monoio::net::{TcpListener, TcpStream};
use monoio::time::{sleep, timeout};
use monoio_http::common::request::RequestHead;
use tracing::debug;

use crate::memory::{ConnectionMemory, MemoryCharge, MemoryShare, MemoryShortage};
use crate::message::{HttpRequest, HttpResponse};
use crate::server::{
    ReceivedRequest, RequestReader, ResponseWriter, ServerConnection, asks_to_close,
};
use crate::{Limits, TransportError, accept_connections, text_response};

/// How long bytes of the peer are discarded after the last response, before the connection is
/// closed.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of bytes discarded after the last response.
const LINGER_BYTES: usize = 1024 * 1024;
/// Idle timeout between requests.
const IDLE_TIMEOUT: Duration = Duration::from_secs(75);

/// Answers the requests of a [`RequestServer`].
pub trait RequestHandler: 'static {
    /// Whether a long body of a request is read. If not, the request is answered without it, and
    /// the connection closed.
    fn takes_body(&self, _head: &RequestHead) -> bool {
        false
    }

    /// Bytes that answering a request takes for each byte of its body.
    fn memory_factor(&self) -> usize {
        1
    }

    /// Answers a request.
    fn answer(&self, request: HttpRequest) -> impl Future<Output = HttpResponse>;

    /// The response to a request that could not be read, or for which there is no room; the
    /// connection is closed after it.
    fn reject(&self, error: &TransportError) -> HttpResponse {
        text_response(error.status(), &error.to_string())
    }
}

/// Serves requests on the connections of a listener.
pub struct RequestServer {
    name: &'static str,
    limits: Limits,
    memory: ConnectionMemory,
}

impl RequestServer {
    /// Creates a server; `name` identifies it in the log.
    pub fn new(name: &'static str, limits: Limits, memory: ConnectionMemory) -> Self {
        Self { name, limits, memory }
    }

    /// Accepts connections for the life of the process.
    pub async fn serve<H: RequestHandler>(self, listener: TcpListener, handler: H) {
        let handler = Rc::new(handler);
        accept_connections(listener, self.name, |stream| {
            // Without room the connection is closed unread.
            let Some(share) = self.memory.open() else {
                return;
            };
            let (name, handler) = (self.name, handler.clone());
            let connection = Connection::new(stream, self.limits, share, handler);
            monoio::spawn(async move {
                if let Err(error) = connection.run().await {
                    debug!(event = "connection_ended", listener = name, %error);
                }
            });
        })
        .await;
    }
}

struct Connection<H> {
    reader: RequestReader,
    writer: ResponseWriter,
    limits: Limits,
    share: Rc<MemoryShare>,
    handler: Rc<H>,
}

impl<H: RequestHandler> Connection<H> {
    fn new(stream: TcpStream, limits: Limits, share: Rc<MemoryShare>, handler: Rc<H>) -> Self {
        let connection = ServerConnection::accounted(stream, limits, share.clone());
        let (reader, writer) = connection.into_split();
        Self { reader, writer, limits, share, handler }
    }

    async fn run(mut self) -> Result<(), TransportError> {
        while self.await_request().await {
            let received = match self.receive().await {
                Ok(Some(received)) => received,
                Ok(None) => return Ok(()),
                Err(error) => return self.reject(&error).await,
            };
            let closes = received.has_unread_body || asks_to_close(&received.request);
            let (response, charge) = match self.answer(received).await {
                Ok(answered) => answered,
                Err(shortage) => return self.reject(&shortage.into()).await,
            };
            if closes {
                self.respond(with_close(response)).await?;
                self.linger().await;
                return Ok(());
            }
            self.respond(response).await?;
            drop(charge);
            self.share.set_activity(Activity::Idle);
        }
        Ok(())
    }

    /// Whether the first byte of a request arrives before the connection has to be closed.
    async fn await_request(&mut self) -> bool {
        monoio::select! {
            biased;
            begun = self.reader.wait() => matches!(begun, Ok(true)),
            () = self.share.evicted() => false,
            _ = sleep(IDLE_TIMEOUT) => false,
        }
    }

    async fn receive(&mut self) -> Result<Option<ReceivedRequest>, TransportError> {
        self.share.set_activity(Activity::Receiving);
        let (share, handler) = (self.share.clone(), self.handler.clone());
        monoio::select! {
            biased;
            received = self.reader.next_request(|head| handler.takes_body(head)) => received,
            () = share.evicted() => Err(MemoryShortage::NoRoom.into()),
        }
    }

    /// Answers a request; returns the response with its charge.
    async fn answer(
        &self,
        received: ReceivedRequest,
    ) -> Result<(HttpResponse, MemoryCharge), MemoryShortage> {
        self.share.set_activity(Activity::Serving);
        let mut charge = MemoryCharge::none(&self.share);
        charge.raise_to(received.request.body().len() * self.handler.memory_factor()).await?;
        let response = self.handler.answer(received.request).await;
        drop(received.charge);
        charge.lower_to(response.body().len());
        charge.raise_to(response.body().len()).await?;
        Ok((response, charge))
    }

    async fn reject(mut self, error: &TransportError) -> Result<(), TransportError> {
        if matches!(error, TransportError::ConnectionClosed | TransportError::Socket(_)) {
            return Ok(());
        }
        let response = with_close(self.handler.reject(error));
        self.respond(response).await?;
        self.linger().await;
        Ok(())
    }

    async fn respond(&mut self, response: HttpResponse) -> Result<(), TransportError> {
        self.share.set_activity(Activity::Sending);
        monoio::select! {
            biased;
            written = timeout(self.limits.message_time, self.writer.respond(response)) => {
                written.map_err(|_| TransportError::TimedOut)?
            }
            () = self.share.evicted() => Err(MemoryShortage::NoRoom.into()),
        }
    }

    /// Closes the connection in such a way that a peer that is still sending can read its response.
    async fn linger(mut self) {
        if self.writer.close().await.is_ok() {
            // The connection is closed after a timeout, too.
            let _ = timeout(LINGER_TIMEOUT, self.reader.discard(LINGER_BYTES)).await;
        }
    }
}

/// Adds `Connection: close` to a response.
pub fn with_close(mut response: HttpResponse) -> HttpResponse {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}
