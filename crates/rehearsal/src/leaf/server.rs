//! The HTTP side of a stand-in leaf.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use gingerkeel_transport::{HttpRequest, HttpResponse, Limits, ServerConnection, TransportError};
use http::{HeaderMap, HeaderValue, Method, StatusCode};
use monoio::net::{TcpListener, TcpStream};
use monoio::time::sleep;
use serde::Serialize;
use tracing::warn;

use super::admin::{AdminCommand, LeafCounters, ReplyFault, ReplyFaultKind};
use super::body::{LeafBody, QueryBody};
use super::emulator::{Emulator, SearchOutcome, SearchRequest};
use super::settings::Delays;

const REQUEST_ID: &str = "x-request-id";
const INDEX_VERSION: &str = "x-index-version";
const PARTITION_EPOCH: &str = "x-partition-epoch";
const DEADLINE: &str = "x-deadline-ms";
const NOT_RUN: &str = "x-not-run";
const DRAINING: &str = "x-draining";
/// Path whose reply carries the leaf's mark and nothing else.
const PROBE_PATH: &str = "/v1/shards";
/// Deadline of a request that names none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(60);
/// Time for which a frozen reply keeps its connection open.
const FREEZE_TIME: Duration = Duration::from_secs(3600);

/// The listener and connections of one leaf.
#[derive(Clone)]
pub struct LeafServer {
    leaf: Rc<Emulator>,
    process: Vec<Rc<Emulator>>,
    delays: Rc<Delays>,
}

impl LeafServer {
    /// A server of `leaf`, which shares its process with the leaves of `process`.
    pub fn new(leaf: Rc<Emulator>, process: Vec<Rc<Emulator>>, delays: Rc<Delays>) -> Self {
        Self { leaf, process, delays }
    }

    /// Accepts connections for ever.
    pub async fn serve(self, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    monoio::spawn(self.clone().converse(stream));
                }
                Err(error) => {
                    warn!(event = "accept_failed", leaf = self.leaf.id(), %error);
                    // Mostly a lack of descriptors, which only time mends.
                    sleep(Duration::from_millis(10)).await;
                }
            }
        }
    }

    async fn converse(self, stream: TcpStream) {
        if !self.leaf.connection_opened() {
            return;
        }
        // The peer may go at any time; there is nobody to tell.
        let _ = self.answer_requests(stream).await;
        self.leaf.connection_closed();
    }

    async fn answer_requests(&self, stream: TcpStream) -> Result<(), TransportError> {
        let mut connection = ServerConnection::new(stream, Limits::default());
        while let Some(request) = connection.next_request().await? {
            let Some(response) = self.answer(request).await else {
                return Ok(());
            };
            connection.respond(response).await?;
        }
        Ok(())
    }

    /// The response, or none when the connection is to close without one.
    async fn answer(&self, request: HttpRequest) -> Option<HttpResponse> {
        let path = request.uri().path().to_owned();
        if let Some(cancelled) = path.strip_prefix("/v1/requests/") {
            return Some(self.cancel(&request, cancelled).await);
        }
        match path.as_str() {
            "/health" | "/load" => Some(json(&self.leaf.health())),
            "/counters" => Some(json(&self.counters())),
            PROBE_PATH => Some(self.mark(status(StatusCode::OK))),
            "/admin" => Some(self.administer(&request)),
            _ => match read_search(&request) {
                Some(search) => self.search(search).await,
                None => Some(status(StatusCode::BAD_REQUEST)),
            },
        }
    }

    async fn cancel(&self, request: &HttpRequest, cancelled: &str) -> HttpResponse {
        if request.method() != Method::DELETE {
            return status(StatusCode::METHOD_NOT_ALLOWED);
        }
        sleep(self.delays.of_request(cancelled)).await;
        let found = self.leaf.cancel(cancelled);
        status(if found { StatusCode::OK } else { StatusCode::NOT_FOUND })
    }

    fn administer(&self, request: &HttpRequest) -> HttpResponse {
        let Ok(command) = serde_json::from_slice::<AdminCommand>(request.body()) else {
            return status(StatusCode::BAD_REQUEST);
        };
        let chosen = |leaf: &&Rc<Emulator>| command.leaf.is_none_or(|id| id == leaf.id());
        self.process.iter().filter(chosen).for_each(|leaf| leaf.apply(&command));
        status(StatusCode::OK)
    }

    fn counters(&self) -> LeafCounters {
        LeafCounters { started: self.process.iter().map(|leaf| leaf.started()).sum() }
    }

    /// Adds to a response what the leaf says of itself.
    fn mark(&self, mut response: HttpResponse) -> HttpResponse {
        let draining = if self.leaf.draining() { "1" } else { "0" };
        response.headers_mut().insert(DRAINING, HeaderValue::from_static(draining));
        response
    }

    async fn search(&self, search: SearchRequest) -> Option<HttpResponse> {
        let arrived = Instant::now();
        let delay = self.delays.of_request(&search.request);
        sleep(delay).await;
        let outcome = self.leaf.search(&search).await;
        let mut response = self.mark(reply(&search, outcome, arrived.elapsed() + delay));
        if outcome == SearchOutcome::Finished
            && let Some(fault) = self.leaf.next_reply_fault()
        {
            response = disturb(response, &search, &fault).await?;
        }
        sleep(delay).await;
        Some(response)
    }
}

