//! One caller's connection, owned by a task.

use std::pin::pin;

use gingerkeel_domain::identifiers::QueryId;
use gingerkeel_domain::query::QueryOutcome;
use gingerkeel_transport::{
    HttpRequest, HttpResponse, Limits, RequestReader, ResponseWriter, ServerConnection,
    TransportError,
};
use http::StatusCode;
use local_sync::mpsc::unbounded::Tx;
use local_sync::oneshot;
use monoio::net::TcpStream;
use tracing::debug;

use super::request::{CallerRequest, read_request};
use super::response;
use crate::engine::EngineMessage;

/// One caller's connection.
pub struct CallerConnection {
    number: u32,
    next_query: u32,
    reader: RequestReader,
    writer: ResponseWriter,
    engine: Tx<EngineMessage>,
}

impl CallerConnection {
    /// Takes over an accepted socket; `number` is unique within the broker run.
    pub fn new(number: u32, stream: TcpStream, limits: Limits, engine: Tx<EngineMessage>) -> Self {
        let (reader, writer) = ServerConnection::new(stream, limits).into_split();
        Self { number, next_query: 0, reader, writer, engine }
    }

    /// Answers requests until the caller hangs up or sends something that is not HTTP.
    pub async fn run(mut self) {
        let mut pipelined = None;
        loop {
            let next = match pipelined.take() {
                Some(request) => Ok(Some(request)),
                None => self.reader.next_request().await,
            };
            match next {
                Ok(Some(request)) => match self.answer(request).await {
                    Ok(following) => pipelined = following,
                    Err(error) => return debug!(event = "caller_gone", %error),
                },
                Ok(None) => return,
                Err(error) => return self.reject(&error).await,
            }
        }
    }

    /// Answers one request; gives the one that the caller sent meanwhile, if any.
    async fn answer(
        &mut self,
        request: HttpRequest,
    ) -> Result<Option<HttpRequest>, TransportError> {
        match read_request(self.next_query_id(), request) {
            Ok(request) => self.answer_query(request).await,
            Err(error) => {
                let response = response::bad_request(&error);
                self.writer.respond(response).await?;
                Ok(None)
            }
        }
    }

    async fn answer_query(
        &mut self,
        request: CallerRequest,
    ) -> Result<Option<HttpRequest>, TransportError> {
        let query = request.submission.query;
        let (reply, mut outcome) = oneshot::channel();
        let CallerRequest { submission, body } = request;
        // The engine ends only when no query is in flight.
        let _ = self.engine.send(EngineMessage::Submit { submission, body, reply });
        let mut reading = pin!(self.reader.next_request());
        let mut following = None;
        let outcome: QueryOutcome = loop {
            monoio::select! {
                answered = &mut outcome => {
                    break answered.map_err(|_| TransportError::CutShort)?;
                }
                next = &mut reading, if following.is_none() => match next {
                    Ok(Some(request)) => following = Some(request),
                    Ok(None) | Err(_) => {
                        let _ = self.engine.send(EngineMessage::CallerGone(query));
                        return Err(TransportError::CutShort);
                    }
                }
            }
        };
        let written = self.writer.respond(response::answer(&outcome)).await;
        let _ = self.engine.send(EngineMessage::AnswerDelivered);
        written.map(|()| following)
    }

    async fn reject(mut self, error: &TransportError) {
        let status = match error {
            TransportError::HeadTooLarge(_) => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            TransportError::BodyTooLarge(_) => StatusCode::PAYLOAD_TOO_LARGE,
            TransportError::Slow => StatusCode::REQUEST_TIMEOUT,
            TransportError::Malformed(_) => StatusCode::BAD_REQUEST,
            TransportError::CutShort | TransportError::Socket(_) => return,
        };
        let response: HttpResponse = response::transport_error(status, error);
        // The caller may be gone; then there is nobody to tell.
        let _ = self.writer.respond(response).await;
    }

    fn next_query_id(&mut self) -> QueryId {
        let query = (u64::from(self.number) << 32) | u64::from(self.next_query);
        self.next_query = self.next_query.wrapping_add(1);
        QueryId(query)
    }
}
