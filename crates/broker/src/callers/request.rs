//! Parses callers' HTTP requests: `POST /v1/services/{service}/query` and
//! `POST /v1/request-keys`.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use bytes::Bytes;
use gingerkeel_domain::identifiers::{CallerName, ClassName, QueryId, ServiceName};
use gingerkeel_domain::query::Submission;
use gingerkeel_domain::request_key::KeyedRequest;
use gingerkeel_domain::time::Timestamp;
use gingerkeel_transport::HttpRequest;
use http::{HeaderMap, Method};
use quick_error::quick_error;

/// Header with the class of the query.
const CLASS_HEADER: &str = "x-class";
/// Header with the caller's account.
const CALLER_HEADER: &str = "x-caller";
/// Header with the deadline, in milliseconds from now; the class has a default.
const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Header that is `false` for a request that may run at most once.
const REPEATABLE_HEADER: &str = "x-repeatable";
/// Header with the request key of a request that may run at most once.
const KEY_HEADER: &str = "x-request-key";
/// Path of requests for a request key.
const KEYS_PATH: &str = "/v1/request-keys";
/// Maximum deadline of a query.
const MAXIMUM_DEADLINE: Duration = Duration::from_secs(60);

quick_error! {
    /// An invalid request; no part of it was run.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum RequestError {
        /// The broker does not serve the path.
        UnknownPath(path: String) {
            display("unknown path {path}: POST to /v1/services/NAME/query or /v1/request-keys")
        }
        /// The method is not POST.
        WrongMethod(method: String) {
            display("method {method} is not allowed here: use POST")
        }
        /// A required header is missing.
        MissingHeader(name: &'static str) {
            display("header {name} is missing: add it")
        }
        /// A header has an invalid value.
        BadHeader(name: &'static str, remedy: &'static str) {
            display("header {name} is not understood: {remedy}")
        }
    }
}

/// A caller's request.
pub enum CallerRequest {
    /// Run a query.
    Query {
        /// The query; the engine sets its deadline.
        submission: Submission,
        /// Time until the deadline; none takes the default of the class.
        deadline: Option<Duration>,
        /// Body of the query.
        body: Bytes,
    },
    /// Issue a request key.
    IssueKey(CallerName),
}

/// Checks the method and the path; returns the service of a query, or none for a request key.
///
/// # Errors
/// [`RequestError::UnknownPath`] or [`RequestError::WrongMethod`].
pub fn check_target<'path>(
    method: &Method,
    path: &'path str,
) -> Result<Option<&'path str>, RequestError> {
    let service = path
        .strip_prefix("/v1/services/")
        .and_then(|rest| rest.strip_suffix("/query"))
        .filter(|name| !name.is_empty() && !name.contains('/'));
    if service.is_none() && path != KEYS_PATH {
        return Err(RequestError::UnknownPath(path.to_owned()));
    }
    if method != Method::POST {
        return Err(RequestError::WrongMethod(method.to_string()));
    }
    Ok(service)
}

/// Parses a caller's request.
///
/// # Errors
/// A [`RequestError`] that names the remedy.
pub fn read_request(query: QueryId, request: HttpRequest) -> Result<CallerRequest, RequestError> {
    let (head, body) = request.into_parts();
    let service = check_target(&head.method, head.uri.path())?;
    let caller = CallerName::new(required(&head.headers, CALLER_HEADER)?);
    let Some(service) = service else {
        return Ok(CallerRequest::IssueKey(caller));
    };
    let class = required(&head.headers, CLASS_HEADER)?;
    let repeatable = repeatable(&head.headers)?;
    let deadline = deadline(&head.headers)?;
    let submission = Submission {
        query,
        service: ServiceName::new(service),
        class: ClassName::new(class),
        caller,
        deadline: Timestamp::ZERO,
        repeatable,
        key: keyed_request(&head.headers, repeatable, digest(service, class, &body))?,
    };
    Ok(CallerRequest::Query { submission, deadline, body })
}

fn keyed_request(
    headers: &HeaderMap,
    repeatable: bool,
    digest: u64,
) -> Result<Option<KeyedRequest>, RequestError> {
    if !headers.contains_key(KEY_HEADER) {
        return Ok(None);
    }
    let remedy = "send it with x-repeatable: false only, as POST /v1/request-keys gave it";
    let bad = || RequestError::BadHeader(KEY_HEADER, remedy);
    let key = required(headers, KEY_HEADER)?.parse().map_err(|_| bad())?;
    if repeatable {
        return Err(bad());
    }
    Ok(Some(KeyedRequest { key, digest }))
}

/// Digest that distinguishes requests under the same key; compared within one process only, since
/// `DefaultHasher` may differ between builds.
fn digest(service: &str, class: &str, body: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    (service, class, body).hash(&mut hasher);
    hasher.finish()
}

fn required<'head>(
    headers: &'head HeaderMap,
    name: &'static str,
) -> Result<&'head str, RequestError> {
    let value = headers.get(name).ok_or(RequestError::MissingHeader(name))?;
    value.to_str().map_err(|_| RequestError::BadHeader(name, "use ASCII text"))
}

fn deadline(headers: &HeaderMap) -> Result<Option<Duration>, RequestError> {
    if !headers.contains_key(DEADLINE_HEADER) {
        return Ok(None);
    }
    let remedy = "give milliseconds as a whole number from 1 to 60000";
    let bad = || RequestError::BadHeader(DEADLINE_HEADER, remedy);
    let milliseconds: u64 = required(headers, DEADLINE_HEADER)?.parse().map_err(|_| bad())?;
    let deadline = Duration::from_millis(milliseconds);
    if deadline.is_zero() || deadline > MAXIMUM_DEADLINE {
        return Err(bad());
    }
    Ok(Some(deadline))
}

fn repeatable(headers: &HeaderMap) -> Result<bool, RequestError> {
    match headers.get(REPEATABLE_HEADER).map(|value| value.as_bytes()) {
        None | Some(b"true") => Ok(true),
        Some(b"false") => Ok(false),
        Some(_) => Err(RequestError::BadHeader(REPEATABLE_HEADER, "use true or false")),
    }
}
