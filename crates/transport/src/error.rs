//! Errors of an HTTP connection.

use std::io;

use http::StatusCode;
use monoio_http::common::error::HttpError;
use quick_error::quick_error;

use crate::http1::HeadError;
use crate::memory::MemoryShortage;

quick_error! {
    /// An error of an HTTP connection; the connection must not be used any more.
    #[derive(Debug)]
    pub enum TransportError {
        /// The head exceeds the limit in bytes.
        HeadTooLarge(limit: usize) {
            display("the head exceeds {limit} bytes: send fewer or shorter headers")
        }
        /// The body exceeds the limit in bytes.
        BodyTooLarge(limit: usize) {
            display("the body exceeds {limit} bytes: send a shorter body, or raise the limit in the settings")
        }
        /// The message is not valid HTTP/1.1.
        Malformed(reason: String) {
            display("not a valid HTTP/1.1 message ({reason}): check the sender")
        }
        /// The memory for connections is used up.
        OutOfMemory(error: MemoryShortage) {
            from()
            display("{error}")
        }
        /// The message was not received, or the response not written, in time.
        TimedOut {
            display("the message did not arrive in time: send it faster, or raise the limit in the settings")
        }
        /// The peer closed the connection within a message.
        ConnectionClosed {
            display("the connection closed within a message: send the request again if it may be repeated")
        }
        /// The socket failed.
        Socket(error: io::Error) {
            from()
            source(error)
            display("socket error ({error}): check that the peer runs and is reachable")
        }
    }
}

impl TransportError {
    /// Status of the response to a request that failed to arrive.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::HeadTooLarge(_) => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::BodyTooLarge(_) => StatusCode::PAYLOAD_TOO_LARGE,
            Self::TimedOut => StatusCode::REQUEST_TIMEOUT,
            Self::OutOfMemory(_) => StatusCode::SERVICE_UNAVAILABLE,
            Self::Malformed(_) | Self::ConnectionClosed | Self::Socket(_) => {
                StatusCode::BAD_REQUEST
            }
        }
    }
}

impl From<HeadError> for TransportError {
    fn from(error: HeadError) -> Self {
        Self::Malformed(error.to_string())
    }
}

impl From<HttpError> for TransportError {
    fn from(error: HttpError) -> Self {
        match error {
            HttpError::IOError(error) => Self::Socket(error),
            error => Self::Malformed(error.to_string()),
        }
    }
}
