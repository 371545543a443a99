//! Idle connections kept open in advance for the parts of gathered answers.
//!
//! A hedge has to return within what is left of the target latency. To a leaf in another region,
//! opening a connection takes as long as the request itself.

use std::rc::Rc;
use std::time::Duration;

use gingerkeel_domain::directory::ListedLeaf;
use gingerkeel_domain::identifiers::ServiceName;
use monoio::time::{sleep, timeout};

use super::pool::LeafConnection;
use super::state::RouteState;

/// Time between two rounds of opening connections.
const ROUND_INTERVAL: Duration = Duration::from_millis(200);
/// Connections opened in one round: those of a hundred shards are open within about two seconds,
/// and leaves are not hit by all brokers at once.
const OPENS_PER_ROUND: usize = 20;
/// Time within which the reset of a connection that the leaf does not accept arrives: a round trip
/// between regions.
const RESET_WAIT: Duration = Duration::from_millis(100);
/// Timeout of opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Keeps the planned connections open; never returns.
pub async fn maintain(state: Rc<RouteState>) {
    loop {
        sleep(ROUND_INTERVAL).await;
        if state.is_stopping() {
            continue;
        }
        for (service, leaf) in state.standby_targets(OPENS_PER_ROUND) {
            monoio::spawn(open(state.clone(), service, leaf));
        }
    }
}

/// Opens a connection and returns it to the pool as idle.
async fn open(state: Rc<RouteState>, service: ServiceName, leaf: ListedLeaf) {
    let limits = state.service_limits(&service);
    if !state.leaves.reserve_connection(limits.connections, &leaf) {
        return;
    }
    match timeout(CONNECT_TIMEOUT, LeafConnection::connect(leaf.address)).await {
        Ok(Ok(mut connection)) => {
            sleep(RESET_WAIT).await;
            if connection.is_reusable() {
                connection.set_keep_alive(state.leaves.keep_alive_timeout(&service));
                state.leaves.return_connection(&leaf.identity, connection);
            } else {
                // The leaf is at its connection limit.
                state.leaves.connection_reset(&leaf.identity);
                pause_standby(&state, &leaf);
            }
        }
        _ => pause_standby(&state, &leaf),
    }
}

/// Pauses standby connections to a leaf that accepted none: connections for requests have priority.
fn pause_standby(state: &RouteState, leaf: &ListedLeaf) {
    state.leaves.connection_closed(&leaf.identity);
    state.leaves.pause_standby(&leaf.identity);
}
