//! Buffered reader over the read half of a connection.

use std::cell::RefCell;
use std::future::{Future, poll_fn};
use std::io;
use std::pin::pin;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use monoio::io::{AsyncReadRent, OwnedReadHalf};
use monoio::net::TcpStream;
use monoio::time::sleep;
use quick_error::quick_error;

use std::rc::Rc;

use crate::memory::{MemoryCharge, MemoryShare, MemoryShortage};

use super::body::BodyDecoder;
use super::head::{HeadError, RequestHead, ResponseHead, parse_request, parse_response};

/// Size of a read buffer, in bytes.
const READ_BYTES: usize = 4 * 1024;
/// Maximum number of idle read buffers per thread: as many as a scatter to tens of leaves uses at a
/// time, at a negligible memory cost (128 KiB).
const MAX_IDLE_BUFFERS: usize = 32;
/// Longest time for which a body is read without waiting for its sender.
const MAX_BUSY_TIME: Duration = Duration::from_millis(2);
/// Pause after [`MAX_BUSY_TIME`]. The runtime switches tasks and runs timers only when a task waits,
/// and a sender that is faster than the reader never lets it wait.
const BUSY_PAUSE: Duration = Duration::from_millis(1);

thread_local! {
    /// Pool of idle read buffers. Without the pool, a read of a few hundred bytes spends more time on
    /// allocating its buffer than on the socket.
    static BUFFERS: RefCell<Vec<Vec<u8>>> = const { RefCell::new(Vec::new()) };
}

fn take_buffer() -> Vec<u8> {
    let kept = BUFFERS.with_borrow_mut(Vec::pop);
    kept.unwrap_or_else(|| Vec::with_capacity(READ_BYTES))
}

fn recycle_buffer(mut buffer: Vec<u8>) {
    BUFFERS.with_borrow_mut(|buffers| {
        if buffers.len() < MAX_IDLE_BUFFERS {
            buffer.clear();
            buffers.push(buffer);
        }
    });
}

quick_error! {
    /// An error while reading a message; the connection must not be used any more.
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
        /// The message did not end in time.
        TimedOut {
            display("the message did not end in time: check the sender, or allow more time")
        }
        /// The head or the framing is invalid.
        Head(error: HeadError) {
            from()
            display("{error}")
        }
        /// The memory for connections is used up.
        Memory(error: MemoryShortage) {
            from()
            display("{error}")
        }
    }
}

/// The read half of a connection, with the bytes that are received but not yet consumed.
pub struct HttpReader {
    half: OwnedReadHalf<TcpStream>,
    buffer: BytesMut,
    /// Charge for the buffer beyond the first [`READ_BYTES`]; none if it is not accounted for.
    charge: Option<MemoryCharge>,
    /// Since when the body has been read without waiting for its sender.
    busy_since: Option<Instant>,
}

impl HttpReader {
    /// Creates a reader with an empty buffer.
    pub fn new(half: OwnedReadHalf<TcpStream>) -> Self {
        Self { half, buffer: BytesMut::new(), charge: None, busy_since: None }
    }

    /// Creates a reader whose buffer is charged to a connection.
    pub fn accounted(half: OwnedReadHalf<TcpStream>, share: &Rc<MemoryShare>) -> Self {
        Self { charge: Some(MemoryCharge::none(share)), ..Self::new(half) }
    }

    /// Whether the buffer holds no unconsumed bytes.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Number of unconsumed bytes in the buffer.
    pub fn buffered(&self) -> usize {
        self.buffer.len()
    }

    /// Frees the buffer if it holds no bytes, for a connection that may stay idle.
    pub fn release_buffer(&mut self) {
        if self.buffer.is_empty() {
            self.buffer = BytesMut::new();
            self.charge.iter_mut().for_each(|charge| charge.lower_to(0));
        }
    }

