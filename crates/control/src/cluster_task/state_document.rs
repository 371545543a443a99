//! The replicated state as a document, in snapshots.

use gingerkeel_domain::cluster::{
    ClusterState, StateWithoutRefusedRequests, StateWithoutRollouts, StateWithoutTenants,
};
use gingerkeel_protocol::{ProtocolError, decode_document, encode_document};

/// First bytes of the present layout. The first one began with a number, and none is laid out so.
const MARK: [u8; 11] = [0xfd; 11];
/// First bytes of the layout of releases that kept no refused requests.
const WITHOUT_REFUSED_MARK: [u8; 11] = [0xfe; 11];
/// First bytes of the layout of releases that knew tenants and no roll-outs.
const FORMER_MARK: [u8; 11] = [0xff; 11];

/// Lays the state out.
///
/// # Errors
/// [`ProtocolError::Document`] when it cannot be.
pub fn encode_state(state: &ClusterState) -> Result<Vec<u8>, ProtocolError> {
    let document = encode_document(state)?;
    Ok([&MARK[..], &document].concat())
}

/// Reads a state back, also one in the layouts of releases that kept no refused requests, or knew no roll-outs, or no
/// tenants either.
///
/// # Errors
/// [`ProtocolError::Document`] when the bytes are no such state.
pub fn decode_state(bytes: &[u8]) -> Result<ClusterState, ProtocolError> {
    if let Some(document) = bytes.strip_prefix(&MARK) {
        return decode_document(document);
    }
    if let Some(document) = bytes.strip_prefix(&WITHOUT_REFUSED_MARK) {
        return decode_document::<StateWithoutRefusedRequests>(document).map(ClusterState::from);
    }
    match bytes.strip_prefix(&FORMER_MARK) {
        Some(document) => decode_document::<StateWithoutRollouts>(document).map(ClusterState::from),
        None => decode_document::<StateWithoutTenants>(bytes).map(ClusterState::from),
    }
}

#[cfg(test)]
mod tests;
