//! HTTP server for callers.

use std::cell::{Cell, OnceCell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use gingerkeel_domain::forwarding::PlannedStop;
use gingerkeel_domain::routes::CallerLimits;
use gingerkeel_domain::time::Timestamp;
use gingerkeel_transport::accept_until;
use gingerkeel_transport::http1::{
    BodyDecoder, BodyFraming, HeadError, HttpReader, ReadError, RequestHead, request_framing,
};
use monoio::io::{AsyncWriteRent, AsyncWriteRentExt, OwnedWriteHalf, Splitable};
use monoio::net::{TcpListener, TcpStream};
use monoio::time::{sleep, timeout};
use tracing::info;

use super::attempt::{ForwardedRequest, LeafReply};
use super::record::RequestRecord;
use super::respond::{Refusal, RelayFraming, relayed_head};
use super::serving::{Served, lacks_key, refuse_unread, serve};
use super::state::RouteState;
use super::trail::Trail;
use crate::latch::Latch;

/// Deadline of a request whose caller states none and whose route is unknown.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);
/// Bytes that are read and discarded after a refusal, so that the refusal reaches the caller.
const DISCARD_BYTES: usize = 1024 * 1024;
/// Timeout of discarding.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);
/// Bytes of pipelined requests that are read ahead while one is served.
const READ_AHEAD_BYTES: usize = 32 * 1024;
/// Timeout of writing a piece of an answer.
const WRITE_TIMEOUT: Duration = Duration::from_secs(15);

/// Accepts connections of callers.
pub struct CallerServer {
    state: Rc<RouteState>,
    stop: Latch,
    open: Rc<Cell<usize>>,
}

/// Why a connection ends.
enum ConnectionEnd {
    /// Closed after an answer was written, or without one.
    Closed,
    /// Closed after this refusal.
    Refused(Refusal),
}

impl CallerServer {
    /// Creates a server without connections.
    pub fn new(state: Rc<RouteState>, stop: Latch) -> Self {
        Self { state, stop, open: Rc::default() }
    }

    /// Counter of open connections.
    pub fn open_connections(&self) -> Rc<Cell<usize>> {
        self.open.clone()
    }

    /// Accepts connections until `closing` is set, then closes the listener.
    pub async fn run(self, listener: TcpListener, closing: Latch) {
        accept_until(listener, "routes", closing.wait(), |stream| {
            monoio::spawn(CallerConnection::new(stream, &self).run());
        })
        .await;
    }
}

/// Counts a connection as open until dropped.
struct OpenCount(Rc<Cell<usize>>);

impl OpenCount {
    fn new(open: &Rc<Cell<usize>>) -> Self {
        open.set(open.get() + 1);
        Self(open.clone())
    }
}

impl Drop for OpenCount {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

struct CallerConnection {
    state: Rc<RouteState>,
    stop: Latch,
    reader: HttpReader,
    writer: OwnedWriteHalf<TcpStream>,
    /// Whether the connection was made after a planned stop had begun.
    opened_during_stop: bool,
    _count: OpenCount,
}

impl CallerConnection {
    fn new(stream: TcpStream, server: &CallerServer) -> Self {
        // Latency is measured in milliseconds here; a socket without the option still works.
        let _ = stream.set_nodelay(true);
        let (read_half, writer) = stream.into_split();
        Self {
            state: server.state.clone(),
            stop: server.stop.clone(),
            reader: HttpReader::new(read_half),
            writer,
            opened_during_stop: server.state.is_stopping(),
            _count: OpenCount::new(&server.open),
        }
    }

    async fn run(mut self) {
        loop {
            match self.serve_one().await {
                Ok(()) => {}
                Err(ConnectionEnd::Closed) => break,
                Err(ConnectionEnd::Refused(refusal)) => {
                    let written = self.refuse(refusal, false).await;
                    // The caller may be gone.
                    let _ = self.writer.shutdown().await;
                    if written.is_ok() {
                        let _ = timeout(DISCARD_TIMEOUT, self.reader.discard(DISCARD_BYTES)).await;
                    }
                    return;
                }
            }
        }
        // The caller may have disconnected.
        let _ = self.writer.shutdown().await;
    }

    fn limits(&self) -> CallerLimits {
        self.state.table().map(|table| table.limits()).unwrap_or_default()
    }

    async fn serve_one(&mut self) -> Result<(), ConnectionEnd> {
        self.wait_for_request().await?;
        let received = Instant::now();
        let limits = self.limits();
        let time = Duration::from_millis(limits.head_time_ms.into());
        let head = match timeout(time, self.reader.request_head(limits.head_bytes as usize)).await {
            Err(_) => return Err(ConnectionEnd::Refused(Refusal::Slow)),
            Ok(Ok(Some(head))) => head,
            Ok(Ok(None)) => return Err(ConnectionEnd::Closed),
            Ok(Err(error)) => return Err(connection_end(&error)),
        };
        if has_body(&head) && lacks_key(&self.state, &head) {
            return Err(self.refuse_unread(head, received));
        }
        let body = self.read_body(&head, limits).await?;
        let keep_alive = head.keeps_alive() && !self.state.is_stopping();
        let request = self.build_request(head, body, received);
        let (served, record) = self.serve_while_connected(request).await?;
        let keep_alive = keep_alive && !self.state.is_stopping();
        self.answer(served, keep_alive).await?;
        if let Some(record) = record {
            record.delivered();
        }
        if keep_alive { Ok(()) } else { Err(ConnectionEnd::Closed) }
    }

    /// Refuses a request without reading its body. The connection is closed, since the body would
    /// be parsed as the next request.
    fn refuse_unread(&self, head: RequestHead, received: Instant) -> ConnectionEnd {
        let request = self.build_request(head, Bytes::new(), received);
        ConnectionEnd::Refused(refuse_unread(&self.state, request))
    }

    /// Waits for the first byte of a request. A planned stop ends the wait: early for connections
    /// that were opened before it, at its end for newer ones.
    async fn wait_for_request(&mut self) -> Result<(), ConnectionEnd> {
        if !self.reader.is_empty() {
            return Ok(());
        }
        let idle = Duration::from_millis(self.limits().idle_time_ms.into());
        let until = match self.opened_during_stop {
            true => PlannedStop::ends_by,
            false => PlannedStop::idle_until,
        };
        monoio::select! {
            biased;
            count = self.reader.fill() => match count {
                Ok(count) if count > 0 => Ok(()),
                _ => Err(ConnectionEnd::Closed),
            },
            _ = sleep(idle) => Err(ConnectionEnd::Closed),
            _ = stop_phase_reached(&self.state, &self.stop, until) => Err(ConnectionEnd::Closed),
        }
    }

    async fn read_body(
        &mut self,
        head: &RequestHead,
        limits: CallerLimits,
    ) -> Result<Bytes, ConnectionEnd> {
        let framing = request_framing(&head.headers);
        let framing = framing.map_err(|_| ConnectionEnd::Refused(Refusal::Malformed))?;
        let limit = u64::from(limits.body_bytes);
        match framing {
            BodyFraming::None => return Ok(Bytes::new()),
            BodyFraming::Length(length) if length > limit => {
                return Err(ConnectionEnd::Refused(Refusal::BodyTooLarge));
            }
            _ => {}
        }
        if head.headers.contains_token("expect", "100-continue") {
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n".to_vec()).await?;
        }
        let mut decoder = BodyDecoder::new(framing);
        let time = Duration::from_millis(limits.idle_time_ms.into());
        let reading = collect(&mut self.reader, &mut decoder, limit);
        timeout(time, reading).await.unwrap_or(Err(ConnectionEnd::Refused(Refusal::Slow)))
    }

    fn build_request(&self, head: RequestHead, body: Bytes, received: Instant) -> ForwardedRequest {
        let dialect = &self.state.dialect;
        let stated = head.headers.text(dialect.deadline).and_then(|text| text.trim().parse().ok());
        let time = stated.map_or(DEFAULT_DEADLINE, Duration::from_millis);
        let deadline = received + time.min(DEFAULT_DEADLINE * 10);
        let id = head.headers.get(dialect.request_id).unwrap_or_default().to_vec();
        ForwardedRequest {
            head,
            body,
            tenant: None,
            forwarded_head: Vec::new(),
            id,
            received,
            deadline,
            trail: Trail::new(received),
            evidence: Cell::default(),
            rejected_on: RefCell::default(),
            digest: OnceCell::new(),
        }
    }

    /// Serves a request; cancels it if the caller disconnects or a planned stop is about to end.
    async fn serve_while_connected(
        &mut self,
        request: ForwardedRequest,
    ) -> Result<(Served, Option<RequestRecord>), ConnectionEnd> {
        let (state, stop) = (self.state.clone(), self.stop.clone());
        let mut serving = std::pin::pin!(serve(&state, request));
        let mut ending = std::pin::pin!(stop_phase_reached(&state, &stop, PlannedStop::answers_by));
        loop {
            if self.reader.buffered() > READ_AHEAD_BYTES {
                return monoio::select! {
                    biased;
                    (served, record) = &mut serving => Ok((served, Some(record))),
                    () = &mut ending => Ok((Served::Refused(Refusal::TimedOut), None)),
                };
            }
            monoio::select! {
                biased;
                (served, record) = &mut serving => return Ok((served, Some(record))),
                () = &mut ending => return Ok((Served::Refused(Refusal::TimedOut), None)),
                count = self.reader.fill() => match count {
                    Ok(count) if count > 0 => {}
                    _ => return Err(ConnectionEnd::Closed),
                },
            }
        }
    }

    async fn answer(&mut self, served: Served, keep_alive: bool) -> Result<(), ConnectionEnd> {
        match served {
            Served::Merged(answer) => {
                let bytes = answer.to_bytes(&self.state.dialect, keep_alive);
                self.write(bytes).await
            }
            Served::Refused(refusal) => self.refuse(refusal, keep_alive).await,
            Served::Relayed(reply) => self.relay(*reply, keep_alive).await,
        }
    }

    /// Relays a reply. If the leaf's reply is cut short or does not end by the deadline, the
    /// connection is closed so that the caller sees a truncated reply.
    async fn relay(&mut self, reply: LeafReply, keep_alive: bool) -> Result<(), ConnectionEnd> {
        let (mut bytes, framing) = relayed_head(&reply, keep_alive);
        add_piece(&mut bytes, &reply.body, framing);
        self.write(bytes).await?;
        let Some(mut rest) = reply.rest else {
            return Ok(());
        };
        loop {
            match rest.next().await {
                Ok(Some(piece)) => {
                    let mut bytes = Vec::with_capacity(piece.len() + 16);
                    add_piece(&mut bytes, &piece, framing);
                    self.write(bytes).await?;
                }
                Ok(None) if framing == RelayFraming::Chunked => {
                    return self.write(b"0\r\n\r\n".to_vec()).await;
                }
                Ok(None) => return Ok(()),
                Err(error) => {
                    info!(event = "reply_cut_short", leaf = %reply.leaf, %error);
                    return Err(ConnectionEnd::Closed);
                }
            }
        }
    }

    async fn refuse(&mut self, refusal: Refusal, keep_alive: bool) -> Result<(), ConnectionEnd> {
        let bytes = refusal.to_bytes(&self.state.dialect, keep_alive);
        self.write(bytes).await
    }

    async fn write(&mut self, bytes: Vec<u8>) -> Result<(), ConnectionEnd> {
        match timeout(WRITE_TIMEOUT, self.writer.write_all(bytes)).await {
            Ok((Ok(_), _)) => Ok(()),
            _ => Err(ConnectionEnd::Closed),
        }
    }
}

/// Whether a body follows the head. Invalid framing counts as none here and is refused when the
/// body is read.
fn has_body(head: &RequestHead) -> bool {
    request_framing(&head.headers).is_ok_and(|framing| framing != BodyFraming::None)
}

/// Completes once a planned stop has reached the given phase.
async fn stop_phase_reached(
    state: &RouteState,
    stop: &Latch,
    moment: impl Fn(&PlannedStop) -> Timestamp,
) {
    stop.wait().await;
    // The signal may come before the stop has begun.
    let due = moment(&state.stop());
    sleep(state.clock.until(due)).await;
}

async fn collect(
    reader: &mut HttpReader,
    decoder: &mut BodyDecoder,
    limit: u64,
) -> Result<Bytes, ConnectionEnd> {
    let mut body = BytesMut::new();
    loop {
        match reader.body_piece(decoder).await {
            Ok(Some(piece)) => body.extend_from_slice(&piece),
            Ok(None) => return Ok(body.freeze()),
            Err(error) => return Err(connection_end(&error)),
        }
        if body.len() as u64 > limit {
            return Err(ConnectionEnd::Refused(Refusal::BodyTooLarge));
        }
    }
}

fn connection_end(error: &ReadError) -> ConnectionEnd {
    match error {
        ReadError::Head(HeadError::TooLarge(_)) => ConnectionEnd::Refused(Refusal::HeadTooLarge),
        ReadError::Head(_) => ConnectionEnd::Refused(Refusal::Malformed),
        ReadError::TimedOut => ConnectionEnd::Refused(Refusal::Slow),
        ReadError::Socket(_) | ReadError::ConnectionClosed => ConnectionEnd::Closed,
    }
}

fn add_piece(bytes: &mut Vec<u8>, piece: &[u8], framing: RelayFraming) {
    match framing {
        RelayFraming::None => {}
        RelayFraming::Chunked if piece.is_empty() => {}
        RelayFraming::Chunked => {
            bytes.extend_from_slice(format!("{:x}\r\n", piece.len()).as_bytes());
            bytes.extend_from_slice(piece);
            bytes.extend_from_slice(b"\r\n");
        }
        RelayFraming::Whole | RelayFraming::Length(_) => bytes.extend_from_slice(piece),
    }
}
