//! The side of a connection that answers requests.

use bytes::BytesMut;
use monoio::io::sink::{Sink, SinkExt};
use monoio::io::{OwnedReadHalf, OwnedWriteHalf, Splitable};
use monoio::net::TcpStream;
use monoio::time::timeout;
use monoio_codec::{Decoded, Decoder, FramedRead};
use monoio_http::common::request::RequestHead;
use monoio_http::h1::codec::encoder::GenericEncoder;
use monoio_http::h1::payload::Payload;

use crate::message::{HttpRequest, HttpResponse, RequestDecoder, payload, read_message};
use crate::{Limits, TransportError};

/// A connection on which a peer sends requests.
pub struct ServerConnection {
    reader: RequestReader,
    writer: ResponseWriter,
}

/// The half of a server connection that reads requests.
pub struct RequestReader {
    framed: FramedRead<OwnedReadHalf<TcpStream>, ()>,
    limits: Limits,
}

/// The half of a server connection that writes responses.
pub struct ResponseWriter {
    encoder: GenericEncoder<OwnedWriteHalf<TcpStream>>,
}

impl ServerConnection {
    /// Takes over an accepted socket.
    pub fn new(stream: TcpStream, limits: Limits) -> Self {
        // Latency is measured in milliseconds here; a socket without the option still works.
        let _ = stream.set_nodelay(true);
        let (read_half, write_half) = stream.into_split();
        Self {
            reader: RequestReader { framed: FramedRead::new(read_half, ()), limits },
            writer: ResponseWriter { encoder: GenericEncoder::new(write_half) },
        }
    }

    /// Reads the next request; none when the peer closed the connection between requests.
    ///
    /// # Errors
    /// A [`TransportError`] when the request is malformed, too large, too slow or cut short.
    pub async fn next_request(&mut self) -> Result<Option<HttpRequest>, TransportError> {
        self.reader.next_request().await
    }

    /// Writes a response.
    ///
    /// # Errors
    /// A [`TransportError`] when the socket fails.
    pub async fn respond(&mut self, response: HttpResponse) -> Result<(), TransportError> {
        self.writer.respond(response).await
    }

    /// Splits the connection, so that one task reads while another one writes.
    pub fn into_split(self) -> (RequestReader, ResponseWriter) {
        (self.reader, self.writer)
    }
}

/// Takes whatever has arrived.
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
    /// Waits for the first byte of the next request; false when the peer closed the connection.
    /// Nothing is lost when the wait is given up.
    ///
    /// # Errors
    /// A [`TransportError`] when the socket fails.
    pub async fn wait(&mut self) -> Result<bool, TransportError> {
        if !self.framed.read_buffer().is_empty() {
            return Ok(true);
        }
        Ok(!self.framed.peek_data().await?.is_empty())
    }

    /// Reads and drops up to `limit` bytes until the peer closes the connection, so that closing
    /// it here does not reset it before the peer has read its response.
    pub async fn discard(&mut self, limit: usize) {
        let mut dropped = 0;
        while let Some(Ok(count)) = self.framed.next_with(&mut Discard).await {
            dropped += count;
            if dropped > limit {
                return;
            }
        }
    }

    /// Reads the next request; none when the peer closed the connection between requests.
    ///
    /// # Errors
    /// A [`TransportError`] when the request is malformed, too large, too slow or cut short.
    pub async fn next_request(&mut self) -> Result<Option<HttpRequest>, TransportError> {
        if !self.wait().await? {
            return Ok(None);
        }
        let reading =
            read_message::<_, RequestDecoder, RequestHead>(&mut self.framed, &self.limits);
        let message = timeout(self.limits.message_time, reading)
            .await
            .map_err(|_| TransportError::TimedOut)??;
        Ok(message.map(|(head, body)| HttpRequest::from_parts(head, body)))
    }
}

impl ResponseWriter {
    /// Writes a response.
    ///
    /// # Errors
    /// A [`TransportError`] when the socket fails.
    pub async fn respond(&mut self, response: HttpResponse) -> Result<(), TransportError> {
        let (mut head, body) = response.into_parts();
        if body.is_empty() {
            head.headers.insert(http::header::CONTENT_LENGTH, http::HeaderValue::from_static("0"));
        }
        let response = http::Response::from_parts(head, payload(body));
        self.encoder.send_and_flush(response).await?;
        Ok(())
    }
    /// Tells the peer that nothing more will be sent.
    ///
    /// # Errors
    /// A [`TransportError`] when the socket fails.
    pub async fn close(&mut self) -> Result<(), TransportError> {
        Sink::<http::Response<Payload>>::close(&mut self.encoder).await?;
        Ok(())
    }
}
