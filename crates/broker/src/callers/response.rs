//! Maps outcomes to HTTP responses.

use std::time::Duration;

use bytes::Bytes;
use gingerkeel_domain::admission::{Refusal, RefusalReason};
use gingerkeel_domain::query::{Answer, MissingReason, QueryOutcome, UnrecordedReason};
use gingerkeel_domain::request_key::RequestKey;
use gingerkeel_transport::{HttpResponse, MemoryShortage, TransportError};
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderName, HeaderValue, StatusCode};
use serde::Serialize;

use super::request::RequestError;

/// The retry-after in milliseconds; `Retry-After` has a resolution of one second.
const RETRY_AFTER_MS: HeaderName = HeaderName::from_static("x-retry-after-ms");

/// Retry-after while the memory for connections is used up: by then, connections that hold it for
/// too long give way.
pub const MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Retry-after of a connection refused at the connection limit.
const CONNECTIONS_RETRY_AFTER: Duration = Duration::from_secs(1);

#[derive(Serialize)]
struct Document<'answer> {
    outcome: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    reason: Option<&'static str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
    #[serde(flatten, skip_serializing_if = "Option::is_none")]
    answer: Option<AnswerDocument<'answer>>,
}

#[derive(Serialize)]
struct KeyDocument {
    key: String,
}

#[derive(Serialize)]
struct AnswerDocument<'answer> {
    snapshot: String,
    shards: usize,
    coverage: f64,
    charge: u64,
    missing: Vec<MissingDocument>,
    parts: Vec<PartDocument<'answer>>,
}

#[derive(Serialize)]
struct MissingDocument {
    shard: u32,
    reason: &'static str,
}

#[derive(Serialize)]
struct PartDocument<'answer> {
    shard: u32,
    body: &'answer str,
}

/// The response for the outcome of a query.
pub fn query_response(outcome: &QueryOutcome) -> HttpResponse {
    match outcome {
        QueryOutcome::Answered(answer) => {
            let document = Document {
                outcome: "answered",
                reason: None,
                message: None,
                retry_after_ms: None,
                answer: Some(answer_document(answer)),
            };
            respond(StatusCode::OK, &document)
        }
        QueryOutcome::NotRun { reason, retry_after } => {
            refused(Refusal { reason: *reason, retry_after: *retry_after })
        }
        QueryOutcome::Unknown { known, retry_after } => {
            let document = Document {
                outcome: "outcome_unknown",
                reason: None,
                message: None,
                retry_after_ms: Some(milliseconds(*retry_after)),
                answer: Some(answer_document(known)),
            };
            with_retry_after(respond(StatusCode::GATEWAY_TIMEOUT, &document), *retry_after)
        }
        QueryOutcome::Unrecorded(reason) => {
            let document = Document {
                outcome: "outcome_unknown",
                reason: Some(unrecorded(*reason)),
                message: None,
                retry_after_ms: None,
                answer: None,
            };
            respond(StatusCode::GATEWAY_TIMEOUT, &document)
        }
    }
}

/// The response to a refused request.
pub fn refused(refusal: Refusal) -> HttpResponse {
    let Refusal { reason, retry_after } = refusal;
    let document = Document {
        outcome: "not_run",
        reason: Some(refusal_reason(reason)),
        message: None,
        retry_after_ms: Some(milliseconds(retry_after)),
        answer: None,
    };
    with_retry_after(respond(refusal_status(reason), &document), retry_after)
}

/// The response on a connection refused at the connection limit.
pub fn too_many_connections() -> HttpResponse {
    let document = Document {
        outcome: "not_run",
        reason: Some("too_many_connections"),
        message: Some("use fewer connections, or raise caller_connections".to_owned()),
        retry_after_ms: Some(milliseconds(CONNECTIONS_RETRY_AFTER)),
        answer: None,
    };
    let response = respond(StatusCode::SERVICE_UNAVAILABLE, &document);
    with_retry_after(response, CONNECTIONS_RETRY_AFTER)
}

/// The response with a new request key.
pub fn issued_key(key: &RequestKey) -> HttpResponse {
    respond(StatusCode::CREATED, &KeyDocument { key: key.to_string() })
}

