//! How callers' requests look in HTTP: `POST /v1/services/{service}/query`.

use std::time::Duration;

use bytes::Bytes;
use gingerkeel_domain::identifiers::{CallerName, ClassName, QueryId, ServiceName};
use gingerkeel_domain::query::Submission;
use gingerkeel_domain::time::Timestamp;
use gingerkeel_transport::HttpRequest;
use http::{HeaderMap, Method};
use quick_error::quick_error;

/// Class that the caller pays for.
const CLASS_HEADER: &str = "x-class";
/// Account of the caller.
const CALLER_HEADER: &str = "x-caller";
/// Milliseconds until an answer is of no use.
const DEADLINE_HEADER: &str = "x-deadline-ms";
/// `false` for a request that may run at most once.
const REPEATABLE_HEADER: &str = "x-repeatable";
/// Longest deadline.
const MAXIMUM_DEADLINE: Duration = Duration::from_secs(60);

quick_error! {
    /// A request that is not understood; nothing of it was run.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum RequestError {
        /// The path is not one of the broker's.
        UnknownPath(path: String) {
            display("unknown path {path}: POST to /v1/services/NAME/query")
        }
        /// The method is not POST.
        WrongMethod(method: String) {
            display("method {method} is not allowed here: use POST")
        }
        /// A header is missing.
        MissingHeader(name: &'static str) {
            display("header {name} is missing: add it")
        }
        /// A header has a value that is not allowed.
        BadHeader(name: &'static str, remedy: &'static str) {
            display("header {name} is not understood: {remedy}")
        }
    }
}

/// A caller's request.
pub struct CallerRequest {
    /// The query; its deadline counts from [`Timestamp::ZERO`].
    pub submission: Submission,
    /// Body of the query.
    pub body: Bytes,
}

/// Reads a caller's request.
///
/// # Errors
/// A [`RequestError`] that names the remedy.
pub fn read_request(query: QueryId, request: HttpRequest) -> Result<CallerRequest, RequestError> {
    let (head, body) = request.into_parts();
    let path = head.uri.path();
    let service = path
        .strip_prefix("/v1/services/")
        .and_then(|rest| rest.strip_suffix("/query"))
        .filter(|name| !name.is_empty() && !name.contains('/'))
        .ok_or_else(|| RequestError::UnknownPath(path.to_owned()))?;
    if head.method != Method::POST {
        return Err(RequestError::WrongMethod(head.method.to_string()));
    }
    let submission = Submission {
        query,
        service: ServiceName::new(service),
        class: ClassName::new(required(&head.headers, CLASS_HEADER)?),
        caller: CallerName::new(required(&head.headers, CALLER_HEADER)?),
        deadline: Timestamp::ZERO.after(deadline(&head.headers)?),
        repeatable: repeatable(&head.headers)?,
        key: None,
    };
    Ok(CallerRequest { submission, body })
}

fn required<'head>(
    headers: &'head HeaderMap,
    name: &'static str,
) -> Result<&'head str, RequestError> {
    let value = headers.get(name).ok_or(RequestError::MissingHeader(name))?;
    value.to_str().map_err(|_| RequestError::BadHeader(name, "use ASCII text"))
}

fn deadline(headers: &HeaderMap) -> Result<Duration, RequestError> {
    let remedy = "give milliseconds as a whole number from 1 to 60000";
    let bad = || RequestError::BadHeader(DEADLINE_HEADER, remedy);
    let milliseconds: u64 = required(headers, DEADLINE_HEADER)?.parse().map_err(|_| bad())?;
    let deadline = Duration::from_millis(milliseconds);
    if deadline.is_zero() || deadline > MAXIMUM_DEADLINE {
        return Err(bad());
    }
    Ok(deadline)
}

fn repeatable(headers: &HeaderMap) -> Result<bool, RequestError> {
    match headers.get(REPEATABLE_HEADER).map(|value| value.as_bytes()) {
        None | Some(b"true") => Ok(true),
        Some(b"false") => Ok(false),
        Some(_) => Err(RequestError::BadHeader(REPEATABLE_HEADER, "use true or false")),
    }
}
