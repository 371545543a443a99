//! HTTP server for callers.

use std::cell::{Cell, OnceCell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use gingerkeel_domain::forwarding::PlannedStop;
use gingerkeel_domain::memory::Activity;
use gingerkeel_domain::routes::CallerLimits;
use gingerkeel_domain::time::Timestamp;
use gingerkeel_transport::http1::{
    BodyDecoder, BodyFraming, HeadError, HttpReader, ReadError, RequestHead, request_framing,
};
use gingerkeel_transport::{
    CollectedBody, ConnectionMemory, Latch, MemoryCharge, MemoryShare, MemoryShortage, accept_until,
};
use monoio::buf::IoBuf;
use monoio::io::{AsyncWriteRent, AsyncWriteRentExt, OwnedWriteHalf, Splitable};
use monoio::net::{TcpListener, TcpStream};
use monoio::time::{sleep, timeout};
use tracing::info;

use super::attempt::{ForwardedRequest, LeafReply};
use super::record::RequestRecord;
use super::respond::{Delivery, Refusal, RelayFraming, relayed_head};
use super::serving::{RefusedByHead, Served, refusal_by_head, refuse_unread, serve};
use super::state::RouteState;
use super::trail::Trail;

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
/// Length up to which a piece of an answer is copied behind what precedes it, in bytes. A longer
/// one is written on its own.
const COPIED_BYTES: usize = 4 * 1024;
/// Length up to which the body of a request that its head refuses is read, in bytes.
const SHORT_BODY_BYTES: u64 = 4 * 1024;
/// How often a request takes the length of its head in memory: parsed, as forwarded, and as it is
/// written to leaves.
const HEAD_COPIES: usize = 4;
/// Length of a head that the fixed charge of a connection covers, in bytes.
const SMALL_HEAD_BYTES: usize = 1024;

/// Accepts connections of callers.
pub struct CallerServer {
    state: Rc<RouteState>,
    stop: Latch,
    memory: ConnectionMemory,
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
    pub fn new(state: Rc<RouteState>, stop: Latch, memory: ConnectionMemory) -> Self {
        Self { state, stop, memory, open: Rc::default() }
    }

    /// Counter of open connections.
    pub fn open_connections(&self) -> Rc<Cell<usize>> {
        self.open.clone()
    }

    /// Accepts connections until `closing` is set, then closes the listener.
    pub async fn run(self, listener: TcpListener, closing: Latch) {
        accept_until(listener, "routes", closing.wait(), |stream| {
            // Without room the connection is closed unread.
            if let Some(share) = self.memory.open() {
                monoio::spawn(CallerConnection::new(stream, &self, share).run());
            }
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
    memory: Rc<MemoryShare>,
    reader: HttpReader,
    writer: OwnedWriteHalf<TcpStream>,
    /// Whether the request that was read last asks for the head alone.
    head_only: bool,
    /// Whether the connection was made after a planned stop had begun.
    opened_during_stop: bool,
    _count: OpenCount,
}

impl CallerConnection {
    fn new(stream: TcpStream, server: &CallerServer, memory: Rc<MemoryShare>) -> Self {
        // Latency is measured in milliseconds here; a socket without the option still works.
        let _ = stream.set_nodelay(true);
        let (read_half, writer) = stream.into_split();
        Self {
            state: server.state.clone(),
            stop: server.stop.clone(),
            reader: HttpReader::accounted(read_half, &memory),
            memory,
            writer,
            head_only: false,
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
        let memory = self.memory.clone();
        memory.set_activity(Activity::Receiving);
        let request = monoio::select! {
            biased;
            received = self.receive() => received?,
            // Nothing of the request has run.
            () = memory.evicted() => return Err(ConnectionEnd::Refused(Refusal::OutOfMemory)),
        };
        memory.set_activity(Activity::Serving);
        let keep_alive = request.head.keeps_alive() && !self.state.is_stopping();
        let (served, record) = self.serve_while_connected(request).await?;
        let keep_alive = keep_alive && !self.state.is_stopping();
        memory.set_activity(Activity::Sending);
        self.answer(served, keep_alive).await?;
        if let Some(record) = record {
            record.delivered();
        }
        memory.set_activity(Activity::Idle);
        if keep_alive { Ok(()) } else { Err(ConnectionEnd::Closed) }
    }

    /// Receives a whole request, unless its head says that it will be refused.
    async fn receive(&mut self) -> Result<ForwardedRequest, ConnectionEnd> {
        let received = Instant::now();
        let limits = self.limits();
        self.head_only = false;
        let time = Duration::from_millis(limits.head_time_ms.into());
        let head = match timeout(time, self.reader.request_head(limits.head_bytes as usize)).await {
            Err(_) => return Err(ConnectionEnd::Refused(Refusal::Slow)),
            Ok(Ok(Some(head))) => head,
            Ok(Ok(None)) => return Err(ConnectionEnd::Closed),
            Ok(Err(error)) => return Err(connection_end(&error)),
        };
        self.head_only = head.method == "HEAD";
        let mut charge = MemoryCharge::none(&self.memory);
        let copies = HEAD_COPIES * head.headers.text_len().saturating_sub(SMALL_HEAD_BYTES);
        charge.raise_to(copies).await.map_err(out_of_memory)?;
        if let Some(refused) = self.refusal_unread(&head) {
            let request = self.build_request(head, ReceivedBody::default(), charge, received);
            // The connection is closed, since the body would be parsed as the next request.
            return Err(ConnectionEnd::Refused(refuse_unread(&self.state, request, refused)));
        }
        let body = self.read_body(&head, limits).await?;
        Ok(self.build_request(head, body, charge, received))
    }

    /// The refusal of a request by its head, if its body stays unread: a short one is read, so that
    /// the connection can be kept, unless its sender is not authorized. Invalid framing is refused
    /// when the body is read.
    fn refusal_unread(&self, head: &RequestHead) -> Option<RefusedByHead> {
        let framing = request_framing(&head.headers).ok()?;
        if framing == BodyFraming::None {
            return None;
        }
        let refused = refusal_by_head(&self.state, head)?;
        let is_authorized = refused.refusal != Refusal::Unauthorized;
        let is_short = framing.is_at_most(SHORT_BODY_BYTES);
        (!is_authorized || !is_short).then_some(refused)
    }

    /// Waits for the first byte of a request. A planned stop ends the wait: early for connections
    /// that were opened before it, at its end for newer ones.
    async fn wait_for_request(&mut self) -> Result<(), ConnectionEnd> {
        if !self.reader.is_empty() {
            return Ok(());
        }
        self.reader.release_buffer();
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
            () = self.memory.evicted() => Err(ConnectionEnd::Closed),
            _ = sleep(idle) => Err(ConnectionEnd::Closed),
            _ = stop_phase_reached(&self.state, &self.stop, until) => Err(ConnectionEnd::Closed),
        }
    }

    async fn read_body(
        &mut self,
        head: &RequestHead,
        limits: CallerLimits,
    ) -> Result<ReceivedBody, ConnectionEnd> {
        let framing = request_framing(&head.headers);
        let framing = framing.map_err(|_| ConnectionEnd::Refused(Refusal::Malformed))?;
        let limit = u64::from(limits.body_bytes);
        let most = match framing {
            BodyFraming::None => return Ok(ReceivedBody::default()),
            BodyFraming::Length(length) if length > limit => {
                return Err(ConnectionEnd::Refused(Refusal::BodyTooLarge));
            }
            BodyFraming::Length(length) if !self.memory.could_charge(length) => {
                return Err(ConnectionEnd::Refused(Refusal::OutOfMemory));
            }
            BodyFraming::Length(length) => length,
            BodyFraming::Chunked | BodyFraming::UntilClose => limit,
        };
        if head.headers.contains_token("expect", "100-continue") {
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n".to_vec()).await?;
        }
        let mut decoder = BodyDecoder::new(framing);
        let time = Duration::from_millis(limits.idle_time_ms.into());
        let body = CollectedBody::new(Some(&self.memory), most as usize);
        let reading = collect(&mut self.reader, &mut decoder, body, limit);
        timeout(time, reading).await.unwrap_or(Err(ConnectionEnd::Refused(Refusal::Slow)))
    }

    fn build_request(
        &self,
        head: RequestHead,
        body: ReceivedBody,
        head_charge: MemoryCharge,
        received: Instant,
    ) -> ForwardedRequest {
        let dialect = &self.state.dialect;
        let stated = head.headers.text(dialect.deadline).and_then(|text| text.trim().parse().ok());
        let time = stated.map_or(DEFAULT_DEADLINE, Duration::from_millis);
        let deadline = received + time.min(DEFAULT_DEADLINE * 10);
        let id = head.headers.get(dialect.request_id).unwrap_or_default().to_vec();
        ForwardedRequest {
            head,
            body: body.bytes,
            memory: self.memory.clone(),
            _charges: (head_charge, body.charge),
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
        // Boxed, so that idle connections do not take the memory of a request.
        let mut serving = Box::pin(serve(&state, request));
        let mut ending = std::pin::pin!(stop_phase_reached(&state, &stop, PlannedStop::answers_by));
        let mut has_room = true;
        loop {
            if self.reader.buffered() > READ_AHEAD_BYTES || !has_room {
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
                read = read_ahead(&mut self.reader) => match read {
                    Ok(count) if count > 0 => {}
                    Err(ReadError::Memory(_)) => has_room = false,
                    _ => return Err(ConnectionEnd::Closed),
                },
            }
        }
    }

    async fn answer(&mut self, served: Served, keep_alive: bool) -> Result<(), ConnectionEnd> {
        match served {
            Served::Merged(answer) => {
                let bytes = answer.to_bytes(&self.state.dialect, self.delivery(keep_alive));
                self.write(bytes).await
            }
            Served::Refused(refusal) => self.refuse(refusal, keep_alive).await,
            Served::Relayed(reply) => self.relay(*reply, keep_alive).await,
        }
    }

    /// Relays a reply. If the leaf's reply is cut short or does not end by the deadline, the
    /// connection is closed so that the caller sees a truncated reply.
    async fn relay(&mut self, reply: LeafReply, keep_alive: bool) -> Result<(), ConnectionEnd> {
        let (bytes, framing) = relayed_head(&reply, keep_alive);
        self.write_piece(bytes, reply.body, framing).await?;
        // The leaf's first bytes are with the caller now.
        drop(reply.charge);
        let Some(mut rest) = reply.rest else {
            return Ok(());
        };
        loop {
            match rest.next().await {
                Ok(Some(piece)) => self.write_piece(Vec::new(), piece, framing).await?,
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

    fn delivery(&self, keep_alive: bool) -> Delivery {
        Delivery { keep_alive, head_only: self.head_only }
    }

    async fn refuse(&mut self, refusal: Refusal, keep_alive: bool) -> Result<(), ConnectionEnd> {
        let bytes = refusal.to_bytes(&self.state.dialect, self.delivery(keep_alive));
        self.write(bytes).await
    }

    /// Writes `before` and a piece of a relayed body.
    async fn write_piece(
        &mut self,
        mut before: Vec<u8>,
        piece: Bytes,
        framing: RelayFraming,
    ) -> Result<(), ConnectionEnd> {
        if framing == RelayFraming::None || piece.is_empty() {
            return self.write(before).await;
        }
        let is_chunk = framing == RelayFraming::Chunked;
        if is_chunk {
            before.extend_from_slice(format!("{:x}\r\n", piece.len()).as_bytes());
        }
        let mut after = Vec::new();
        if piece.len() > COPIED_BYTES {
            self.write(before).await?;
            self.write(piece).await?;
        } else {
            before.extend_from_slice(&piece);
            after = before;
        }
        if is_chunk {
            after.extend_from_slice(b"\r\n");
        }
        self.write(after).await
    }

    async fn write<B: IoBuf + 'static>(&mut self, bytes: B) -> Result<(), ConnectionEnd> {
        if bytes.bytes_init() == 0 {
            return Ok(());
        }
        monoio::select! {
            biased;
            written = timeout(WRITE_TIMEOUT, self.writer.write_all(bytes)) => match written {
                Ok((Ok(_), _)) => Ok(()),
                _ => Err(ConnectionEnd::Closed),
            },
            () = self.memory.evicted() => Err(ConnectionEnd::Closed),
        }
    }
}

/// A whole body, with its charge.
#[derive(Default)]
struct ReceivedBody {
    bytes: Bytes,
    charge: Option<MemoryCharge>,
}

/// Reads bytes of the next request while one is served. Cancel-safe.
async fn read_ahead(reader: &mut HttpReader) -> Result<usize, ReadError> {
    reader.charge_read().await?;
    Ok(reader.fill().await?)
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
    mut body: CollectedBody,
    limit: u64,
) -> Result<ReceivedBody, ConnectionEnd> {
    loop {
        match reader.body_piece(decoder).await {
            Ok(Some(piece)) if (body.len() + piece.len()) as u64 > limit => {
                return Err(ConnectionEnd::Refused(Refusal::BodyTooLarge));
            }
            Ok(Some(piece)) => body.push(&piece).await.map_err(out_of_memory)?,
            Ok(None) => {
                let (bytes, charge) = body.finish();
                return Ok(ReceivedBody { bytes, charge });
            }
            Err(error) => return Err(connection_end(&error)),
        }
    }
}

fn out_of_memory(_: MemoryShortage) -> ConnectionEnd {
    ConnectionEnd::Refused(Refusal::OutOfMemory)
}

fn connection_end(error: &ReadError) -> ConnectionEnd {
    match error {
        ReadError::Head(HeadError::TooLarge(_)) => ConnectionEnd::Refused(Refusal::HeadTooLarge),
        ReadError::Head(_) => ConnectionEnd::Refused(Refusal::Malformed),
        ReadError::TimedOut => ConnectionEnd::Refused(Refusal::Slow),
        ReadError::Memory(_) => ConnectionEnd::Refused(Refusal::OutOfMemory),
        ReadError::Socket(_) | ReadError::ConnectionClosed => ConnectionEnd::Closed,
    }
}
