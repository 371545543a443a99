//! Strings and documents embedded in frames.

use binrw::binrw;
use bytes::Bytes;

/// Maximum length of a text in bytes.
const TEXT_LIMIT: usize = 255;

/// A text of at most 255 bytes, with a length prefix of one byte.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShortText {
    #[br(temp)]
    #[bw(calc = bytes.len() as u8)]
    length: u8,
    #[br(count = length)]
    bytes: Vec<u8>,
}

impl ShortText {
    /// Creates a text; longer ones are truncated to 255 bytes.
    pub fn new(text: &str) -> Self {
        let bytes = text.as_bytes();
        Self { bytes: bytes[..bytes.len().min(TEXT_LIMIT)].to_vec() }
    }

    /// The text, or `None` if it is empty or not UTF-8.
    pub fn text(&self) -> Option<&str> {
        std::str::from_utf8(&self.bytes).ok().filter(|text| !text.is_empty())
    }
}

/// An embedded document, with a length prefix of four bytes.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Document {
    #[br(temp)]
    #[bw(calc = bytes.len() as u32)]
    length: u32,
    /// Output of [`crate::encode_document`] or [`crate::pack_document`]. Reference-counted, since
    /// the same document is sent to hundreds of brokers at once.
    #[br(count = length, map = |bytes: Vec<u8>| Bytes::from(bytes))]
    #[bw(map = |bytes: &Bytes| bytes.to_vec())]
    pub bytes: Bytes,
}

impl From<Vec<u8>> for Document {
    fn from(bytes: Vec<u8>) -> Self {
        Self { bytes: Bytes::from(bytes) }
    }
}
