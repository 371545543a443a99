//! Server side of an HTTP connection.

use std::rc::Rc;

use bytes::BytesMut;
use http::Version;
use http::header::CONNECTION;
use monoio::io::sink::{Sink, SinkExt};
use monoio::io::{OwnedReadHalf, OwnedWriteHalf, Splitable};
use monoio::net::TcpStream;
use monoio::time::timeout;
use monoio_codec::{Decoded, Decoder, FramedRead};
use monoio_http::common::request::RequestHead;
use monoio_http::h1::codec::encoder::GenericEncoder;
use monoio_http::h1::payload::Payload;

use crate::memory::{MemoryCharge, MemoryShare};
use crate::message::{HttpRequest, HttpResponse, RequestDecoder, payload, read_message};
use crate::{Limits, TransportError};

/// A server connection; a peer sends requests on it.
pub struct ServerConnection {
    reader: RequestReader,
    writer: ResponseWriter,
}

/// The read half of a server connection.
pub struct RequestReader {
    framed: FramedRead<OwnedReadHalf<TcpStream>, ()>,
    limits: Limits,
    share: Option<Rc<MemoryShare>>,
}

/// A request with the charge for its body.
pub struct ReceivedRequest {
    /// The request.
    pub request: HttpRequest,
    /// Charge for the body; none if it is not accounted for, or there is none.
    pub charge: Option<MemoryCharge>,
    /// Whether the body was left unread: nothing more can be read on the connection.
    pub has_unread_body: bool,
}

/// The write half of a server connection.
pub struct ResponseWriter {
    encoder: GenericEncoder<OwnedWriteHalf<TcpStream>>,
}

impl ServerConnection {
    /// Wraps an accepted socket whose memory is not accounted for.
    pub fn new(stream: TcpStream, limits: Limits) -> Self {
        Self::with_share(stream, limits, None)
    }

    /// Wraps an accepted socket; the bodies of its requests are charged.
    pub fn accounted(stream: TcpStream, limits: Limits, share: Rc<MemoryShare>) -> Self {
        Self::with_share(stream, limits, Some(share))
    }

    fn with_share(stream: TcpStream, limits: Limits, share: Option<Rc<MemoryShare>>) -> Self {
        // Nagle's algorithm would add milliseconds of latency; a socket without the option works.
        let _ = stream.set_nodelay(true);
        let (read_half, write_half) = stream.into_split();
        Self {
            reader: RequestReader { framed: FramedRead::new(read_half, ()), limits, share },
            writer: ResponseWriter { encoder: GenericEncoder::new(write_half) },
        }
    }

    /// Reads the next request; none if the peer closed the connection between requests.
    ///
    /// # Errors
    /// A [`TransportError`] if the request is malformed, too large, too slow or incomplete.
    pub async fn next_request(&mut self) -> Result<Option<HttpRequest>, TransportError> {
        let received = self.reader.next_request(|_| true).await?;
        Ok(received.map(|received| received.request))
    }

    /// Writes and flushes a response.
    ///
    /// # Errors
    /// A [`TransportError`] if the socket fails.
    pub async fn respond(&mut self, response: HttpResponse) -> Result<(), TransportError> {
        self.writer.respond(response).await
    }

    /// Splits the connection, so that reads and writes can be pending at the same time.
    pub fn into_split(self) -> (RequestReader, ResponseWriter) {
        (self.reader, self.writer)
    }
}

/// Decoder that discards all buffered bytes and returns their number.
struct Discard;

impl Decoder for Discard {
    type Item = usize;
    type Error = TransportError;

    fn decode(&mut self, source: &mut BytesMut) -> Result<Decoded<usize>, TransportError> {
        let count = source.len();
        source.clear();
        Ok(if count > 0 { Decoded::Some(count) } else { Decoded::Insufficient })
    }
}

impl RequestReader {
    /// Waits for the first byte of the next request; false if the peer closed the connection.
    /// Cancel-safe: a cancelled wait loses no bytes.
    ///
    /// # Errors
    /// A [`TransportError`] if the socket fails.
    pub async fn wait(&mut self) -> Result<bool, TransportError> {
        if !self.framed.read_buffer().is_empty() {
            return Ok(true);
        }
        Ok(!self.framed.peek_data().await?.is_empty())
    }

    /// Reads and discards up to `limit` bytes until the peer closes the connection. Closing a
    /// connection with unread bytes resets it, and the peer could lose its response.
    pub async fn discard(&mut self, limit: usize) {
        let mut discarded = 0;
        while let Some(Ok(count)) = self.framed.next_with(&mut Discard).await {
            discarded += count;
            if discarded > limit {
                return;
            }
        }
    }

    /// Reads the next request; none if the peer closed the connection between requests. A long
    /// body is read only if the head is one that `takes_body`.
    ///
    /// # Errors
    /// A [`TransportError`] if the request is malformed, too large, too slow or incomplete, or if
    /// there is no room for its body.
    pub async fn next_request(
        &mut self,
        takes_body: impl FnOnce(&RequestHead) -> bool,
    ) -> Result<Option<ReceivedRequest>, TransportError> {
        if !self.wait().await? {
            return Ok(None);
        }
        let share = self.share.as_ref();
        let reading =
            read_message::<_, RequestDecoder, _>(&mut self.framed, &self.limits, share, takes_body);
        let message = timeout(self.limits.message_time, reading)
            .await
            .map_err(|_| TransportError::TimedOut)??;
        Ok(message.map(|message| ReceivedRequest {
            request: HttpRequest::from_parts(message.head, message.body),
            charge: message.charge,
            has_unread_body: message.has_unread_body,
        }))
    }
}

/// Whether the sender of a request wants the connection closed after the response.
pub fn asks_to_close(request: &HttpRequest) -> bool {
    let option = request.headers().get(CONNECTION).and_then(|value| value.to_str().ok());
    match option {
        Some(option) if option.eq_ignore_ascii_case("close") => true,
        Some(option) if option.eq_ignore_ascii_case("keep-alive") => false,
        _ => request.version() < Version::HTTP_11,
    }
}

impl ResponseWriter {
    /// Writes and flushes a response.
    ///
    /// # Errors
    /// A [`TransportError`] if the socket fails.
    pub async fn respond(&mut self, response: HttpResponse) -> Result<(), TransportError> {
        let (mut head, body) = response.into_parts();
        if body.is_empty() {
            head.headers.insert(http::header::CONTENT_LENGTH, http::HeaderValue::from_static("0"));
        }
        let response = http::Response::from_parts(head, payload(body));
        self.encoder.send_and_flush(response).await?;
        Ok(())
    }

    /// Shuts down the write half; the peer reads an end of stream.
    ///
    /// # Errors
    /// A [`TransportError`] if the socket fails.
    pub async fn close(&mut self) -> Result<(), TransportError> {
        Sink::<http::Response<Payload>>::close(&mut self.encoder).await?;
        Ok(())
    }
}
