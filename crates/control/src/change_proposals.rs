//! Catalog changes from the routes interface, whose operators have no session of their own.

use std::time::Duration;

use gingerkeel_domain::catalog::Change;
use gingerkeel_domain::cluster::{ChangeOutcome, ChangeRequest, CommandId};
use gingerkeel_domain::consensus;
use gingerkeel_domain::identifiers::{Revision, SessionName};
use local_sync::mpsc::unbounded::Tx;
use local_sync::oneshot;
use monoio::time::sleep;
use rand::Rng;

use crate::cluster_task::ClusterMessage;
use crate::replication::ProposeError;

/// Pause before a retry when there is no leader, or the leader changed.
const LEADER_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// It is unknown whether the change was accepted.
pub struct OutcomeUnknown;

/// Proposes a change under a new random session whose name starts with `prefix`, and retries while
/// there is no leader.
///
/// # Errors
/// [`OutcomeUnknown`] if the change may have been accepted or not.
pub async fn propose(
    change: Change,
    based_on: Option<Revision>,
    prefix: &str,
    cluster: &Tx<ClusterMessage>,
) -> Result<ChangeOutcome, OutcomeUnknown> {
    let session = format!("{prefix}-{:016x}", rand::rng().random::<u64>());
    let id = CommandId { session: SessionName::new(session), sequence: 1 };
    let request = ChangeRequest { id, based_on, change };
    loop {
        let (reply, receiver) = oneshot::channel();
        // The cluster task lives as long as the process.
        let _ = cluster.send(ClusterMessage::Change { request: request.clone(), reply });
        match receiver.await.map_err(|_| OutcomeUnknown)? {
            Ok(outcome) => return Ok(outcome),
            // Session and sequence number make the command idempotent, so a retry is safe.
            Err(
                ProposeError::Refused(consensus::ProposeError::NoLeader) | ProposeError::Dropped,
            ) => sleep(LEADER_RETRY_PAUSE).await,
            Err(_) => return Err(OutcomeUnknown),
        }
    }
}
