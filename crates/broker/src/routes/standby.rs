//! Connections that are kept ready for the parts of gathered answers.
//!
//! A hedge has to come back within what is left of the target latency. Where the second leaf is far
//! away, a connection that is still to be opened costs as much as the request itself.

use std::rc::Rc;
use std::time::Duration;

use gingerkeel_domain::directory::ListedLeaf;
use gingerkeel_domain::identifiers::ServiceName;
use monoio::time::{sleep, timeout};

use super::pool::LeafConnection;
use super::state::RouteState;

/// Time between two rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(200);
/// Connections that are opened in one round: those of a hundred shards are ready within about two
/// seconds, and leaves are not met by all brokers at once.
const OPENS_PER_ROUND: usize = 20;
/// Time in which the reset of a connection that the leaf does not accept arrives: the way there and
/// back between regions.
const RESET_WAIT: Duration = Duration::from_millis(100);
/// Time that a leaf has to take the connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Keeps connections ready for ever.
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

/// Opens a connection and leaves it idle.
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
                // The leaf has as many as it accepts.
                state.leaves.connection_reset(&leaf.identity);
                pause_standby(&state, &leaf);
            }
        }
        _ => pause_standby(&state, &leaf),
    }
}

/// Leaves a leaf alone for a while that took no connection: whoever has a request for it comes first.
fn pause_standby(state: &RouteState, leaf: &ListedLeaf) {
    state.leaves.connection_closed(&leaf.identity);
    state.leaves.pause_standby(&leaf.identity);
}
