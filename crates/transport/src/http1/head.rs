//! Parsing of request and response heads.

use std::fmt;
use std::mem::MaybeUninit;
use std::ops::Range;

use bytes::{Buf, Bytes, BytesMut};
use quick_error::quick_error;

use super::grammar;

/// Maximum number of header fields of a head.
const HEADER_LIMIT: usize = 96;

quick_error! {
    /// An invalid head.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum HeadError {
        /// The head is not valid HTTP/1.1.
        Malformed(reason: String) {
            display("not a valid HTTP/1.1 head ({reason}): check the sender")
        }
        /// The status code is none of a response.
        Status(status: u16) {
            display("the status {status} is not from 100 to 599: check the sender")
        }
        /// The length of the body is declared more than once, or is invalid.
        Framing {
            display("the length of the message is not clear: declare it once, by a length or as chunked")
        }
        /// The head exceeds the limit in bytes, or has too many header fields.
        TooLarge(limit: usize) {
            display("the head exceeds {limit} bytes or {} headers: send fewer or shorter headers", HEADER_LIMIT)
        }
    }
}

/// Byte ranges of a header field in the text of its head.
#[derive(Debug, Clone)]
struct Field {
    name: Range<usize>,
    value: Range<usize>,
}

/// The header fields of a message, in the order received.
#[derive(Clone, Default)]
pub struct Headers {
    /// Bytes of the head, including the start line.
    text: Bytes,
    fields: Vec<Field>,
}

impl fmt::Debug for Headers {
    /// Omits the values, which may include a caller's API key.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("Headers").field("fields", &self.fields.len()).finish()
    }
}

impl PartialEq for Headers {
    fn eq(&self, other: &Self) -> bool {
        self.iter().eq(other.iter())
    }
}

impl Eq for Headers {}

impl Headers {
    /// The first value of a field; the name is case-insensitive.
    pub fn get(&self, name: &str) -> Option<&[u8]> {
        let same = |(field, _): &(&[u8], &[u8])| field.eq_ignore_ascii_case(name.as_bytes());
        self.iter().find(same).map(|(_, value)| value)
    }

    /// The first value of a field as text; none if it is not UTF-8.
    pub fn text(&self, name: &str) -> Option<&str> {
        std::str::from_utf8(self.get(name)?).ok()
    }

    /// All values of a field; the name is case-insensitive.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        let same = |(field, _): &(&[u8], &[u8])| field.eq_ignore_ascii_case(name.as_bytes());
        self.iter().filter(same).map(|(_, value)| value)
    }

    /// Length of the head, in bytes.
    pub fn text_len(&self) -> usize {
        self.text.len()
    }

    /// All fields as pairs of name and value.
    pub fn iter(&self) -> impl Iterator<Item = (&[u8], &[u8])> {
        let text = &self.text;
        self.fields.iter().map(|field| (&text[field.name.clone()], &text[field.value.clone()]))
    }

    /// Whether a field with a comma-separated list contains a token, case-insensitively.
    pub fn contains_token(&self, name: &str, token: &str) -> bool {
        self.all(name).any(|value| {
            let words = value.split(|byte| *byte == b',');
            words
                .into_iter()
                .any(|listed| listed.trim_ascii().eq_ignore_ascii_case(token.as_bytes()))
        })
    }

    /// Whether a field is hop-by-hop: it applies to one connection only and is not forwarded.
    pub fn is_hop_by_hop(&self, name: &[u8]) -> bool {
        const HOP_BY_HOP: [&str; 9] = [
            "connection",
            "keep-alive",
            "proxy-connection",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
        ];
        let fixed = HOP_BY_HOP.iter().any(|known| name.eq_ignore_ascii_case(known.as_bytes()));
        fixed || std::str::from_utf8(name).is_ok_and(|name| self.contains_token("connection", name))
    }
}

/// Head of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestHead {
    /// Method, as sent.
    pub method: String,
    /// Request target, as sent: path and query.
    pub target: String,
    /// Whether the version is HTTP/1.0.
    pub is_http_10: bool,
    /// Header fields.
    pub headers: Headers,
}

impl RequestHead {
    /// Path of the target, without the query.
    pub fn path(&self) -> &str {
        self.target.split_once('?').map_or(self.target.as_str(), |(path, _)| path)
    }

