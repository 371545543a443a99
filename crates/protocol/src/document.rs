//! Documents inside frames and on disk.
//!
//! A packed document says in its first byte whether the rest is compressed. Whole configurations
//! repeat the same names hundreds of times and shrink to a tenth.

use miniz_oxide::deflate::compress_to_vec;
use miniz_oxide::inflate::decompress_to_vec_with_limit;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::ProtocolError;
use crate::codec::MAXIMUM_FRAME_BYTES;

/// First byte of a packed document that is not compressed.
const PLAIN: u8 = 0;
/// First byte of one that is.
const COMPRESSED: u8 = 1;
/// Bytes from which a document is compressed.
const COMPRESS_FROM: usize = 1_024;
/// Effort of the compression, from 0 to 10: small documents do not gain by more.
const COMPRESSION_LEVEL: u8 = 3;

/// Serializes a document.
///
/// # Errors
/// [`ProtocolError::Document`] when the type cannot be serialized.
pub fn encode_document<T: Serialize>(document: &T) -> Result<Vec<u8>, ProtocolError> {
    postcard::to_allocvec(document).map_err(|error| ProtocolError::Document(error.to_string()))
}

/// Reads a document back.
///
/// # Errors
/// [`ProtocolError::Document`] when the bytes are not such a document.
pub fn decode_document<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, ProtocolError> {
    postcard::from_bytes(bytes).map_err(|error| ProtocolError::Document(error.to_string()))
}

/// Serializes a document, and compresses it when it is large.
///
/// # Errors
/// [`ProtocolError::Document`] when the type cannot be serialized.
pub fn pack_document<T: Serialize>(document: &T) -> Result<Vec<u8>, ProtocolError> {
    let plain = encode_document(document)?;
    let (kind, body) = match plain.len() < COMPRESS_FROM {
        true => (PLAIN, plain),
        false => (COMPRESSED, compress_to_vec(&plain, COMPRESSION_LEVEL)),
    };
    let mut packed = Vec::with_capacity(1 + body.len());
    packed.push(kind);
    packed.extend_from_slice(&body);
    Ok(packed)
}

/// Reads a packed document back.
///
/// # Errors
/// [`ProtocolError::Document`] when the bytes are not such a document, or one that is larger than
/// the largest frame.
pub fn unpack_document<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, ProtocolError> {
    match bytes.split_first() {
        Some((&PLAIN, plain)) => decode_document(plain),
        Some((&COMPRESSED, compressed)) => {
            let plain = decompress_to_vec_with_limit(compressed, MAXIMUM_FRAME_BYTES)
                .map_err(|error| ProtocolError::Document(error.to_string()))?;
            decode_document(&plain)
        }
        _ => Err(ProtocolError::Document("not a packed document".to_owned())),
    }
}
