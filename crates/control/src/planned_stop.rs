//! Planned stop of the control process.

use std::time::Duration;

use monoio::time::sleep;
use tracing::{info, warn};

use crate::replication_client::ReplicationClient;

/// Time for the last messages to peers to leave, such as the one that hands over the leadership.
const FLUSH_PAUSE: Duration = Duration::from_millis(100);

/// Prepares the other control processes for the end of this one: it hands over its leadership, and
/// is removed from the voters where another loss right after its end would cost the quorum.
pub async fn prepare(replication: &ReplicationClient) {
    info!(event = "stop_requested");
    match replication.prepare_stop().await {
        Ok(()) => sleep(FLUSH_PAUSE).await,
        Err(error) => warn!(event = "stop_not_prepared", %error),
    }
}
