//! Requests to the replicated log, with a limit of time.

use std::time::Duration;

use gingerkeel_domain::cluster::{Command, CommandBody, LogIndex};
use gingerkeel_domain::consensus::RoleName;
use gingerkeel_domain::leaf_warnings::LeafWarning;
use gingerkeel_domain::quota::PeerUsage;
use gingerkeel_protocol::pack_document;
use local_sync::mpsc::unbounded::Tx;
use local_sync::oneshot;
use monoio::time::timeout;
use tracing::error;

use crate::replication::{ProposeError, ReadError, ReplicationMessage};
use crate::wall_clock::wall_time;

/// Time that the log has to take a command.
const PROPOSE_LIMIT: Duration = Duration::from_secs(3);
/// Time that a quorum has to confirm a read.
const READ_LIMIT: Duration = Duration::from_secs(1);

/// Sends requests to the replicated log.
#[derive(Clone)]
pub struct ReplicationClient {
    log: Tx<ReplicationMessage>,
}

impl ReplicationClient {
    /// A client of the log behind `log`.
    pub fn new(log: Tx<ReplicationMessage>) -> Self {
        Self { log }
    }

    /// Proposes a command of the present time.
    ///
    /// # Errors
    /// A [`ProposeError`]; the command may be accepted all the same.
    pub async fn propose(&self, body: CommandBody) -> Result<(), ProposeError> {
        let command = pack_document(&Command { at: wall_time(), body }).map_err(|error| {
            error!(event = "command_not_encoded", %error);
            ProposeError::Stopping
        })?;
        let (reply, receiver) = oneshot::channel();
        self.log
            .send(ReplicationMessage::Propose { command, reply })
            .map_err(|_| ProposeError::Stopping)?;
        match timeout(PROPOSE_LIMIT, receiver).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_)) => Err(ProposeError::Stopping),
            Err(_) => Err(ProposeError::NoQuorum),
        }
    }

    /// Has the other control processes told what tenants used. What cannot be told is contained in what is
    /// told later.
    pub fn tell_usage(&self, usage: PeerUsage) {
        // The log ends with the process.
        let _ = self.log.send(ReplicationMessage::BroadcastUsage(usage));
    }

    /// Has the other control processes told which leaves to avoid. What cannot be told is lost: a warning ends by
    /// itself.
    pub fn tell_warnings(&self, warnings: Vec<LeafWarning>) {
        // As above.
        let _ = self.log.send(ReplicationMessage::BroadcastLeafWarnings(warnings));
    }

    /// The role of this process in the cluster; none while the log ends.
    pub async fn role(&self) -> Option<RoleName> {
        let (reply, receiver) = oneshot::channel();
        self.log.send(ReplicationMessage::Status { reply }).ok()?;
        receiver.await.ok().map(|status| status.role)
    }

    /// Confirms up to where the log is accepted.
    ///
    /// # Errors
    /// A [`ReadError`] when no quorum confirmed it in time.
    pub async fn confirm_read(&self) -> Result<LogIndex, ReadError> {
        let (reply, receiver) = oneshot::channel();
        self.log
            .send(ReplicationMessage::ConfirmRead { reply })
            .map_err(|_| ReadError::Stopping)?;
        match timeout(READ_LIMIT, receiver).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_)) => Err(ReadError::Stopping),
            Err(_) => Err(ReadError::NoQuorum),
        }
    }
}
