//! Encoding of the replicated state in snapshots.

use gingerkeel_domain::cluster::{
    ClusterState, StateWithoutRefusedRequests, StateWithoutRollouts, StateWithoutTenants,
};
use gingerkeel_protocol::{ProtocolError, decode_document, encode_document};

/// Prefix of the current layout. The oldest layout has no prefix; it starts with a number whose
/// encoding never matches one of these prefixes.
const CURRENT_PREFIX: [u8; 11] = [0xfd; 11];
/// Prefix of the layout of releases without refused requests.
const PREFIX_WITHOUT_REFUSED_REQUESTS: [u8; 11] = [0xfe; 11];
/// Prefix of the layout of releases with tenants and without roll-outs.
const PREFIX_WITHOUT_ROLLOUTS: [u8; 11] = [0xff; 11];

/// Encodes the state in the current layout.
///
/// # Errors
/// [`ProtocolError::Document`] if the state cannot be encoded.
pub fn encode_state(state: &ClusterState) -> Result<Vec<u8>, ProtocolError> {
    let document = encode_document(state)?;
    Ok([&CURRENT_PREFIX[..], &document].concat())
}

/// Decodes a state, also in the layouts of releases without refused requests, without roll-outs or
/// without tenants.
///
/// # Errors
/// [`ProtocolError::Document`] if the bytes are not a state in any of these layouts.
pub fn decode_state(bytes: &[u8]) -> Result<ClusterState, ProtocolError> {
    if let Some(document) = bytes.strip_prefix(&CURRENT_PREFIX) {
        return decode_document(document);
    }
    if let Some(document) = bytes.strip_prefix(&PREFIX_WITHOUT_REFUSED_REQUESTS) {
        return decode_document::<StateWithoutRefusedRequests>(document).map(ClusterState::from);
    }
    match bytes.strip_prefix(&PREFIX_WITHOUT_ROLLOUTS) {
        Some(document) => decode_document::<StateWithoutRollouts>(document).map(ClusterState::from),
        None => decode_document::<StateWithoutTenants>(bytes).map(ClusterState::from),
    }
}

#[cfg(test)]
mod tests;
