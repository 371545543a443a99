//! A single attempt: sends a request to one leaf and reads its reply.

use std::cell::{Cell, OnceCell, RefCell};
use std::io::ErrorKind;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use gingerkeel_domain::crash_suspects::RequestDigest;
use gingerkeel_domain::directory::ListedLeaf;
use gingerkeel_domain::forwarding::{AttemptError, ExecutionEvidence, Outcome};
use gingerkeel_domain::identifiers::{LeafIdentity, ServiceName};
use gingerkeel_domain::routes::{Route, Tenant};
use gingerkeel_transport::http1::{
    BodyDecoder, BodyFraming, HttpReader, ReadError, RequestHead, ResponseHead, response_framing,
};
use gingerkeel_transport::{CollectedBody, MemoryCharge, MemoryShare};

use http::StatusCode;
use monoio::time::timeout;

use super::authentication::{AUTHORIZATION, CallerIdentity};
use super::crash_watch::request_digest;
use super::dialect::Dialect;
use super::pool::{ConnectionNumber, LeafConnection};
use super::state::RouteState;
use super::trail::Trail;

/// Maximum size of a reply head, in bytes.
const HEAD_LIMIT: usize = 32 * 1024;
/// Size up to which a reply body is buffered, in bytes; a longer one is streamed.
const BUFFERED_REPLY_BYTES: usize = 64 * 1024;
/// Length up to which a body is copied behind the head of a request to a leaf, in bytes.
const COPIED_BODY_BYTES: usize = 4 * 1024;
/// Maximum length of a buffered body with the piece that exceeds [`BUFFERED_REPLY_BYTES`], in bytes.
const REPLY_CAPACITY: usize = 2 * BUFFERED_REPLY_BYTES;
/// Initial capacity for a forwarded head, in bytes.
const FORWARDED_HEAD_BYTES: usize = 256;
/// Extra capacity for the fields that differ per leaf and for the end of the head, in bytes.
const OWN_FIELD_BYTES: usize = 128;
/// Longest keep-alive timeout of a leaf that is used; a longer one would overflow an instant.
const MAX_KEEP_ALIVE: Duration = Duration::from_secs(3_600);
/// Maximum number of late replies to other requests that are skipped on a connection.
const MAX_STALE_REPLIES: usize = 2;

/// A caller's request as it is forwarded to leaves.
pub struct ForwardedRequest {
    /// HTTP head.
    pub head: RequestHead,
    /// Complete body.
    pub body: Bytes,
    /// What the caller's connection holds.
    pub memory: Rc<MemoryShare>,
    /// Charges for the head and the body.
    pub _charges: (MemoryCharge, Option<MemoryCharge>),
    /// The tenant that sent the request, if known.
    pub tenant: Option<Arc<Tenant>>,
    /// The head as forwarded, without the fields that differ per leaf and without its end; empty
    /// until the caller is authenticated.
    pub forwarded_head: Vec<u8>,
    /// Request id, as the caller sent it.
    pub id: Vec<u8>,
    /// When the request was received.
    pub received: Instant,
    /// When the request has to be answered.
    pub deadline: Instant,
    /// Attempts and decisions so far.
    pub trail: Trail,
    /// Evidence of all attempts on whether the request has run.
    pub evidence: Cell<ExecutionEvidence>,
    /// Connections on which a leaf has rejected the request. A leaf may repeat a reply late; on
    /// these it would be taken for the reply to a second sending of the same id.
    pub rejected_on: RefCell<Vec<ConnectionNumber>>,
    /// Cache of [`Self::digest()`].
    pub digest: OnceCell<RequestDigest>,
}

impl ForwardedRequest {
    fn update_evidence(&self, change: impl FnOnce(&mut ExecutionEvidence)) {
        let mut evidence = self.evidence.get();
        change(&mut evidence);
        self.evidence.set(evidence);
    }