    /// Whether the sender wants the connection kept open after this request.
    pub fn keeps_alive(&self) -> bool {
        if self.headers.contains_token("connection", "close") {
            return false;
        }
        !self.is_http_10 || self.headers.contains_token("connection", "keep-alive")
    }
}

/// Head of a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResponseHead {
    /// Status code.
    pub status: u16,
    /// Whether the version is HTTP/1.0.
    pub is_http_10: bool,
    /// Header fields.
    pub headers: Headers,
}

impl ResponseHead {
    /// Whether the sender keeps the connection open after this response.
    pub fn keeps_alive(&self) -> bool {
        if self.headers.contains_token("connection", "close") {
            return false;
        }
        !self.is_http_10 || self.headers.contains_token("connection", "keep-alive")
    }
}

/// Parses a request head and removes it from the front of `buffer`; none if it is incomplete.
///
/// # Errors
/// A [`HeadError`] if the head is invalid or exceeds `limit` bytes.
pub fn parse_request(
    buffer: &mut BytesMut,
    limit: usize,
) -> Result<Option<RequestHead>, HeadError> {
    let mut fields = [const { MaybeUninit::uninit() }; HEADER_LIMIT];
    let mut parsed = httparse::Request::new(&mut []);
    let length = match parsed.parse_with_uninit_headers(buffer, &mut fields) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return incomplete(buffer.len(), limit),
        Err(error) => return Err(head_error(error, limit)),
    };
    check_length(length, limit)?;
    let method = parsed.method.unwrap_or_default().to_owned();
    let target = parsed.path.unwrap_or_default().to_owned();
    let is_http_10 = parsed.version == Some(0);
    let field_ranges = field_ranges(buffer, parsed.headers);
    let headers = take_headers(buffer, length, field_ranges);
    Ok(Some(RequestHead { method, target, is_http_10, headers }))
}

/// Parses a response head and removes it from the front of `buffer`; none if it is incomplete.
///
/// # Errors
/// A [`HeadError`] if the head is invalid or exceeds `limit` bytes.
pub fn parse_response(
    buffer: &mut BytesMut,
    limit: usize,
) -> Result<Option<ResponseHead>, HeadError> {
    let mut fields = [const { MaybeUninit::uninit() }; HEADER_LIMIT];
    let mut parsed = httparse::Response::new(&mut []);
    let config = httparse::ParserConfig::default();
    let length = match config.parse_response_with_uninit_headers(&mut parsed, buffer, &mut fields) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return incomplete(buffer.len(), limit),
        Err(error) => return Err(head_error(error, limit)),
    };
    check_length(length, limit)?;
    let status = parsed.code.unwrap_or_default();
    if !grammar::is_status(status) {
        return Err(HeadError::Status(status));
    }
    let is_http_10 = parsed.version == Some(0);
    let field_ranges = field_ranges(buffer, parsed.headers);
    let headers = take_headers(buffer, length, field_ranges);
    Ok(Some(ResponseHead { status, is_http_10, headers }))
}

fn incomplete<T>(buffered: usize, limit: usize) -> Result<Option<T>, HeadError> {
    check_length(buffered, limit)?;
    Ok(None)
}

fn check_length(length: usize, limit: usize) -> Result<(), HeadError> {
    if length > limit { Err(HeadError::TooLarge(limit)) } else { Ok(()) }
}

fn head_error(error: httparse::Error, limit: usize) -> HeadError {
    match error {
        httparse::Error::TooManyHeaders => HeadError::TooLarge(limit),
        error => HeadError::Malformed(error.to_string()),
    }
}

/// Byte ranges of the fields in the buffer that they were parsed from.
fn field_ranges(buffer: &[u8], fields: &[httparse::Header<'_>]) -> Vec<Field> {
    let start = buffer.as_ptr() as usize;
    let range = |bytes: &[u8]| {
        let from = (bytes.as_ptr() as usize).saturating_sub(start);
        // The slice of an empty value may point anywhere.
        if bytes.is_empty() { 0..0 } else { from..from + bytes.len() }
    };
    let field_range = |field: &httparse::Header<'_>| Field {
        name: range(field.name.as_bytes()),
        value: range(field.value),
    };
    fields.iter().map(field_range).collect()
}

fn take_headers(buffer: &mut BytesMut, length: usize, fields: Vec<Field>) -> Headers {
    // Copied, so that a long-lived head does not keep the buffer allocated.
    let text = Bytes::copy_from_slice(&buffer[..length]);
    buffer.advance(length);
    Headers { text, fields }
}
