//! One caller's connection, owned by a task.

use std::time::Duration;

use bytes::Bytes;
use gingerkeel_domain::identifiers::{CallerName, QueryId};
use gingerkeel_domain::query::{QueryOutcome, Submission};
use gingerkeel_transport::{
    HttpRequest, HttpResponse, Limits, RequestReader, ResponseWriter, ServerConnection,
    TransportError,
};
use http::header::CONNECTION;
use http::{StatusCode, Version};
use local_sync::mpsc::unbounded::Tx;
use local_sync::oneshot;
use monoio::net::TcpStream;
use monoio::time::{sleep, timeout};
use tracing::debug;

use super::request::{CallerRequest, read_request};
use super::response;
use crate::engine::EngineMessage;
use crate::latch::Latch;

/// Time for which an idle connection takes a last request once a planned stop has begun.
const STOP_GRACE: Duration = Duration::from_millis(250);
/// Time for which a caller that was rejected may go on sending before the connection is closed.
const LINGER_TIME: Duration = Duration::from_secs(1);
/// Bytes that a caller that was rejected may go on sending.
const LINGER_BYTES: usize = 16 * 1024 * 1024;

/// Bounds of a caller's connection.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionBounds {
    /// Bounds of each request.
    pub limits: Limits,
    /// Time for which the connection may lie idle between requests.
    pub idle_time: Duration,
}

/// One caller's connection.
pub struct CallerConnection {
    number: u32,
    next_query: u32,
    reader: RequestReader,
    writer: ResponseWriter,
    bounds: ConnectionBounds,
    engine: Tx<EngineMessage>,
    stop: Latch,
}

/// What becomes of a connection after an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum After {
    KeepAlive,
    Close,
}

impl CallerConnection {
    /// Takes over an accepted socket; `number` is unique within the broker run.
    pub fn new(
        number: u32,
        stream: TcpStream,
        bounds: ConnectionBounds,
        engine: Tx<EngineMessage>,
        stop: Latch,
    ) -> Self {
        let (reader, writer) = ServerConnection::new(stream, bounds.limits).into_split();
        Self { number, next_query: 0, reader, writer, bounds, engine, stop }
    }

    /// Answers requests until the caller hangs up, stays idle for too long, sends something that is
    /// not HTTP, or a planned stop has begun.
    pub async fn run(mut self) {
        while self.request_comes().await {
            match self.reader.next_request().await {
                Ok(Some(request)) => match self.answer(request).await {
                    Ok(After::KeepAlive) => {}
                    Ok(After::Close) => return self.linger().await,
                    Err(error) => return debug!(event = "caller_gone", %error),
                },
                Ok(None) => return,
                Err(error) => return self.reject(&error).await,
            }
        }
    }

    /// Whether the first byte of a request comes in time; an idle connection ends with a planned
    /// stop.
    async fn request_comes(&mut self) -> bool {
        let grace = async {
            self.stop.wait().await;
            sleep(STOP_GRACE).await;
        };
        monoio::select! {
            begun = self.reader.wait() => matches!(begun, Ok(true)),
            _ = grace => false,
            _ = sleep(self.bounds.idle_time) => false,
        }
    }

    async fn answer(&mut self, request: HttpRequest) -> Result<After, TransportError> {
        let last = asks_to_close(&request);
        let response = match read_request(self.next_query_id(), request) {
            Ok(CallerRequest::Query { submission, deadline, body }) => {
                let outcome = self.run_query(submission, deadline, body).await?;
                response::query_response(&outcome)
            }
            Ok(CallerRequest::IssueKey(caller)) => self.issue_key(caller).await?,
            Err(error) => response::bad_request(&error),
        };
        if last || self.stop.is_set() {
            self.respond(response::with_close(response)).await?;
            return Ok(After::Close);
        }
        self.respond(response).await?;
        Ok(After::KeepAlive)
    }

    /// Submits a query and awaits its outcome; tells the engine when the caller hangs up. A
    /// caller that has sent more bytes meanwhile counts as present.
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
        let mut watching = true;
        loop {
            monoio::select! {
                answered = &mut outcome => return answered.map_err(|_| TransportError::ConnectionClosed),
                begun = self.reader.wait(), if watching => match begun {
                    Ok(true) => watching = false,
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
        let status = match error {
            TransportError::HeadTooLarge(_) => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            TransportError::BodyTooLarge(_) => StatusCode::PAYLOAD_TOO_LARGE,
            TransportError::TimedOut => StatusCode::REQUEST_TIMEOUT,
            TransportError::Malformed(_) => StatusCode::BAD_REQUEST,
            TransportError::ConnectionClosed | TransportError::Socket(_) => return,
        };
        let response = response::with_close(response::transport_error(status, error));
        if self.respond(response).await.is_ok() {
            self.linger().await;
        }
    }

    async fn respond(&mut self, response: HttpResponse) -> Result<(), TransportError> {
        let writing = self.writer.respond(response);
        timeout(self.bounds.limits.message_time, writing)
            .await
            .map_err(|_| TransportError::TimedOut)?
    }

    /// Ends the connection so that the caller can read its answer although it still sends.
    async fn linger(mut self) {
        if self.writer.close().await.is_ok() {
            // Once the time is over the connection is closed in any case.
            let _ = timeout(LINGER_TIME, self.reader.discard(LINGER_BYTES)).await;
        }
    }

    fn next_query_id(&mut self) -> QueryId {
        let query = (u64::from(self.number) << 32) | u64::from(self.next_query);
        self.next_query = self.next_query.wrapping_add(1);
        QueryId(query)
    }
}

fn asks_to_close(request: &HttpRequest) -> bool {
    let option = request.headers().get(CONNECTION).and_then(|value| value.to_str().ok());
    match option {
        Some(option) if option.eq_ignore_ascii_case("close") => true,
        Some(option) if option.eq_ignore_ascii_case("keep-alive") => false,
        _ => request.version() < Version::HTTP_11,
    }
}
