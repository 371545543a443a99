//! Connections without a request, by which a broker learns whether a leaf that has missed is there.
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
const ROUND: Duration = Duration::from_millis(200);
/// Time that a leaf has to take the connection.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);

/// Checks leaves that have missed, for ever.
pub async fn run(state: Rc<RouteState>) {
    loop {
        sleep(ROUND).await;
        if state.is_stopping() {
            continue;
        }
        for leaf in state.leaves.look_after_missing() {
            monoio::spawn(check(state.clone(), leaf));
        }
    }
}

/// Opens a connection and closes it.
async fn check(state: Rc<RouteState>, leaf: ListedLeaf) {
    match timeout(CONNECT_LIMIT, LeafConnection::connect(leaf.address)).await {
        Ok(Ok(_)) => state.leaves.took_connection(&leaf),
        // It has as many as it accepts.
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionReset => {
            state.leaves.took_connection(&leaf);
        }
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
            state.leaves.refused_connection(&leaf);
        }
        // Silence is no sign of anything.
        Ok(Err(_)) | Err(_) => {}
    }
}
