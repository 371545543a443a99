//! Length-prefixed framing.

use std::io::Cursor;
use std::marker::PhantomData;

use binrw::meta::{ReadEndian, WriteEndian};
use binrw::{BinRead, BinWrite};
use bytes::{Buf, BytesMut};
use monoio_codec::{Decoded, Decoder};

use crate::ProtocolError;

/// Size of the length prefix in bytes.
const LENGTH_BYTES: usize = 4;
/// Maximum size of a frame body in bytes: the full catalog of the largest planned cluster, with
/// headroom.
pub const MAXIMUM_FRAME_BYTES: usize = 16 * 1024 * 1024;

/// A message that is sent as one frame.
pub trait Frame:
    for<'a> BinRead<Args<'a> = ()> + ReadEndian + for<'a> BinWrite<Args<'a> = ()> + WriteEndian
{
}

impl<T> Frame for T where
    T: for<'a> BinRead<Args<'a> = ()> + ReadEndian + for<'a> BinWrite<Args<'a> = ()> + WriteEndian
{
}

/// Encodes a message as one frame.
///
/// # Errors
/// [`ProtocolError::FrameTooLarge`] if the message exceeds [`MAXIMUM_FRAME_BYTES`], and
/// [`ProtocolError::Malformed`] if it cannot be encoded.
pub fn encode_frame<M: Frame>(message: &M) -> Result<Vec<u8>, ProtocolError> {
    let mut cursor = Cursor::new(vec![0; LENGTH_BYTES]);
    cursor.set_position(LENGTH_BYTES as u64);
    message.write(&mut cursor).map_err(|error| ProtocolError::Malformed(error.to_string()))?;
    let mut bytes = cursor.into_inner();
    let length = bytes.len() - LENGTH_BYTES;
    check_length(length)?;
    bytes[..LENGTH_BYTES].copy_from_slice(&(length as u32).to_be_bytes());
    Ok(bytes)
}

fn check_length(length: usize) -> Result<(), ProtocolError> {
    if length > MAXIMUM_FRAME_BYTES {
        return Err(ProtocolError::FrameTooLarge(length, MAXIMUM_FRAME_BYTES));
    }
    Ok(())
}

/// Decodes the length of the next frame's body, in bytes, and leaves the frame in the buffer.
pub struct LengthCodec;

impl Decoder for LengthCodec {
    type Item = usize;
    type Error = ProtocolError;

    fn decode(&mut self, source: &mut BytesMut) -> Result<Decoded<usize>, ProtocolError> {
        let Some(header) = source.first_chunk::<LENGTH_BYTES>() else {
            return Ok(Decoded::Insufficient);
        };
        let length = u32::from_be_bytes(*header) as usize;
        check_length(length)?;
        Ok(Decoded::Some(length))
    }
}

/// Decodes frames of one message type.
pub struct FrameCodec<M> {
    message: PhantomData<M>,
}

impl<M> Default for FrameCodec<M> {
    fn default() -> Self {
        Self { message: PhantomData }
    }
}

impl<M: Frame> Decoder for FrameCodec<M> {
    type Item = M;
    type Error = ProtocolError;

    fn decode(&mut self, source: &mut BytesMut) -> Result<Decoded<M>, ProtocolError> {
        let Some(header) = source.first_chunk::<LENGTH_BYTES>() else {
            return Ok(Decoded::Insufficient);
        };
        let length = u32::from_be_bytes(*header) as usize;
        check_length(length)?;
        let frame_length = LENGTH_BYTES + length;
        if source.len() < frame_length {
            return Ok(Decoded::InsufficientAtLeast(frame_length));
        }
        let body = &source[LENGTH_BYTES..frame_length];
        let mut cursor = Cursor::new(body);
        let message =
            M::read(&mut cursor).map_err(|error| ProtocolError::Malformed(error.to_string()))?;
        if cursor.position() as usize != length {
            return Err(ProtocolError::Malformed("bytes after the message".into()));
        }
        source.advance(frame_length);
        Ok(Decoded::Some(message))
    }
}