    /// Digest that is equal in all retries of the request.
    pub fn digest(&self) -> RequestDigest {
        let host = self.head.headers.text("host").unwrap_or_default();
        let (method, target) = (&self.head.method, &self.head.target);
        *self.digest.get_or_init(|| request_digest(method, host, target, &self.body))
    }

    /// Sets the authenticated caller and encodes the head to forward.
    pub fn identify(&mut self, dialect: &Dialect, caller: &CallerIdentity) {
        self.tenant = caller.tenant().cloned();
        self.forwarded_head = forwarded_head(dialect, &self.head, &self.body, caller);
    }
}

/// The rest of a reply that is streamed.
pub struct ReplyStream {
    connection: LeafConnection,
    decoder: BodyDecoder,
    /// When the reply has to be complete.
    deadline: Instant,
}

/// A leaf's reply.
pub struct LeafReply {
    /// The leaf that replied.
    pub leaf: LeafIdentity,
    /// Head of the reply.
    pub head: ResponseHead,
    /// Whether the request asked for the head alone.
    pub head_only: bool,
    /// How the leaf framed the body.
    pub framing: BodyFraming,
    /// The body, or its first part.
    pub body: Bytes,
    /// Charge for `body`; none for one of a single read.
    pub charge: Option<MemoryCharge>,
    /// Stream of the rest of the body; none if `body` is complete.
    pub rest: Option<ReplyStream>,
}

impl ReplyStream {
    /// The next piece; none at the end of the body.
    ///
    /// # Errors
    /// A [`ReadError`] if the reply is cut short or does not end by the deadline.
    pub async fn next(&mut self) -> Result<Option<Bytes>, ReadError> {
        let left = self.deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            // A leaf that sends without end always has a piece ready.
            return Err(ReadError::TimedOut);
        }
        let piece = self.connection.reader.body_piece(&mut self.decoder);
        timeout(left, piece).await.unwrap_or(Err(ReadError::TimedOut))
    }
}

/// Records the end of an attempt when dropped, however it ends.
struct AttemptGuard<'state> {
    state: &'state RouteState,
    service: &'state ServiceName,
    leaf: &'state LeafIdentity,
    started: Instant,
    /// Whether a connection is reserved that has to be returned or closed.
    holds_connection: bool,
    /// Whether the connection is new.
    is_new: bool,
    outcome: Option<Outcome>,
}

impl AttemptGuard<'_> {
    /// Outcome of a connection reset. If the connection is new and others are open, the leaf is at
    /// its connection limit, which is no failure.
    fn reset_outcome(&mut self) -> Outcome {
        match self.is_new && self.state.leaves.connection_reset(self.leaf) {
            true => Outcome::Rejected,
            false => Outcome::Failed,
        }
    }
}

impl Drop for AttemptGuard<'_> {
    fn drop(&mut self) {
        let given_up = || Outcome::Abandoned(self.started.elapsed());
        self.state.leaves.attempt_finished(
            self.service,
            self.leaf,
            self.outcome.unwrap_or_else(given_up),
        );
        if self.holds_connection {
            self.state.leaves.connection_closed(self.leaf);
        }
    }
}

