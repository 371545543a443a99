//! Frames of other processes, charged for the memory that they take while they arrive.

use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use gingerkeel_domain::memory::Activity;
use gingerkeel_protocol::{Frame, FrameCodec, LengthCodec, ProtocolError};
use gingerkeel_transport::{MemoryCharge, MemoryShare};
use monoio::io::OwnedReadHalf;
use monoio::net::TcpStream;
use monoio::time::timeout;
use monoio_codec::FramedRead;

/// Capacity of a read buffer that is kept between frames, in bytes.
const KEPT_BUFFER_BYTES: usize = 16 * 1024;

/// Reads the frames of one connection.
pub struct FrameReader {
    framed: FramedRead<OwnedReadHalf<TcpStream>, ()>,
    share: Rc<MemoryShare>,
    charge: MemoryCharge,
}

impl FrameReader {
    /// Creates a reader whose frames are charged to a connection.
    pub fn new(half: OwnedReadHalf<TcpStream>, share: Rc<MemoryShare>) -> Self {
        let charge = MemoryCharge::none(&share);
        Self { framed: FramedRead::new(half, ()), share, charge }
    }

    /// The next frame; none at the end of the connection.
    ///
    /// # Errors
    /// A [`ProtocolError`] for a malformed frame, one that does not arrive `within` this time or for
    /// which there is no room, or a socket error.
    pub async fn next<M: Frame>(&mut self, within: Duration) -> Result<Option<M>, ProtocolError> {
        let share = self.share.clone();
        monoio::select! {
            biased;
            frame = timeout(within, self.read()) => {
                frame.unwrap_or(Err(ProtocolError::TimedOut("no whole frame in time")))
            }
            () = share.evicted() => Err(ProtocolError::NoRoom),
        }
    }

    async fn read<M: Frame>(&mut self) -> Result<Option<M>, ProtocolError> {
        let Some(length) = self.framed.next_with(&mut LengthCodec).await.transpose()? else {
            return Ok(None);
        };
        self.share.set_activity(Activity::Receiving);
        let charged = self.charge.raise_to(length.saturating_sub(KEPT_BUFFER_BYTES)).await;
        charged.map_err(|_| ProtocolError::NoRoom)?;
        let frame = self.framed.next_with(&mut FrameCodec::<M>::default()).await.transpose()?;
        self.release_buffer();
        self.share.set_activity(Activity::Idle);
        Ok(frame)
    }

    /// Frees the buffer of a large frame.
    fn release_buffer(&mut self) {
        let buffer = self.framed.read_buffer_mut();
        if buffer.is_empty() && buffer.capacity() > KEPT_BUFFER_BYTES {
            *buffer = BytesMut::new();
        }
        if buffer.capacity() <= KEPT_BUFFER_BYTES {
            self.charge.lower_to(0);
        }
    }
}
