//! Frames between gingerkeel's own processes.
//!
//! A frame is a big-endian `u32` length and that many bytes, which `binrw` lays out. Documents
//! that are also kept on disk (the catalog and its changes) travel inside a frame as `postcard`.

mod codec;
mod document;
mod error;
mod feed;
mod peer;
mod text;

pub use codec::{Frame, FrameCodec, MAXIMUM_FRAME_BYTES, encode_frame};
pub use document::{decode_document, encode_document, pack_document, unpack_document};
pub use error::ProtocolError;
pub use feed::{FeedMessage, FeedRefusal, SubscriberMessage};
pub use peer::{PeerFrame, PeerIdentity, PeerRefusal};
pub use text::{Document, ShortText};

/// Version of the frames; both ends of a connection must speak the same.
pub const PROTOCOL_VERSION: u16 = 11;
