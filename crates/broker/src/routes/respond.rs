//! Encoding of answers to callers.

use std::time::Duration;

use gingerkeel_domain::time::Timestamp;
use gingerkeel_transport::http1::BodyFraming;

use super::attempt::{LeafReply, add_field};
use super::dialect::Dialect;
use crate::callers::MEMORY_RETRY_AFTER;

/// How an answer of the broker's own is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Delivery {
    /// Whether the connection stays open after it.
    pub keep_alive: bool,
    /// Whether the request asked for the head alone: a body would be taken for the next answer.
    pub head_only: bool,
}

/// An error answer of the broker itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The head or the body is not valid HTTP.
    Malformed,
    /// The request did not arrive in time.
    Slow,
    /// The body is too large.
    BodyTooLarge,
    /// The head is too large.
    HeadTooLarge,
    /// No route matches.
    NoRoute,
    /// The request has no valid key of a tenant.
    Unauthorized,
    /// The request has not run; the caller may retry.
    NotRun {
        /// Time after which to retry.
        retry_after: Duration,
    },
    /// The tenant's quota is used up; the request has not run.
    OverQuota {
        /// When the quota has room again.
        retry_after: Duration,
    },
    /// The memory for connections is used up; the request has not run.
    OutOfMemory,
    /// No leaf gave a usable reply; the request may have run.
    NoReply,
    /// The deadline has passed; the request may have run.
    TimedOut,
}

impl Refusal {
    /// The outcome as written in logs and metrics.
    pub fn outcome(self) -> &'static str {
        match self {
            Self::Malformed => "malformed",
            Self::NoRoute => "no_route",
            Self::Unauthorized => "unauthorized",
            Self::Slow => "too_slow",
            Self::BodyTooLarge => "body_too_large",
            Self::HeadTooLarge => "head_too_large",
            Self::NoReply => "no_usable_reply",
            Self::NotRun { .. } => "no_leaf_took_it",
            Self::OverQuota { .. } => "over_quota",
            Self::OutOfMemory => "out_of_memory",
            Self::TimedOut => "timed_out",
        }
    }

    /// HTTP status code.
    pub fn status(self) -> u16 {
        match self {
            Self::Malformed => 400,
            Self::Unauthorized => 401,
            Self::NoRoute => 404,
            Self::Slow => 408,
            Self::BodyTooLarge => 413,
            Self::OverQuota { .. } => 429,
            Self::HeadTooLarge => 431,
            Self::NoReply => 502,
            Self::NotRun { .. } | Self::OutOfMemory => 503,
            Self::TimedOut => 504,
        }
    }

    fn text(self) -> &'static str {
        match self {
            Self::Malformed => "not a valid request: check what was sent\n",
            Self::NoRoute => "no route matches the host and path: check both\n",
            Self::Unauthorized => {
                "the request shows no key that is known: send one key that is in force\n"
            }
            Self::Slow => "the request did not arrive in time: send it faster\n",
            Self::BodyTooLarge => "the body is too large: send a shorter one\n",
            Self::HeadTooLarge => "the head is too large: send fewer or shorter fields\n",
            Self::NoReply => "no usable reply came; the request may have run\n",
            Self::NotRun { .. } | Self::OutOfMemory => {
                "the request has not run: send it again later\n"
            }
            Self::OverQuota { .. } => "beyond the quota; the request has not run: send fewer\n",
            Self::TimedOut => "the time of the request is over; it may have run\n",
        }
    }

    /// When the caller may retry, if a retry could be served.
    fn retry_after(self) -> Option<Duration> {
        match self {
            Self::NotRun { retry_after } | Self::OverQuota { retry_after } => Some(retry_after),
            Self::OutOfMemory => Some(MEMORY_RETRY_AFTER),
            _ => None,
        }
    }

    /// The whole answer.
    pub fn to_bytes(self, dialect: &Dialect, delivery: Delivery) -> Vec<u8> {
        let mut bytes = status_line(self.status());
        if let Some(retry_after) = self.retry_after() {
            let seconds = format!("{:.3}", retry_after.as_secs_f64());
            add_field(&mut bytes, b"Retry-After", seconds.as_bytes());
        }
        if self == Self::Unauthorized {
            add_field(&mut bytes, b"WWW-Authenticate", dialect.key_scheme.as_bytes());
        }
        add_field(&mut bytes, b"Content-Type", b"text/plain");
        finish(bytes, self.text().as_bytes(), delivery)
    }
}

