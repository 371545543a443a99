//! Serialization of documents in frames and on disk.
//!
//! The first byte of a packed document tells whether the rest is compressed. Full configurations
//! repeat the same names hundreds of times and compress to a tenth of their size.

use miniz_oxide::deflate::compress_to_vec;
use miniz_oxide::inflate::decompress_to_vec_with_limit;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::ProtocolError;
use crate::codec::MAXIMUM_FRAME_BYTES;

/// First byte of an uncompressed packed document.
const PLAIN: u8 = 0;
/// First byte of a compressed packed document.
const COMPRESSED: u8 = 1;
/// Minimum size in bytes of a document that is compressed.
const COMPRESS_FROM: usize = 1_024;
/// Compression level from 0 to 10; higher levels do not shrink small documents further.
const COMPRESSION_LEVEL: u8 = 3;

/// Serializes a document as `postcard`.
///
/// # Errors
/// [`ProtocolError::Document`] when the type cannot be serialized.
pub fn encode_document<T: Serialize>(document: &T) -> Result<Vec<u8>, ProtocolError> {
    postcard::to_allocvec(document).map_err(|error| ProtocolError::Document(error.to_string()))
}

/// Deserializes a document from `postcard`.
///
/// # Errors
/// [`ProtocolError::Document`] if the bytes are not a document of this type.
pub fn decode_document<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, ProtocolError> {
    postcard::from_bytes(bytes).map_err(|error| ProtocolError::Document(error.to_string()))
}

/// Serializes a document and compresses it if it has at least `COMPRESS_FROM` bytes.
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

/// Deserializes a packed document.
///
/// # Errors
/// [`ProtocolError::Document`] if the bytes are not a document of this type, or if it exceeds
/// [`MAXIMUM_FRAME_BYTES`] when decompressed.
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
