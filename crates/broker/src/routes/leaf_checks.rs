//! Connections without a request, by which a broker learns whether a leaf is there that has missed, or at which a request
//! was given up that no leaf has answered.
//!
//! Without them a request of a caller would find out, and might arrive at another leaf that has the address of an
//! ended one.

use std::io::ErrorKind;
use std::rc::Rc;
use std::time::Duration;

use gingerkeel_domain::directory::ListedLeaf;
use monoio::time::{sleep, timeout};

use super::pool::LeafConnection;
use super::state::RouteState;

/// Time between two looks at which leaves have missed.
const ROUND_INTERVAL: Duration = Duration::from_millis(200);
/// Time that a leaf has to take the connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time that a leaf which lost a connection has to take another one or refuse it, before its requests go on
/// elsewhere: several times the way to another region and back.
const LIVENESS_TIMEOUT: Duration = Duration::from_millis(200);

/// Checks leaves that have missed or may have ended, for ever.
pub async fn run(state: Rc<RouteState>) {
    loop {
        sleep(ROUND_INTERVAL).await;
        if state.is_stopping() {
            continue;
        }
        let given_up = state.crashes.take_unchecked();
        let given_up = given_up.iter().filter_map(|identity| state.leaves.leaf(identity));
        for leaf in state.leaves.leaves_to_probe().into_iter().chain(given_up) {
            let state = state.clone();
            monoio::spawn(async move { probe(&state, leaf).await });
        }
    }
}

/// What became of a leaf that lost a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Liveness {
    /// It takes another connection, or has as many as it accepts.
    Alive,
    /// Nobody listens at its address.
    Ended,
    /// Nothing was heard in time.
    Unknown,
}

impl Liveness {
    /// Whether the leaf counts as ended: in doubt where the request that was under way is `suspected` already.
    pub fn has_ended(self, suspected: bool) -> bool {
        self == Self::Ended || suspected && self == Self::Unknown
    }
}

/// Finds out what became of a leaf that lost a connection.
pub async fn probe_liveness(state: &RouteState, leaf: &ListedLeaf) -> Liveness {
    match timeout(LIVENESS_TIMEOUT, probe(state, leaf.clone())).await {
        Ok(liveness) => liveness,
        Err(_) => Liveness::Unknown,
    }
}

/// Opens a connection and closes it.
async fn probe(state: &RouteState, leaf: ListedLeaf) -> Liveness {
    match timeout(CONNECT_TIMEOUT, LeafConnection::connect(leaf.address)).await {
        Ok(Ok(_)) => {
            state.leaves.connect_succeeded(&leaf);
            Liveness::Alive
        }
        // It has as many as it accepts.
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionReset => {
            state.leaves.connect_succeeded(&leaf);
            Liveness::Alive
        }
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
            state.leaves.connect_refused(&leaf);
            state.crashes.leaf_is_gone(&state.metrics, &leaf.identity);
            Liveness::Ended
        }
        // Silence is no sign of anything.
        Ok(Err(_)) | Err(_) => Liveness::Unknown,
    }
}
