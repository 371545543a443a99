//! Documents inside frames and on disk.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::ProtocolError;

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