    /// Charges the room for one more read. Cancel-safe.
    ///
    /// # Errors
    /// [`MemoryShortage::NoRoom`].
    pub async fn charge_read(&mut self) -> Result<(), MemoryShortage> {
        if self.buffer.is_empty() && self.buffer.capacity() > READ_BYTES {
            self.release_buffer();
        }
        match &mut self.charge {
            // A buffer that grows doubles its capacity.
            Some(charge) => charge.raise_to(2 * self.buffer.len()).await,
            None => Ok(()),
        }
    }

    /// Reads more bytes into the buffer; 0 if the peer has closed its side. Cancel-safe: a dropped
    /// wait loses no bytes.
    ///
    /// # Errors
    /// An [`io::Error`] if the socket fails.
    pub async fn fill(&mut self) -> io::Result<usize> {
        let (result, read) = self.half.read(take_buffer()).await;
        if let Ok(count) = result {
            self.buffer.extend_from_slice(&read[..count]);
        }
        recycle_buffer(read);
        result
    }

    /// Reads the head of a request of at most `limit` bytes; none if the peer closed the connection
    /// before the first byte.
    ///
    /// # Errors
    /// A [`ReadError`] if the head is invalid, too large or incomplete, or the socket fails.
    pub async fn request_head(&mut self, limit: usize) -> Result<Option<RequestHead>, ReadError> {
        self.busy_since = None;
        loop {
            if let Some(head) = parse_request(&mut self.buffer, limit)? {
                return Ok(Some(head));
            }
            self.charge_read().await?;
            if self.fill().await? == 0 {
                return if self.is_empty() { Ok(None) } else { Err(ReadError::ConnectionClosed) };
            }
        }
    }

    /// Reads the head of a response of at most `limit` bytes.
    ///
    /// # Errors
    /// A [`ReadError`] if the head is invalid, too large or incomplete, or the socket fails.
    pub async fn response_head(&mut self, limit: usize) -> Result<ResponseHead, ReadError> {
        self.busy_since = None;
        loop {
            if let Some(head) = parse_response(&mut self.buffer, limit)? {
                return Ok(head);
            }
            if self.fill().await? == 0 {
                return Err(ReadError::ConnectionClosed);
            }
        }
    }

    /// The next piece of a body; none once the body is complete. Pauses now and then, so that other
    /// tasks run while the sender is faster than the reader.
    ///
    /// # Errors
    /// A [`ReadError`]; [`ReadError::ConnectionClosed`] if the connection closed before the end of the
    /// body.
    pub async fn body_piece(
        &mut self,
        decoder: &mut BodyDecoder,
    ) -> Result<Option<Bytes>, ReadError> {
        self.pause_if_busy().await;
        loop {
            if let Some(piece) = decoder.decode(&mut self.buffer)? {
                return Ok(Some(piece));
            }
            if decoder.is_done() {
                return Ok(None);
            }
            if self.fill_noting_wait().await? == 0 {
                let complete = decoder.ends_with_connection();
                return if complete { Ok(None) } else { Err(ReadError::ConnectionClosed) };
            }
        }
    }

    async fn pause_if_busy(&mut self) {
        let since = *self.busy_since.get_or_insert_with(Instant::now);
        if since.elapsed() >= MAX_BUSY_TIME {
            sleep(BUSY_PAUSE).await;
            self.busy_since = None;
        }
    }

    /// Like [`Self::fill`]; notes whether it had to wait for the sender.
    async fn fill_noting_wait(&mut self) -> Result<usize, ReadError> {
        self.charge_read().await?;
        let mut has_waited = false;
        let count = {
            let mut filling = pin!(self.fill());
            poll_fn(|context| {
                let polled = filling.as_mut().poll(context);
                has_waited |= polled.is_pending();
                polled
            })
            .await?
        };
        if has_waited {
            self.busy_since = None;
        }
        Ok(count)
    }

    /// Reads and discards up to `limit` bytes until the peer closes its side. Closing a connection
    /// with unread bytes resets it, and the peer could lose its response.
    pub async fn discard(&mut self, limit: usize) {
        let mut discarded = self.buffer.len();
        self.buffer.clear();
        while discarded <= limit {
            match self.fill().await {
                Ok(count) if count > 0 => discarded += count,
                _ => return,
            }
            self.buffer.clear();
        }
    }
}