/// A merged answer.
pub struct MergedAnswer {
    /// The attestations of the parts received.
    pub attestations: Vec<Vec<u8>>,
    /// Number of missing parts.
    pub missing: usize,
    /// The merged records, encoded.
    pub records: Vec<u8>,
    /// When the answer was complete enough to be sent.
    pub due: Timestamp,
}

impl MergedAnswer {
    /// The whole answer.
    pub fn to_bytes(&self, dialect: &Dialect, delivery: Delivery) -> Vec<u8> {
        let mut bytes = status_line(200);
        let attestations = self.attestations.join(&b", "[..]);
        add_field(&mut bytes, dialect.part_attestations.as_bytes(), &attestations);
        let missing = self.missing.to_string();
        add_field(&mut bytes, dialect.missing_parts.as_bytes(), missing.as_bytes());
        add_field(&mut bytes, b"Content-Type", b"application/octet-stream");
        finish(bytes, &self.records, delivery)
    }
}

/// How a relayed body is framed towards the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayFraming {
    /// The complete body follows with the head.
    Whole,
    /// The leaf stated the length of the body.
    Length(u64),
    /// Chunked transfer coding.
    Chunked,
    /// No body.
    None,
}

/// Encodes the head of a relayed reply; returns it with the framing of the body.
pub fn relayed_head(reply: &LeafReply, keep_alive: bool) -> (Vec<u8>, RelayFraming) {
    let mut bytes = status_line(reply.head.status);
    let headers = &reply.head.headers;
    let bodiless = reply.head_only || matches!(reply.head.status, 100..=199 | 204 | 304);
    for (name, value) in headers.iter() {
        let is_length = name.eq_ignore_ascii_case(b"content-length");
        if !headers.is_hop_by_hop(name) && (!is_length || bodiless) {
            add_field(&mut bytes, name, value);
        }
    }
    let framing = match (bodiless, &reply.rest, reply.framing) {
        (true, _, _) => RelayFraming::None,
        (_, None, _) => RelayFraming::Whole,
        (_, Some(_), BodyFraming::Length(length)) => RelayFraming::Length(length),
        _ => RelayFraming::Chunked,
    };
    match framing {
        RelayFraming::None => {}
        RelayFraming::Whole => add_length(&mut bytes, reply.body.len() as u64),
        RelayFraming::Length(length) => add_length(&mut bytes, length),
        RelayFraming::Chunked => add_field(&mut bytes, b"Transfer-Encoding", b"chunked"),
    }
    add_connection(&mut bytes, keep_alive);
    bytes.extend_from_slice(b"\r\n");
    (bytes, framing)
}

fn finish(mut bytes: Vec<u8>, body: &[u8], delivery: Delivery) -> Vec<u8> {
    add_length(&mut bytes, body.len() as u64);
    add_connection(&mut bytes, delivery.keep_alive);
    bytes.extend_from_slice(b"\r\n");
    if !delivery.head_only {
        bytes.extend_from_slice(body);
    }
    bytes
}

fn add_length(bytes: &mut Vec<u8>, length: u64) {
    add_field(bytes, b"Content-Length", length.to_string().as_bytes());
}

fn add_connection(bytes: &mut Vec<u8>, keep_alive: bool) {
    if !keep_alive {
        add_field(bytes, b"Connection", b"close");
    }
}

fn status_line(status: u16) -> Vec<u8> {
    let reason = http::StatusCode::from_u16(status).ok();
    let reason = reason.and_then(|status| status.canonical_reason()).unwrap_or("Unknown");
    format!("HTTP/1.1 {status} {reason}\r\n").into_bytes()
}
