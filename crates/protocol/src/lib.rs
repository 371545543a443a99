//! Wire protocol between gingerkeel processes.
//!
//! A frame is a big-endian `u32` length followed by that many bytes, encoded with `binrw`.
//! Documents that are also stored on disk (the catalog and its changes) are embedded in frames as
//! `postcard`.

mod codec;
mod document;
mod error;
mod feed;
mod peer;
mod text;

pub use codec::{Frame, FrameCodec, LengthCodec, MAXIMUM_FRAME_BYTES, encode_frame};
pub use document::{decode_document, encode_document, pack_document, unpack_document};
pub use error::ProtocolError;
pub use feed::{FeedMessage, FeedRefusal, SubscriberMessage};
pub use peer::{PeerFrame, PeerIdentity, PeerRefusal};
pub use text::{Document, ShortText};

/// Protocol version; both ends of a connection must have the same one.
pub const PROTOCOL_VERSION: u16 = 11;
