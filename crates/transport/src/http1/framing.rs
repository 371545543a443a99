//! Message framing: how the end of a body is determined.

use super::head::{HeadError, Headers, ResponseHead};

/// How the end of a body is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyFraming {
    /// There is no body.
    None,
    /// The body has this length in bytes.
    Length(u64),
    /// The body ends with its last chunk.
    Chunked,
    /// The body ends when the peer closes the connection.
    UntilClose,
}

impl BodyFraming {
    /// Whether the body is known to have at most this length in bytes.
    pub fn is_at_most(self, bytes: u64) -> bool {
        match self {
            Self::None => true,
            Self::Length(length) => length <= bytes,
            Self::Chunked | Self::UntilClose => false,
        }
    }
}

/// Framing of a request's body.
///
/// # Errors
/// [`HeadError::Framing`] if the headers are ambiguous, so that two peers could disagree on it.
pub fn request_framing(headers: &Headers) -> Result<BodyFraming, HeadError> {
    match (is_chunked(headers)?, declared_length(headers)?) {
        (true, Some(_)) => Err(HeadError::Framing),
        (true, None) => Ok(BodyFraming::Chunked),
        (false, Some(0)) | (false, None) => Ok(BodyFraming::None),
        (false, Some(length)) => Ok(BodyFraming::Length(length)),
    }
}

/// Framing of the body of a response to a request of `method`.
///
/// # Errors
/// [`HeadError::Framing`] if the headers are ambiguous, so that two peers could disagree on it.
pub fn response_framing(method: &str, head: &ResponseHead) -> Result<BodyFraming, HeadError> {
    let bodiless = matches!(head.status, 100..=199 | 204 | 304) || method == "HEAD";
    if bodiless {
        return Ok(BodyFraming::None);
    }
    match (is_chunked(&head.headers)?, declared_length(&head.headers)?) {
        (true, Some(_)) => Err(HeadError::Framing),
        (true, None) => Ok(BodyFraming::Chunked),
        (false, Some(0)) => Ok(BodyFraming::None),
        (false, Some(length)) => Ok(BodyFraming::Length(length)),
        (false, None) => Ok(BodyFraming::UntilClose),
    }
}

fn is_chunked(headers: &Headers) -> Result<bool, HeadError> {
    let mut encodings = headers.all("transfer-encoding");
    let Some(encoding) = encodings.next() else {
        return Ok(false);
    };
    let only = encodings.next().is_none();
    if only && encoding.trim_ascii().eq_ignore_ascii_case(b"chunked") {
        Ok(true)
    } else {
        Err(HeadError::Framing)
    }
}

fn declared_length(headers: &Headers) -> Result<Option<u64>, HeadError> {
    let mut lengths = headers.all("content-length");
    let Some(length) = lengths.next() else {
        return Ok(None);
    };
    if lengths.next().is_some() || length.is_empty() || !length.iter().all(u8::is_ascii_digit) {
        return Err(HeadError::Framing);
    }
    let text = std::str::from_utf8(length).map_err(|_| HeadError::Framing)?;
    text.parse().map(Some).map_err(|_| HeadError::Framing)
}
