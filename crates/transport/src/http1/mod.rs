//! HTTP/1.1 for forwarding: heads are parsed by `httparse`, bodies are streamed.
//!
//! `monoio-http` is not used here: it buffers a body that has a length, and treats a response with
//! neither a length nor chunks as one without a body, where a proxy has to stream the body and read
//! until the connection closes. The trade-off is discussed in `docs/design/forwarding.md`.

mod body;
mod framing;
pub(crate) mod grammar;
mod head;
mod reader;

pub use body::BodyDecoder;
pub use framing::{BodyFraming, request_framing, response_framing};
pub use head::{HeadError, Headers, RequestHead, ResponseHead, parse_request, parse_response};
pub use reader::{HttpReader, ReadError};
