//! HTTP/1.1 connections that forward: heads by `httparse`, framing and bodies piece by piece.
//!
//! `monoio-http` collects a body with a length before it hands it on, and takes a response with
//! neither a length nor chunks for one without a body. Forwarding needs both otherwise; the
//! choice is weighed in `docs/design/forwarding.md`.

mod body;
mod framing;
mod head;
mod reader;

pub use body::BodyDecoder;
pub use framing::{BodyFraming, request_framing, response_framing};
pub use head::{HeadError, Headers, RequestHead, ResponseHead, parse_request, parse_response};
pub use reader::{HttpReader, ReadError};
