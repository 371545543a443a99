//! The replicated state as a document, in snapshots.

use gingerkeel_domain::cluster::{ClusterState, FormerClusterState};
use gingerkeel_protocol::{ProtocolError, decode_document, encode_document};

/// First bytes of the present layout. The former one begins with a number, and none is laid out so.
const MARK: [u8; 11] = [0xff; 11];

/// Lays the state out.
///
/// # Errors
/// [`ProtocolError::Document`] when it cannot be.
pub fn encode_state(state: &ClusterState) -> Result<Vec<u8>, ProtocolError> {
    let document = encode_document(state)?;
    Ok([&MARK[..], &document].concat())
}

/// Reads a state back, also one in the layout of releases that knew no tenants.
///
/// # Errors
/// [`ProtocolError::Document`] when the bytes are no such state.
pub fn decode_state(bytes: &[u8]) -> Result<ClusterState, ProtocolError> {
    match bytes.strip_prefix(&MARK) {
        Some(document) => decode_document(document),
        None => decode_document::<FormerClusterState>(bytes).map(ClusterState::from),
    }
}

#[cfg(test)]
mod tests;