/// Sends a request to a leaf and reads its reply. Dropping the future closes the connection, which
/// cancels the request at the leaf.
///
/// # Errors
/// An [`AttemptError`] that tells whether the request may have run.
pub async fn attempt(
    state: &Rc<RouteState>,
    route: &Route,
    service: &ServiceName,
    leaf: &ListedLeaf,
    request: &ForwardedRequest,
) -> Result<LeafReply, AttemptError> {
    let started = Instant::now();
    state.leaves.attempt_started(service, &leaf.identity);
    let mut guard = AttemptGuard {
        state,
        service,
        leaf: &leaf.identity,
        started,
        holds_connection: false,
        is_new: false,
        outcome: None,
    };
    let connection = connect(&mut guard, leaf, request).await?;
    request.update_evidence(ExecutionEvidence::sent);
    let outcome = exchange(&mut guard, connection, leaf, request).await;
    let status = outcome.as_ref().map(|reply| reply.head.status).map_err(|error| *error);
    request.update_evidence(|evidence| evidence.heard(status));
    guard.outcome = Some(match &outcome {
        Ok(_) => Outcome::Answered(guard.started.elapsed()),
        Err(AttemptError::Rejected) => Outcome::Rejected,
        Err(AttemptError::AnotherLeaf) => Outcome::AddressTaken,
        Err(AttemptError::Lost) => guard.reset_outcome(),
        Err(_) => Outcome::Failed,
    });
    if guard.is_new && matches!(outcome, Ok(_) | Err(AttemptError::Rejected)) {
        state.leaves.connection_accepted(&leaf.identity);
    }
    if outcome.is_ok() {
        state.record_latency(route, guard.started.elapsed());
    }
    outcome
}

async fn connect(
    guard: &mut AttemptGuard<'_>,
    leaf: &ListedLeaf,
    request: &ForwardedRequest,
) -> Result<LeafConnection, AttemptError> {
    if let Some(connection) = take_idle(guard, request) {
        guard.holds_connection = true;
        return Ok(connection);
    }
    let limits = guard.state.service_limits(guard.service);
    if !guard.state.leaves.reserve_connection(limits.connections, leaf) {
        return Err(AttemptError::NoConnection);
    }
    guard.holds_connection = true;
    guard.is_new = true;
    let began = Instant::now();
    let connected = LeafConnection::connect(leaf.address).await;
    if connected.is_ok() {
        guard.state.leaves.connection_opened(leaf, began.elapsed());
    }
    connected.map_err(|error| {
        let (outcome, error) = match error.kind() {
            ErrorKind::ConnectionReset => {
                guard.state.leaves.connect_succeeded(leaf);
                (guard.reset_outcome(), AttemptError::NotAccepted)
            }
            ErrorKind::ConnectionRefused => {
                guard.state.crashes.leaf_is_gone(&guard.state.metrics, &leaf.identity);
                (Outcome::ConnectionRefused, AttemptError::ConnectionRefused)
            }
            _ => (Outcome::Failed, AttemptError::NotConnected),
        };
        guard.outcome = Some(outcome);
        error
    })
}

/// An idle connection on which the reply to the request cannot be mistaken.
fn take_idle(guard: &AttemptGuard<'_>, request: &ForwardedRequest) -> Option<LeafConnection> {
    if request.id.is_empty() {
        // Replies to requests without an id look alike.
        return None;
    }
    guard.state.leaves.take_idle(guard.leaf, &request.rejected_on.borrow())
}