/// The response to an invalid request.
pub fn bad_request(error: &RequestError) -> HttpResponse {
    let status = match error {
        RequestError::UnknownPath(_) => StatusCode::NOT_FOUND,
        RequestError::WrongMethod(_) => StatusCode::METHOD_NOT_ALLOWED,
        RequestError::MissingHeader(_) | RequestError::BadHeader(..) => StatusCode::BAD_REQUEST,
    };
    rejected(status, error.to_string())
}

/// The response to a message that is malformed, too large or too slow.
pub fn transport_error(error: &TransportError) -> HttpResponse {
    rejected(error.status(), error.to_string())
}

/// The response to a request for which there is no memory; it has not run.
pub fn out_of_memory(error: &MemoryShortage) -> HttpResponse {
    let document = Document {
        outcome: "not_run",
        reason: Some("out_of_memory"),
        message: Some(error.to_string()),
        retry_after_ms: Some(milliseconds(MEMORY_RETRY_AFTER)),
        answer: None,
    };
    let response = respond(StatusCode::SERVICE_UNAVAILABLE, &document);
    with_retry_after(response, MEMORY_RETRY_AFTER)
}

fn rejected(status: StatusCode, message: String) -> HttpResponse {
    let document = Document {
        outcome: "not_run",
        reason: Some("bad_request"),
        message: Some(message),
        retry_after_ms: None,
        answer: None,
    };
    respond(status, &document)
}

fn answer_document(answer: &Answer) -> AnswerDocument<'_> {
    AnswerDocument {
        snapshot: answer.snapshot.to_string(),
        shards: answer.shard_count(),
        coverage: answer.coverage(),
        charge: answer.price,
        missing: answer
            .missing
            .iter()
            .map(|missing| MissingDocument {
                shard: missing.shard.0,
                reason: missing_reason(missing.reason),
            })
            .collect(),
        parts: answer
            .parts
            .iter()
            .map(|part| PartDocument {
                shard: part.shard.0,
                body: std::str::from_utf8(&part.body).unwrap_or_default(),
            })
            .collect(),
    }
}

fn respond(status: StatusCode, document: &impl Serialize) -> HttpResponse {
    let body = serde_json::to_vec(document).expect("the document has string keys only");
    let mut response = HttpResponse::new(Bytes::from(body));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

fn with_retry_after(mut response: HttpResponse, retry_after: Duration) -> HttpResponse {
    let headers = response.headers_mut();
    headers.insert(RETRY_AFTER, HeaderValue::from(retry_after.as_secs_f64().ceil() as u64));
    headers.insert(RETRY_AFTER_MS, HeaderValue::from(milliseconds(retry_after)));
    response
}

fn milliseconds(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

fn missing_reason(reason: MissingReason) -> &'static str {
    match reason {
        MissingReason::NotRun => "not_run",
        MissingReason::Unknown => "unknown",
    }
}

fn refusal_reason(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::QueueFull => "queue_full",
        RefusalReason::Evicted => "evicted",
        RefusalReason::DeadlineTooClose => "deadline_too_close",
        RefusalReason::Overloaded => "overloaded",
        RefusalReason::Stopping => "stopping",
        RefusalReason::BudgetSpent => "budget_spent",
        RefusalReason::UnknownCaller => "unknown_caller",
        RefusalReason::NotServed => "not_served",
        RefusalReason::LeavesRefused => "leaves_refused",
        RefusalReason::ConfigurationStale => "configuration_stale",
        RefusalReason::KeyTaken => "key_taken",
        RefusalReason::KeysExhausted => "keys_exhausted",
    }
}

fn unrecorded(reason: UnrecordedReason) -> &'static str {
    match reason {
        UnrecordedReason::OtherRun => "key_of_another_run",
        UnrecordedReason::NotKnown => "key_not_known",
        UnrecordedReason::StillRunning => "still_running",
    }
}

fn refusal_status(reason: RefusalReason) -> StatusCode {
    match reason {
        RefusalReason::BudgetSpent => StatusCode::TOO_MANY_REQUESTS,
        RefusalReason::UnknownCaller => StatusCode::FORBIDDEN,
        RefusalReason::NotServed => StatusCode::NOT_FOUND,
        RefusalReason::KeyTaken => StatusCode::CONFLICT,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}