fn reply(search: &SearchRequest, outcome: SearchOutcome, elapsed: Duration) -> HttpResponse {
    let mut response = match outcome {
        SearchOutcome::Finished => {
            let query = search.query.clone();
            let body = LeafBody::new(query, search.shard, search.epoch, search.version);
            HttpResponse::new(Bytes::from(body.with_elapsed(elapsed).to_text()))
        }
        SearchOutcome::Stopped => status(StatusCode::INTERNAL_SERVER_ERROR),
        SearchOutcome::NotRun(reason) => {
            let mut response = status(StatusCode::SERVICE_UNAVAILABLE);
            response.headers_mut().insert(NOT_RUN, HeaderValue::from_static(reason));
            response
        }
    };
    let headers = response.headers_mut();
    if let Ok(request) = HeaderValue::try_from(&search.request) {
        headers.insert(REQUEST_ID, request);
    }
    headers.insert(INDEX_VERSION, HeaderValue::from(search.version));
    headers.insert(PARTITION_EPOCH, HeaderValue::from(search.epoch));
    response
}

/// The disturbed response, or none when the connection is to close without one.
async fn disturb(
    mut response: HttpResponse,
    search: &SearchRequest,
    fault: &ReplyFault,
) -> Option<HttpResponse> {
    match fault.kind {
        ReplyFaultKind::None => {}
        ReplyFaultKind::OtherVersion => {
            let version = search.version + 1;
            response.headers_mut().insert(INDEX_VERSION, HeaderValue::from(version));
            let body = LeafBody::new(search.query.clone(), search.shard, search.epoch, version);
            *response.body_mut() = Bytes::from(body.to_text());
        }
        ReplyFaultKind::OtherRequest => {
            response.headers_mut().insert(REQUEST_ID, HeaderValue::from_static("other-0-0-0-0"));
            let query = "another-query".to_owned();
            let body = LeafBody::new(query, search.shard, search.epoch, search.version);
            *response.body_mut() = Bytes::from(body.to_text());
        }
        ReplyFaultKind::Garbage => {
            response.headers_mut().insert(INDEX_VERSION, HeaderValue::from_static("x"));
            *response.body_mut() = Bytes::from_static(&[0xff, 0xfe, 0x00]);
        }
        ReplyFaultKind::Late => sleep(Duration::from_millis(fault.late_ms)).await,
        ReplyFaultKind::Freeze => sleep(FREEZE_TIME).await,
        ReplyFaultKind::Cut => return None,
        ReplyFaultKind::Error => *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR,
    }
    Some(response)
}

fn read_search(request: &HttpRequest) -> Option<SearchRequest> {
    let path = request.uri().path();
    let shard = path.strip_prefix("/v1/shards/")?.strip_suffix("/search")?.parse().ok()?;
    let headers = request.headers();
    let time_left = number(headers, DEADLINE).map_or(DEFAULT_DEADLINE, Duration::from_millis);
    let body: QueryBody = serde_json::from_slice(request.body()).unwrap_or_default();
    Some(SearchRequest {
        request: text(headers, REQUEST_ID)?.to_owned(),
        query: body.query,
        shard,
        version: number(headers, INDEX_VERSION)?,
        epoch: number(headers, PARTITION_EPOCH)?,
        deadline: Instant::now() + time_left,
    })
}

fn text<'head>(headers: &'head HeaderMap, name: &str) -> Option<&'head str> {
    headers.get(name)?.to_str().ok()
}

fn number(headers: &HeaderMap, name: &str) -> Option<u64> {
    text(headers, name)?.parse().ok()
}

fn status(status: StatusCode) -> HttpResponse {
    let mut response = HttpResponse::new(Bytes::new());
    *response.status_mut() = status;
    response
}

fn json(document: &impl Serialize) -> HttpResponse {
    let body = serde_json::to_vec(document).expect("documents have string keys only");
    HttpResponse::new(Bytes::from(body))
}
