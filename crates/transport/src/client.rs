//! Client side of an HTTP connection.

use std::net::SocketAddr;

use http::StatusCode;
use monoio::io::sink::SinkExt;
use monoio::io::{OwnedReadHalf, OwnedWriteHalf, Splitable};
use monoio::net::TcpStream;
use monoio_codec::FramedRead;
use monoio_http::common::response::ResponseHead;
use monoio_http::h1::codec::encoder::GenericEncoder;

use crate::http1::HeadError;
use crate::http1::grammar::is_status;
use crate::message::{HttpRequest, HttpResponse, ResponseDecoder, payload, read_message};
use crate::{Limits, TransportError};

/// Maximum number of interim responses before a final one.
const MAX_INTERIM_RESPONSES: usize = 8;

/// A client connection; requests are sent one at a time.
pub struct ClientConnection {
    writer: RequestWriter,
    reader: ResponseReader,
}

/// The write half of a client connection.
pub struct RequestWriter {
    encoder: GenericEncoder<OwnedWriteHalf<TcpStream>>,
}

/// The read half of a client connection.
pub struct ResponseReader {
    framed: FramedRead<OwnedReadHalf<TcpStream>, ()>,
    limits: Limits,
}

impl ClientConnection {
    /// Connects to `address`.
    ///
    /// # Errors
    /// [`TransportError::Socket`] if the peer cannot be reached.
    pub async fn connect(address: SocketAddr, limits: Limits) -> Result<Self, TransportError> {
        let stream = TcpStream::connect_addr(address).await?;
        // Nagle's algorithm would add milliseconds of latency; a socket without the option works.
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
    /// The errors of [`RequestWriter::send`] and [`ResponseReader::receive`].
    pub async fn exchange(&mut self, request: HttpRequest) -> Result<HttpResponse, TransportError> {
        self.writer.send(request).await?;
        self.reader.receive().await
    }

    /// Splits the connection, so that a read can be pending while no request is in flight.
    pub fn into_split(self) -> (RequestWriter, ResponseReader) {
        (self.writer, self.reader)
    }
}

impl RequestWriter {
    /// Writes and flushes a request.
    ///
    /// # Errors
    /// A [`TransportError`] if the socket fails; part of the request may have been sent.
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
    /// A [`TransportError`] if the response is malformed or too large;
    /// [`TransportError::ConnectionClosed`] if the peer closed the connection before its end.
    pub async fn receive(&mut self) -> Result<HttpResponse, TransportError> {
        for _ in 0..=MAX_INTERIM_RESPONSES {
            let response = self.receive_any().await?;
            let status = response.status();
            if !is_status(status.as_u16()) || status == StatusCode::SWITCHING_PROTOCOLS {
                return Err(HeadError::Status(status.as_u16()).into());
            }
            if !status.is_informational() {
                return Ok(response);
            }
        }
        Err(TransportError::Malformed("too many interim responses".to_owned()))
    }

    /// Reads the next response, which may be an interim one.
    async fn receive_any(&mut self) -> Result<HttpResponse, TransportError> {
        let whole = |_: &ResponseHead| true;
        let reading =
            read_message::<_, ResponseDecoder, _>(&mut self.framed, &self.limits, None, whole);
        let message = reading.await?.ok_or(TransportError::ConnectionClosed)?;
        Ok(HttpResponse::from_parts(message.head, message.body))
    }
}