async fn exchange(
    guard: &mut AttemptGuard<'_>,
    mut connection: LeafConnection,
    leaf: &ListedLeaf,
    request: &ForwardedRequest,
) -> Result<LeafReply, AttemptError> {
    let state = guard.state;
    let (bytes, long_body) = encode_request(&state.dialect, leaf, request);
    let method = request.head.method.as_str();
    let expected = ExpectedReply {
        method,
        id_name: state.dialect.request_id,
        id: &request.id,
        may_lack_id: std::mem::replace(&mut connection.is_fresh, false),
    };
    let reading = async |reader: &mut HttpReader| read_head(reader, &expected).await;
    let (head, whole) =
        connection.exchange(bytes, long_body, reading).await.map_err(|_| AttemptError::Lost)?;
    if let Some(report) =
        head.headers.text(state.dialect.load).and_then(state.dialect.parse_load_report)
    {
        state.metrics.load_reported(report);
        state.leaves.load_reported(guard.service, guard.leaf, report);
    }
    let framing = response_framing(method, &head).map_err(|_| AttemptError::Unusable)?;
    let mut decoder = BodyDecoder::new(framing);
    let (body, charge) = read_body(&mut connection.reader, &mut decoder, &request.memory).await?;
    let not_executed = head.headers.get(state.dialect.not_executed).is_some();
    let another_leaf = head.status == StatusCode::MISDIRECTED_REQUEST;
    let rejected = not_executed || another_leaf;
    if rejected {
        request.rejected_on.borrow_mut().push(connection.number);
    }
    let reusable = whole
        && head.keeps_alive()
        && framing != BodyFraming::UntilClose
        && connection.reader.is_empty();
    if !decoder.is_done() && !rejected {
        let rest = ReplyStream { connection, decoder, deadline: request.deadline };
        let leaf = leaf.identity.clone();
        let head_only = method == "HEAD";
        return Ok(LeafReply { leaf, head, head_only, framing, body, charge, rest: Some(rest) });
    }
    if reusable && !another_leaf {
        let stated = keep_alive_timeout(&head);
        state.leaves.record_keep_alive_timeout(guard.service, stated);
        connection.set_keep_alive(stated);
        state.leaves.return_connection(guard.leaf, connection);
        guard.holds_connection = false;
    }
    if another_leaf {
        // The address belongs to another leaf now: the connection is not reused under this one's
        // name.
        return Err(AttemptError::AnotherLeaf);
    }
    if rejected {
        return Err(AttemptError::Rejected);
    }
    let (leaf, head_only) = (leaf.identity.clone(), method == "HEAD");
    Ok(LeafReply { leaf, head, head_only, framing, body, charge, rest: None })
}

/// What identifies the reply to a request.
struct ExpectedReply<'request> {
    method: &'request str,
    /// Name of the field that repeats the request id.
    id_name: &'static str,
    id: &'request [u8],
    /// Whether an error reply without an id can only belong to this request.
    may_lack_id: bool,
}

/// Reads the head of the expected reply. Late replies to earlier requests are skipped.
///
/// # Errors
/// [`ReadError::ConnectionClosed`] after a reply that may belong to an earlier request or to this
/// one, or after too many late ones; the connection is not to be used again.
async fn read_head(
    reader: &mut HttpReader,
    expected: &ExpectedReply<'_>,
) -> Result<ResponseHead, ReadError> {
    let ExpectedReply { method, id_name, id, may_lack_id } = *expected;
    for _ in 0..=MAX_STALE_REPLIES {
        let head = reader.response_head(HEAD_LIMIT).await?;
        if (100..=199).contains(&head.status) {
            continue;
        }
        let repeated = head.headers.get(id_name);
        // Error replies may lack the request id; a success reply must repeat it.
        let nameless = repeated.is_none() && (id.is_empty() || head.status >= 400);
        if nameless && !may_lack_id {
            return Err(ReadError::ConnectionClosed);
        }
        if nameless || repeated == Some(id) {
            return Ok(head);
        }
        let mut decoder = BodyDecoder::new(response_framing(method, &head)?);
        while reader.body_piece(&mut decoder).await?.is_some() {}
    }
    Err(ReadError::ConnectionClosed)
}

/// Reads a body, or its beginning when it is long or the memory for connections is short.
async fn read_body(
    reader: &mut HttpReader,
    decoder: &mut BodyDecoder,
    memory: &Rc<MemoryShare>,
) -> Result<(Bytes, Option<MemoryCharge>), AttemptError> {
    let mut body = CollectedBody::new(Some(memory), REPLY_CAPACITY);
    while body.len() < BUFFERED_REPLY_BYTES {
        match reader.body_piece(decoder).await {
            Ok(Some(piece)) if body.is_empty() && decoder.is_done() => return Ok((piece, None)),
            Ok(Some(piece)) => {
                if body.push(&piece).await.is_err() {
                    body.push_uncharged(&piece).map_err(|_| AttemptError::Unusable)?;
                    break;
                }
            }
            Ok(None) => {
                *decoder = BodyDecoder::new(BodyFraming::None);
                break;
            }
            Err(ReadError::Head(_)) => return Err(AttemptError::Unusable),
            Err(_) => return Err(AttemptError::Lost),
        }
        if decoder.is_done() {
            break;
        }
    }
    Ok(body.finish())
}

