//! Liveness probes: connections without a request to leaves that failed, or at which an unanswered
//! request was abandoned.
//!
//! Without probes a caller's request would have to find out, and might arrive at another leaf that
//! has taken over the address of an ended one.

use std::io::ErrorKind;
use std::rc::Rc;
use std::time::Duration;

use gingerkeel_domain::directory::ListedLeaf;
use monoio::time::{sleep, timeout};

use super::pool::LeafConnection;
use super::state::RouteState;

/// Time between two rounds of probes.
const ROUND_INTERVAL: Duration = Duration::from_millis(200);
/// Timeout of opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout of probing a leaf that lost a connection, before its requests are retried elsewhere:
/// several round trips to another region.
const LIVENESS_TIMEOUT: Duration = Duration::from_millis(200);

/// Probes leaves that failed or may have ended; never returns.
pub async fn run(state: Rc<RouteState>) {
    loop {
        sleep(ROUND_INTERVAL).await;
        if state.is_stopping() {
            continue;
        }
        let given_up = state.crashes.take_due_checks();
        let given_up = given_up.iter().filter_map(|identity| state.leaves.leaf(identity));
        for leaf in state.leaves.leaves_to_probe().into_iter().chain(given_up) {
            let state = state.clone();
            monoio::spawn(async move { probe(&state, leaf).await });
        }
    }
}

/// Result of probing a leaf.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Liveness {
    /// It accepts connections, or is at its connection limit.
    Alive,
    /// Nothing listens at its address.
    Ended,
    /// The probe timed out or failed otherwise.
    Unknown,
}

impl Liveness {
    /// Whether the leaf counts as ended. An unknown result counts as ended only if the request that
    /// was in flight is already `suspected` of crashing leaves.
    pub fn has_ended(self, suspected: bool) -> bool {
        self == Self::Ended || suspected && self == Self::Unknown
    }
}

/// Probes a leaf that lost a connection, within a short timeout.
pub async fn probe_liveness(state: &RouteState, leaf: &ListedLeaf) -> Liveness {
    match timeout(LIVENESS_TIMEOUT, probe(state, leaf.clone())).await {
        Ok(liveness) => liveness,
        Err(_) => Liveness::Unknown,
    }
}

/// Opens a connection and closes it at once.
async fn probe(state: &RouteState, leaf: ListedLeaf) -> Liveness {
    match timeout(CONNECT_TIMEOUT, LeafConnection::connect(leaf.address)).await {
        Ok(Ok(_)) => {
            state.leaves.connect_succeeded(&leaf);
            Liveness::Alive
        }
        // The leaf is at its connection limit.
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionReset => {
            state.leaves.connect_succeeded(&leaf);
            Liveness::Alive
        }
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
            state.leaves.connect_refused(&leaf);
            state.crashes.leaf_is_gone(&state.metrics, &leaf.identity);
            Liveness::Ended
        }
        // A timeout does not tell an ended leaf from a slow network.
        Ok(Err(_)) | Err(_) => Liveness::Unknown,
    }
}
