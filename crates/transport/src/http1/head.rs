//! Heads of requests and responses.

use std::fmt;

use std::mem::MaybeUninit;
use std::ops::Range;

use bytes::{Buf, Bytes, BytesMut};
use quick_error::quick_error;

/// Most headers of one head.
const HEADER_LIMIT: usize = 96;

quick_error! {
    /// A head that is not valid.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum HeadError {
        /// It is no HTTP/1.1.
        Malformed(reason: String) {
            display("not a valid HTTP/1.1 head ({reason}): check the sender")
        }
        /// Its length is declared more than once, or not readably.
        Framing {
            display("the length of the message is not clear: declare it once, by a length or as chunked")
        }
        /// It is larger than the limit, or has too many headers.
        TooLarge(limit: usize) {
            display("the head exceeds {limit} bytes or {} headers: send fewer or shorter headers", HEADER_LIMIT)
        }
    }
}

/// Where a header field lies in the text of its head.
#[derive(Debug, Clone)]
struct Field {
    name: Range<usize>,
    value: Range<usize>,
}

/// The header fields of a message, in their order.
#[derive(Clone, Default)]
pub struct Headers {
    /// The whole head, start line included.
    text: Bytes,
    fields: Vec<Field>,
}

impl fmt::Debug for Headers {
    /// Without values: a caller's key may be one of them.
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
    /// The first value of a field, without regard to case.
    pub fn get(&self, name: &str) -> Option<&[u8]> {
        let same = |(field, _): &(&[u8], &[u8])| field.eq_ignore_ascii_case(name.as_bytes());
        self.iter().find(same).map(|(_, value)| value)
    }

    /// The first value of a field as text.
    pub fn text(&self, name: &str) -> Option<&str> {
        std::str::from_utf8(self.get(name)?).ok()
    }

    /// All values of a field, without regard to case.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        let same = |(field, _): &(&[u8], &[u8])| field.eq_ignore_ascii_case(name.as_bytes());
        self.iter().filter(same).map(|(_, value)| value)
    }

    /// All fields, as name and value.
    pub fn iter(&self) -> impl Iterator<Item = (&[u8], &[u8])> {
        let text = &self.text;
        self.fields.iter().map(|field| (&text[field.name.clone()], &text[field.value.clone()]))
    }

    /// Whether a field that lists words names this one.
    pub fn contains_token(&self, name: &str, word: &str) -> bool {
        self.all(name).any(|value| {
            let words = value.split(|byte| *byte == b',');
            words
                .into_iter()
                .any(|listed| listed.trim_ascii().eq_ignore_ascii_case(word.as_bytes()))
        })
    }

    /// Whether a field concerns one connection only and is not forwarded.
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
    /// The method.
    pub method: String,
    /// Path and query as sent.
    pub target: String,
    /// Whether it is HTTP/1.0.
    pub is_http_10: bool,
    /// Its header fields.
    pub headers: Headers,
}

impl RequestHead {
    /// The path without the query.
    pub fn path(&self) -> &str {
        self.target.split_once('?').map_or(self.target.as_str(), |(path, _)| path)
    }

    /// Whether the connection stays open after this request, as far as the sender says.
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
    /// The status.
    pub status: u16,
    /// Whether it is HTTP/1.0.
    pub is_http_10: bool,
    /// Its header fields.
    pub headers: Headers,
}

impl ResponseHead {
    /// Whether the connection stays open after this response, as far as the sender says.
    pub fn keeps_alive(&self) -> bool {
        if self.headers.contains_token("connection", "close") {
            return false;
        }
        !self.is_http_10 || self.headers.contains_token("connection", "keep-alive")
    }
}

/// Takes the head of a request off the front of `buffer`; none when it is not whole.
///
/// # Errors
/// A [`HeadError`] when it is not valid or exceeds `limit` bytes.
pub fn parse_request(
    buffer: &mut BytesMut,
    limit: usize,
) -> Result<Option<RequestHead>, HeadError> {
    let mut fields = [const { MaybeUninit::uninit() }; HEADER_LIMIT];
    let mut parsed = httparse::Request::new(&mut []);
    let length = match parsed.parse_with_uninit_headers(buffer, &mut fields) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return incomplete(buffer.len(), limit),
        Err(error) => return Err(fault(error, limit)),
    };
    check_length(length, limit)?;
    let method = parsed.method.unwrap_or_default().to_owned();
    let target = parsed.path.unwrap_or_default().to_owned();
    let is_http_10 = parsed.version == Some(0);
    let places = places(buffer, parsed.headers);
    let headers = take_headers(buffer, length, places);
    Ok(Some(RequestHead { method, target, is_http_10, headers }))
}

/// Takes the head of a response off the front of `buffer`; none when it is not whole.
///
/// # Errors
/// A [`HeadError`] when it is not valid or exceeds `limit` bytes.
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
        Err(error) => return Err(fault(error, limit)),
    };
    check_length(length, limit)?;
    let status = parsed.code.unwrap_or_default();
    let is_http_10 = parsed.version == Some(0);
    let places = places(buffer, parsed.headers);
    let headers = take_headers(buffer, length, places);
    Ok(Some(ResponseHead { status, is_http_10, headers }))
}

fn incomplete<T>(buffered: usize, limit: usize) -> Result<Option<T>, HeadError> {
    check_length(buffered, limit)?;
    Ok(None)
}

fn check_length(length: usize, limit: usize) -> Result<(), HeadError> {
    if length > limit { Err(HeadError::TooLarge(limit)) } else { Ok(()) }
}

fn fault(error: httparse::Error, limit: usize) -> HeadError {
    match error {
        httparse::Error::TooManyHeaders => HeadError::TooLarge(limit),
        error => HeadError::Malformed(error.to_string()),
    }
}

/// Where the fields lie in the buffer that they were parsed from.
fn places(buffer: &[u8], fields: &[httparse::Header<'_>]) -> Vec<Field> {
    let start = buffer.as_ptr() as usize;
    let range = |bytes: &[u8]| {
        let from = (bytes.as_ptr() as usize).saturating_sub(start);
        // An empty value may lie anywhere.
        if bytes.is_empty() { 0..0 } else { from..from + bytes.len() }
    };
    let place = |field: &httparse::Header<'_>| Field {
        name: range(field.name.as_bytes()),
        value: range(field.value),
    };
    fields.iter().map(place).collect()
}

fn take_headers(buffer: &mut BytesMut, length: usize, fields: Vec<Field>) -> Headers {
    // A copy of its own, so that the buffer's memory is not held by a head that lives on.
    let text = Bytes::copy_from_slice(&buffer[..length]);
    buffer.advance(length);
    Headers { text, fields }
}
