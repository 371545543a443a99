//! The side of a connection that sends requests.

use std::net::SocketAddr;

use monoio::io::sink::SinkExt;
use monoio::io::{OwnedReadHalf, OwnedWriteHalf, Splitable};
use monoio::net::TcpStream;
use monoio_codec::FramedRead;
use monoio_http::common::response::ResponseHead;
use monoio_http::h1::codec::encoder::GenericEncoder;

use crate::message::{HttpRequest, HttpResponse, ResponseDecoder, payload, read_message};
use crate::{Limits, TransportError};

/// A connection on which this process sends requests, one at a time.
pub struct ClientConnection {
    writer: RequestWriter,
    reader: ResponseReader,
}

/// The half of a client connection that writes requests.
pub struct RequestWriter {
    encoder: GenericEncoder<OwnedWriteHalf<TcpStream>>,
}

/// The half of a client connection that reads responses.
pub struct ResponseReader {
    framed: FramedRead<OwnedReadHalf<TcpStream>, ()>,
    limits: Limits,
}

impl ClientConnection {
    /// Connects to `address`.
    ///
    /// # Errors
    /// [`TransportError::Socket`] when the peer cannot be reached.
    pub async fn connect(address: SocketAddr, limits: Limits) -> Result<Self, TransportError> {
        let stream = TcpStream::connect_addr(address).await?;
        // Latency is measured in milliseconds here; a socket without the option still works.
        let _ = stream.set_nodelay(true);
        let (read_half, write_half) = stream.into_split();
        Ok(Self {
            writer: RequestWriter { encoder: GenericEncoder::new(write_half) },
            reader: ResponseReader { framed: FramedRead::new(read_half, ()), limits },
        })
    }

    /// Sends a request and reads its response.
    ///
    /// # Errors
    /// A [`TransportError`] as of [`RequestWriter::send`] and [`ResponseReader::receive`].
    pub async fn exchange(&mut self, request: HttpRequest) -> Result<HttpResponse, TransportError> {
        self.writer.send(request).await?;
        self.reader.receive().await
    }

    /// Splits the connection, so that a read can wait while nothing is asked.
    pub fn into_split(self) -> (RequestWriter, ResponseReader) {
        (self.writer, self.reader)
    }
}

impl RequestWriter {
    /// Writes a request whole.
    ///
    /// # Errors
    /// A [`TransportError`] when the socket fails; a part of the request may have left.
    pub async fn send(&mut self, request: HttpRequest) -> Result<(), TransportError> {
        let (head, body) = request.into_parts();
        let request = http::Request::from_parts(head, payload(body));
        self.encoder.send_and_flush(request).await?;
        Ok(())
    }
}

impl ResponseReader {
    /// Reads the next response.
    ///
    /// # Errors
    /// A [`TransportError`] when the response is malformed, too large or cut short, and
    /// [`TransportError::ConnectionClosed`] when the peer closed the connection.
    pub async fn receive(&mut self) -> Result<HttpResponse, TransportError> {
        let message =
            read_message::<_, ResponseDecoder, ResponseHead>(&mut self.framed, &self.limits)
                .await?;
        let (head, body) = message.ok_or(TransportError::ConnectionClosed)?;
        Ok(HttpResponse::from_parts(head, body))
    }
}
