//! A caller's connection; one task owns it.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use gingerkeel_domain::identifiers::{CallerName, QueryId};
use gingerkeel_domain::memory::Activity;
use gingerkeel_domain::query::{QueryOutcome, Submission};
use gingerkeel_transport::{
    HttpResponse, Latch, Limits, MemoryCharge, MemoryShare, MemoryShortage, ReceivedRequest,
    RequestHead, RequestReader, ResponseWriter, ServerConnection, TransportError, asks_to_close,
    with_close,
};
use local_sync::mpsc::unbounded::Tx;
use local_sync::oneshot;
use monoio::net::TcpStream;
use monoio::time::{sleep, timeout};
use tracing::debug;

use super::request::{CallerRequest, check_target, read_request};
use super::response;
use crate::engine::EngineMessage;

/// How long an idle connection still accepts a request after the start of a planned stop.
const STOP_GRACE: Duration = Duration::from_millis(250);
/// How long bytes of the caller are discarded after the last response, before the connection is
/// closed.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of bytes discarded after the last response.
const LINGER_BYTES: usize = 16 * 1024 * 1024;

/// Limits of a caller's connection.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionBounds {
    /// Limits of each request.
    pub limits: Limits,
    /// Idle timeout between requests.
    pub idle_time: Duration,
}

/// A caller's connection and the queries on it.
pub struct CallerConnection {
    number: u32,
    next_query: u32,
    reader: RequestReader,
    writer: ResponseWriter,
    bounds: ConnectionBounds,
    share: Rc<MemoryShare>,
    engine: Tx<EngineMessage>,
    stop: Latch,
}

/// Whether a connection stays open after a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AfterResponse {
    KeepAlive,
    Close,
}

impl CallerConnection {
    /// Wraps an accepted socket; `number` is unique within the broker run.
    pub fn new(
        number: u32,
        stream: TcpStream,
        bounds: ConnectionBounds,
        share: Rc<MemoryShare>,
        engine: Tx<EngineMessage>,
        stop: Latch,
    ) -> Self {
        let connection = ServerConnection::accounted(stream, bounds.limits, share.clone());
        let (reader, writer) = connection.into_split();
        Self { number, next_query: 0, reader, writer, bounds, share, engine, stop }
    }

    /// Serves requests until the caller disconnects, the idle timeout expires, a request is invalid
    /// HTTP, or a planned stop begins.
    pub async fn run(mut self) {
        while self.await_request().await {
            match self.receive().await {
                Ok(Some(received)) => match self.handle_request(received).await {
                    Ok(AfterResponse::KeepAlive) => self.share.set_activity(Activity::Idle),
                    Ok(AfterResponse::Close) => return self.linger().await,
                    Err(error) => return debug!(event = "caller_gone", %error),
                },
                Ok(None) => return,
                Err(error) => return self.reject(&error).await,
            }
        }
    }

    /// Whether the first byte of a request arrives before the idle timeout, or within
    /// [`STOP_GRACE`] after the start of a planned stop.
    async fn await_request(&mut self) -> bool {
        let grace = async {
            self.stop.wait().await;
            sleep(STOP_GRACE).await;
        };
        monoio::select! {
            biased;
            begun = self.reader.wait() => matches!(begun, Ok(true)),
            _ = grace => false,
            () = self.share.evicted() => false,
            _ = sleep(self.bounds.idle_time) => false,
        }
    }

    /// Reads a request, without the body of one that will be refused by its head.
    async fn receive(&mut self) -> Result<Option<ReceivedRequest>, TransportError> {
        self.share.set_activity(Activity::Receiving);
        monoio::select! {
            biased;
            received = self.reader.next_request(is_known) => received,
            // Nothing of the request has run.
            () = self.share.evicted() => Err(MemoryShortage::NoRoom.into()),
        }
    }

