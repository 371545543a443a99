//! Ways in which an HTTP connection fails.

use std::io;

use monoio_http::common::error::HttpError;
use quick_error::quick_error;

quick_error! {
    /// A failure of one HTTP connection; the connection is of no further use.
    #[derive(Debug)]
    pub enum TransportError {
        /// The head is larger than the limit.
        HeadTooLarge(limit: usize) {
            display("the head exceeds {limit} bytes: send fewer or shorter headers")
        }
        /// The body is larger than the limit.
        BodyTooLarge(limit: usize) {
            display("the body exceeds {limit} bytes: send a shorter body, or raise the limit in the settings")
        }
        /// The message is not valid HTTP/1.1.
        Malformed(reason: String) {
            display("not a valid HTTP/1.1 message ({reason}): check the sender")
        }
        /// The peer did not send a whole message in time.
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

impl From<HttpError> for TransportError {
    fn from(error: HttpError) -> Self {
        match error {
            HttpError::IOError(error) => Self::Socket(error),
            error => Self::Malformed(error.to_string()),
        }
    }
}
