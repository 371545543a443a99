//! The side of a connection that answers requests.

use monoio::io::sink::SinkExt;
use monoio::io::{OwnedReadHalf, OwnedWriteHalf, Splitable};
use monoio::net::TcpStream;
use monoio::time::timeout;
use monoio_codec::FramedRead;
use monoio_http::common::request::RequestHead;
use monoio_http::h1::codec::encoder::GenericEncoder;

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

impl RequestReader {
    /// Reads the next request; none when the peer closed the connection between requests.
    ///
    /// # Errors
    /// A [`TransportError`] when the request is malformed, too large, too slow or cut short.
    pub async fn next_request(&mut self) -> Result<Option<HttpRequest>, TransportError> {
        if self.framed.read_buffer().is_empty() {
            let first = self.framed.peek_data().await?;
            if first.is_empty() {
                return Ok(None);
            }
        }
        let reading =
            read_message::<_, RequestDecoder, RequestHead>(&mut self.framed, &self.limits);
        let message = timeout(self.limits.message_time, reading)
            .await
            .map_err(|_| TransportError::Slow)??;
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
}
