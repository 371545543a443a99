//! Encodes requests to leaves as HTTP and parses their replies.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use gingerkeel_domain::dispatch::LeafCompletion;
use gingerkeel_domain::identifiers::{IndexVersion, LeafRequestId, PartitionEpoch, Snapshot};
use gingerkeel_domain::query::{LeafFailure, LeafReply, NotRunReason};
use gingerkeel_transport::{HttpRequest, HttpResponse};
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, Uri};

/// Identifier of a leaf request; echoed in the reply.
pub const REQUEST_ID_HEADER: HeaderName = HeaderName::from_static("x-request-id");
/// Index version to read; echoed in the reply.
const INDEX_VERSION_HEADER: HeaderName = HeaderName::from_static("x-index-version");
/// Partition epoch of the shard number; echoed in the reply.
const PARTITION_EPOCH_HEADER: HeaderName = HeaderName::from_static("x-partition-epoch");
/// Milliseconds until the caller's deadline.
const DEADLINE_HEADER: HeaderName = HeaderName::from_static("x-deadline-ms");
/// Priority of the class; 0 is the highest.
const PRIORITY_HEADER: HeaderName = HeaderName::from_static("x-priority");
/// Reply header: why the leaf did not run the request.
const NOT_RUN_HEADER: HeaderName = HeaderName::from_static("x-not-run");
/// Reply header: `1` if the leaf is draining, `0` if not.
const DRAINING_HEADER: HeaderName = HeaderName::from_static("x-draining");

/// Data that all leaf requests of a query share.
#[derive(Debug, Clone)]
pub struct RequestContext {
    /// Body of the caller's query.
    pub body: Bytes,
    /// Priority of the class.
    pub priority: u8,
}

/// A request to a leaf.
#[derive(Debug, Clone)]
pub struct WireRequest {
    /// Identifier within this broker run.
    pub request: LeafRequestId,
    /// Snapshot to read.
    pub snapshot: Snapshot,
    /// Time until the caller's deadline.
    pub time_left: Duration,
    /// Data shared with the other requests of the query.
    pub context: Rc<RequestContext>,
}

impl WireRequest {
    /// Encodes the request; `run` makes its identifier unique over all broker runs.
    pub fn to_http(&self, run: &str) -> HttpRequest {
        let mut request = HttpRequest::new(self.context.body.clone());
        *request.method_mut() = Method::POST;
        *request.uri_mut() = shard_uri(self.request);
        let headers = request.headers_mut();
        headers.insert(REQUEST_ID_HEADER, request_id(run, self.request));
        headers.insert(INDEX_VERSION_HEADER, HeaderValue::from(self.snapshot.version.0));
        headers.insert(PARTITION_EPOCH_HEADER, HeaderValue::from(self.snapshot.epoch.0));
        let milliseconds = u64::try_from(self.time_left.as_millis()).unwrap_or(u64::MAX);
        headers.insert(DEADLINE_HEADER, HeaderValue::from(milliseconds));
        headers.insert(PRIORITY_HEADER, HeaderValue::from(u16::from(self.context.priority)));
        request
    }
}

/// Encodes the cancellation of a request that the same leaf has received.
pub fn cancellation(run: &str, request: LeafRequestId) -> HttpRequest {
    let mut cancellation = HttpRequest::new(Bytes::new());
    *cancellation.method_mut() = Method::DELETE;
    let path = format!("/v1/requests/{run}-{request}");
    *cancellation.uri_mut() = Uri::try_from(path).expect("identifiers are valid in a path");
    cancellation
}

/// Encodes a probe. It reads the draining header, which every reply of a leaf has.
pub fn probe() -> HttpRequest {
    let mut probe = HttpRequest::new(Bytes::new());
    *probe.method_mut() = Method::GET;
    *probe.uri_mut() = Uri::from_static("/v1/shards");
    probe
}

fn shard_uri(request: LeafRequestId) -> Uri {
    let path = format!("/v1/shards/{}/search", request.shard);
    Uri::try_from(path).expect("a number is valid in a path")
}

fn request_id(run: &str, request: LeafRequestId) -> HeaderValue {
    HeaderValue::try_from(format!("{run}-{request}")).expect("identifiers are valid in a header")
}

/// Parses a leaf's reply; a reply to another request or a malformed one counts as broken.
pub fn read_reply(run: &str, request: LeafRequestId, response: HttpResponse) -> LeafCompletion {
    if response.headers().get(REQUEST_ID_HEADER) != Some(&request_id(run, request)) {
        return LeafCompletion::Failed(LeafFailure::Broken);
    }
    if let Some(reason) = response.headers().get(NOT_RUN_HEADER) {
        return match not_run_reason(reason) {
            Some(reason) => LeafCompletion::Replied(LeafReply::NotRun(reason)),
            None => LeafCompletion::Failed(LeafFailure::Broken),
        };
    }
    if response.status() != StatusCode::OK {
        return LeafCompletion::Failed(LeafFailure::LeafError);
    }
    let Some(snapshot) = read_snapshot(response.headers()) else {
        return LeafCompletion::Failed(LeafFailure::Broken);
    };
    let body = response.into_body();
    if std::str::from_utf8(&body).is_err() {
        return LeafCompletion::Failed(LeafFailure::Broken);
    }
    LeafCompletion::Replied(LeafReply::Result { snapshot, body })
}

/// Whether the leaf is draining; none if the header is missing or invalid.
pub fn read_draining(response: &HttpResponse) -> Option<bool> {
    match response.headers().get(DRAINING_HEADER)?.as_bytes() {
        b"1" => Some(true),
        b"0" => Some(false),
        _ => None,
    }
}

fn read_snapshot(headers: &HeaderMap) -> Option<Snapshot> {
    Some(Snapshot {
        epoch: PartitionEpoch(read_number(headers, &PARTITION_EPOCH_HEADER)?),
        version: IndexVersion(read_number(headers, &INDEX_VERSION_HEADER)?),
    })
}

fn read_number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

fn not_run_reason(value: &HeaderValue) -> Option<NotRunReason> {
    match value.as_bytes() {
        b"shedding" => Some(NotRunReason::Shedding),
        b"draining" => Some(NotRunReason::Draining),
        b"snapshot-unavailable" => Some(NotRunReason::SnapshotUnavailable),
        b"deadline-passed" => Some(NotRunReason::DeadlinePassed),
        b"cancelled" => Some(NotRunReason::Cancelled),
        _ => None,
    }
}