/// The keep-alive timeout that the leaf stated, if any, up to [`MAX_KEEP_ALIVE`].
fn keep_alive_timeout(head: &ResponseHead) -> Option<Duration> {
    let text = head.headers.text("keep-alive")?;
    let timeout = text.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    let stated = timeout.trim().parse().ok().map(Duration::from_secs)?;
    Some(stated.min(MAX_KEEP_ALIVE))
}

/// The part of the head that is equal for all leaves: request line, the caller's fields and the
/// tenant.
fn forwarded_head(
    dialect: &Dialect,
    head: &RequestHead,
    body: &[u8],
    caller: &CallerIdentity,
) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(FORWARDED_HEAD_BYTES);
    bytes.extend_from_slice(head.method.as_bytes());
    bytes.push(b' ');
    bytes.extend_from_slice(head.target.as_bytes());
    bytes.extend_from_slice(b" HTTP/1.1\r\n");
    for (name, value) in head.headers.iter() {
        let dropped = is_replaced(dialect, name) || is_identity(dialect, caller, name);
        if !dropped && !head.headers.is_hop_by_hop(name) {
            add_field(&mut bytes, name, value);
        }
    }
    if let Some(tenant) = caller.tenant() {
        add_field(&mut bytes, dialect.tenant.as_bytes(), tenant.name.as_str().as_bytes());
    }
    let has_length = head.headers.get("content-length").is_some();
    if !body.is_empty() || has_length || head.headers.get("transfer-encoding").is_some() {
        add_field(&mut bytes, b"Content-Length", body.len().to_string().as_bytes());
    }
    bytes
}

/// The bytes of a request to a leaf. A long body, which is not copied for each attempt, is returned
/// on its own.
fn encode_request(
    dialect: &Dialect,
    leaf: &ListedLeaf,
    request: &ForwardedRequest,
) -> (Vec<u8>, Bytes) {
    let is_long = request.body.len() > COPIED_BODY_BYTES;
    let copied = if is_long { &[][..] } else { &request.body };
    let length = request.forwarded_head.len() + OWN_FIELD_BYTES + copied.len();
    let mut bytes = Vec::with_capacity(length);
    bytes.extend_from_slice(&request.forwarded_head);
    let left = request.deadline.saturating_duration_since(Instant::now());
    let left = left.as_millis().to_string();
    add_field(&mut bytes, dialect.deadline.as_bytes(), left.as_bytes());
    let name = leaf.identity.name().as_bytes();
    add_field(&mut bytes, dialect.expected_leaf.as_bytes(), name);
    bytes.extend_from_slice(b"\r\n");
    bytes.extend_from_slice(copied);
    (bytes, if is_long { request.body.clone() } else { Bytes::new() })
}

/// Whether the broker replaces the field.
fn is_replaced(dialect: &Dialect, name: &[u8]) -> bool {
    let own = [dialect.deadline, dialect.expected_leaf, "content-length", "expect"];
    own.iter().any(|field| name.eq_ignore_ascii_case(field.as_bytes()))
}

/// Whether a field of the caller states an identity, which the broker replaces after
/// authentication.
fn is_identity(dialect: &Dialect, caller: &CallerIdentity, name: &[u8]) -> bool {
    let own = [dialect.tenant, AUTHORIZATION];
    caller.is_checked() && own.iter().any(|field| name.eq_ignore_ascii_case(field.as_bytes()))
}

pub(super) fn add_field(bytes: &mut Vec<u8>, name: &[u8], value: &[u8]) {
    bytes.extend_from_slice(name);
    bytes.extend_from_slice(b": ");
    bytes.extend_from_slice(value);
    bytes.extend_from_slice(b"\r\n");
}
