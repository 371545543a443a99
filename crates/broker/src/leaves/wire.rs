//! How requests to leaves and their replies look in HTTP.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use gingerkeel_domain::dispatch::LeafCompletion;
use gingerkeel_domain::identifiers::{IndexVersion, LeafRequestId, PartitionEpoch, Snapshot};
use gingerkeel_domain::query::{LeafFailure, LeafReply, NotRunReason};
use gingerkeel_transport::{HttpRequest, HttpResponse};
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, Uri};

/// Identifier of a leaf request; the reply repeats it.
pub const REQUEST_ID_HEADER: HeaderName = HeaderName::from_static("x-request-id");
/// Index version that is read; the reply repeats it.
const INDEX_VERSION_HEADER: HeaderName = HeaderName::from_static("x-index-version");
/// Partition epoch that names the shard; the reply repeats it.
const PARTITION_EPOCH_HEADER: HeaderName = HeaderName::from_static("x-partition-epoch");
/// Milliseconds until the caller's deadline.
const DEADLINE_HEADER: HeaderName = HeaderName::from_static("x-deadline-ms");
/// Priority of the class, 0 first.
const PRIORITY_HEADER: HeaderName = HeaderName::from_static("x-priority");
/// On a reply: why the leaf did not run the request.
const NOT_RUN_HEADER: HeaderName = HeaderName::from_static("x-not-run");
/// On a reply: `1` when the leaf is leaving, `0` when it is not.
const DRAINING_HEADER: HeaderName = HeaderName::from_static("x-draining");

/// What all leaf requests of one query have in common.
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
    /// Its identifier within this broker run.
    pub request: LeafRequestId,
    /// The snapshot it reads.
    pub snapshot: Snapshot,
    /// Time until the caller's deadline.
    pub time_left: Duration,
    /// What it shares with the other requests of its query.
    pub context: Rc<RequestContext>,
}

impl WireRequest {
    /// The request in HTTP; `run` makes its identifier unique over all broker runs.
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

/// The request that cancels another one at the same leaf.
pub fn cancellation(run: &str, request: LeafRequestId) -> HttpRequest {
    let mut cancellation = HttpRequest::new(Bytes::new());
    *cancellation.method_mut() = Method::DELETE;
    let path = format!("/v1/requests/{run}-{request}");
    *cancellation.uri_mut() = Uri::try_from(path).expect("identifiers are valid in a path");
    cancellation
}

/// The request for nothing but the leaf's mark, which every reply of a leaf carries.
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

/// Reads a leaf's reply; one of another request or of the wrong shape counts as broken.
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

/// Whether the reply says that the leaf is leaving.
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
