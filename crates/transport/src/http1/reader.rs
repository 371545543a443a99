//! The reading half of a connection, with what has arrived and was not taken.

use std::cell::RefCell;
use std::io;

use bytes::{Bytes, BytesMut};
use monoio::io::{AsyncReadRent, OwnedReadHalf};
use monoio::net::TcpStream;
use quick_error::quick_error;

use super::body::BodyDecoder;
use super::head::{HeadError, RequestHead, ResponseHead, parse_request, parse_response};

/// Bytes that are read at once.
const READ_BYTES: usize = 4 * 1024;
/// Buffers for reading that a thread keeps: as many as a scatter to tens of leaves uses at once, and few
/// enough that they do not show in the memory of a process (128 KiB).
const KEPT_BUFFERS: usize = 32;

thread_local! {
    /// Buffers for reading that are not in use. A read of a few hundred bytes would else spend more
    /// time on the allocation of its buffer than on the socket.
    static BUFFERS: RefCell<Vec<Vec<u8>>> = const { RefCell::new(Vec::new()) };
}

fn take_buffer() -> Vec<u8> {
    let kept = BUFFERS.with_borrow_mut(Vec::pop);
    kept.unwrap_or_else(|| Vec::with_capacity(READ_BYTES))
}

fn keep_buffer(mut buffer: Vec<u8>) {
    BUFFERS.with_borrow_mut(|buffers| {
        if buffers.len() < KEPT_BUFFERS {
            buffer.clear();
            buffers.push(buffer);
        }
    });
}

quick_error! {
    /// Why a message was not read; the connection is of no further use.
    #[derive(Debug)]
    pub enum ReadError {
        /// The socket failed.
        Socket(error: io::Error) {
            from()
            source(error)
            display("socket error ({error}): check that the peer runs and is reachable")
        }
        /// The peer closed the connection within a message.
        ConnectionClosed {
            display("the connection closed within a message: send the request again if it may be repeated")
        }
        /// The message is not valid.
        Head(error: HeadError) {
            from()
            display("{error}")
        }
    }
}

/// The reading half of a connection.
pub struct HttpReader {
    half: OwnedReadHalf<TcpStream>,
    buffer: BytesMut,
}

impl HttpReader {
    /// Reads from `half`.
    pub fn new(half: OwnedReadHalf<TcpStream>) -> Self {
        Self { half, buffer: BytesMut::new() }
    }

    /// Whether nothing has arrived that was not taken.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Bytes that have arrived and were not taken.
    pub fn buffered(&self) -> usize {
        self.buffer.len()
    }

    /// Waits for more bytes; 0 when the peer has closed its side. Nothing is lost when the wait
    /// is given up.
    ///
    /// # Errors
    /// An [`io::Error`] of the socket.
    pub async fn fill(&mut self) -> io::Result<usize> {
        let (result, read) = self.half.read(take_buffer()).await;
        if let Ok(count) = result {
            self.buffer.extend_from_slice(&read[..count]);
        }
        keep_buffer(read);
        result
    }

    /// Reads the head of a request; none when the peer closed the connection before it.
    ///
    /// # Errors
    /// A [`ReadError`].
    pub async fn request_head(&mut self, limit: usize) -> Result<Option<RequestHead>, ReadError> {
        loop {
            if let Some(head) = parse_request(&mut self.buffer, limit)? {
                return Ok(Some(head));
            }
            if self.fill().await? == 0 {
                return if self.is_empty() { Ok(None) } else { Err(ReadError::ConnectionClosed) };
            }
        }
    }

    /// Reads the head of a response.
    ///
    /// # Errors
    /// A [`ReadError`].
    pub async fn response_head(&mut self, limit: usize) -> Result<ResponseHead, ReadError> {
        loop {
            if let Some(head) = parse_response(&mut self.buffer, limit)? {
                return Ok(head);
            }
            if self.fill().await? == 0 {
                return Err(ReadError::ConnectionClosed);
            }
        }
    }

    /// The next piece of a body; none once it is whole.
    ///
    /// # Errors
    /// A [`ReadError`]; [`ReadError::ConnectionClosed`] when the connection closed before the end.
    pub async fn body_piece(
        &mut self,
        decoder: &mut BodyDecoder,
    ) -> Result<Option<Bytes>, ReadError> {
        loop {
            if let Some(piece) = decoder.decode(&mut self.buffer)? {
                return Ok(Some(piece));
            }
            if decoder.is_done() {
                return Ok(None);
            }
            if self.fill().await? == 0 {
                let complete = decoder.ends_with_connection();
                return if complete { Ok(None) } else { Err(ReadError::ConnectionClosed) };
            }
        }
    }

    /// Reads and drops up to `limit` bytes until the peer closes its side, so that closing the
    /// connection does not reset it before the peer has read its response.
    pub async fn discard(&mut self, limit: usize) {
        let mut dropped = self.buffer.len();
        self.buffer.clear();
        while dropped <= limit {
            match self.fill().await {
                Ok(count) if count > 0 => dropped += count,
                _ => return,
            }
            self.buffer.clear();
        }
    }
}