    async fn handle_request(
        &mut self,
        received: ReceivedRequest,
    ) -> Result<AfterResponse, TransportError> {
        self.share.set_activity(Activity::Serving);
        // Kept until the answer is written, as the engine keeps the body until then.
        let ReceivedRequest { request, charge: _charge, has_unread_body } = received;
        let last = has_unread_body || asks_to_close(&request);
        let response = match read_request(self.next_query_id(), request) {
            Ok(CallerRequest::Query { submission, deadline, body }) => {
                let outcome = self.run_query(submission, deadline, body).await?;
                response::query_response(&outcome)
            }
            Ok(CallerRequest::IssueKey(caller)) => self.issue_key(caller).await?,
            Err(error) => response::bad_request(&error),
        };
        if last || self.stop.is_set() {
            self.respond(with_close(response)).await?;
            return Ok(AfterResponse::Close);
        }
        self.respond(response).await?;
        Ok(AfterResponse::KeepAlive)
    }

    /// Submits a query and awaits its outcome; notifies the engine if the caller disconnects. A
    /// caller that has pipelined more bytes counts as connected.
    async fn run_query(
        &mut self,
        submission: Submission,
        deadline: Option<Duration>,
        body: Bytes,
    ) -> Result<QueryOutcome, TransportError> {
        let query = submission.query;
        let (reply, mut outcome) = oneshot::channel();
        // The engine lives as long as the process.
        let _ = self.engine.send(EngineMessage::Submit { submission, deadline, body, reply });
        let mut watches_caller = true;
        loop {
            monoio::select! {
                answered = &mut outcome => return answered.map_err(|_| TransportError::ConnectionClosed),
                begun = self.reader.wait(), if watches_caller => match begun {
                    Ok(true) => watches_caller = false,
                    Ok(false) | Err(_) => {
                        let _ = self.engine.send(EngineMessage::CallerGone(query));
                        return Err(TransportError::ConnectionClosed);
                    }
                }
            }
        }
    }

    async fn issue_key(&self, caller: CallerName) -> Result<HttpResponse, TransportError> {
        let (reply, issued) = oneshot::channel();
        // The engine lives as long as the process.
        let _ = self.engine.send(EngineMessage::IssueKey { caller, reply });
        let issued = issued.await.map_err(|_| TransportError::ConnectionClosed)?;
        Ok(issued.map_or_else(response::refused, |key| response::issued_key(&key)))
    }

    async fn reject(mut self, error: &TransportError) {
        let response = match error {
            TransportError::ConnectionClosed | TransportError::Socket(_) => return,
            TransportError::OutOfMemory(error) => response::out_of_memory(error),
            error => response::transport_error(error),
        };
        let response = with_close(response);
        if self.respond(response).await.is_ok() {
            self.linger().await;
        }
    }

    async fn respond(&mut self, response: HttpResponse) -> Result<(), TransportError> {
        let mut charge = MemoryCharge::none(&self.share);
        charge.raise_to(response.body().len()).await?;
        self.share.set_activity(Activity::Sending);
        let writing = self.writer.respond(response);
        monoio::select! {
            biased;
            written = timeout(self.bounds.limits.message_time, writing) => {
                written.map_err(|_| TransportError::TimedOut)?
            }
            () = self.share.evicted() => Err(MemoryShortage::NoRoom.into()),
        }
    }

    /// Closes the connection in such a way that a caller that is still sending can read its
    /// response.
    async fn linger(mut self) {
        if self.writer.close().await.is_ok() {
            // The connection is closed after a timeout, too.
            let _ = timeout(LINGER_TIMEOUT, self.reader.discard(LINGER_BYTES)).await;
        }
    }

    fn next_query_id(&mut self) -> QueryId {
        let query = (u64::from(self.number) << 32) | u64::from(self.next_query);
        self.next_query = self.next_query.wrapping_add(1);
        QueryId(query)
    }
}

/// Whether a request goes to a known path by a known method.
fn is_known(head: &RequestHead) -> bool {
    check_target(&head.method, head.uri.path()).is_ok()
}
