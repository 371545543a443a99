//! A client of the replicated log with timeouts.

use std::time::Duration;

use gingerkeel_domain::cluster::{Command, CommandBody, LogIndex};
use gingerkeel_domain::consensus::{NodeNumber, RoleName};
use gingerkeel_domain::leaf_warnings::LeafWarning;
use gingerkeel_domain::quota::PeerUsage;
use gingerkeel_protocol::pack_document;
use local_sync::mpsc::unbounded::Tx;
use local_sync::oneshot;
use monoio::time::timeout;
use tracing::error;

use crate::replication::{
    ProposeError, ReadError, ReplicationMessage, ReplicationStatus, StopError,
};
use crate::wall_clock::wall_time;

/// Time limit for committing a command.
const PROPOSE_TIMEOUT: Duration = Duration::from_secs(3);
/// Time limit for the leader to permit a planned stop. Covers an election and two membership
/// changes; a process without a quorum stops afterwards all the same.
const STOP_TIMEOUT: Duration = Duration::from_secs(2);
/// Time limit for a quorum to confirm a read.
const READ_TIMEOUT: Duration = Duration::from_secs(1);

/// Sends requests to the replicated log.
#[derive(Clone)]
pub struct ReplicationClient {
    log: Tx<ReplicationMessage>,
}

impl ReplicationClient {
    /// Creates a client that sends its requests to `log`.
    pub fn new(log: Tx<ReplicationMessage>) -> Self {
        Self { log }
    }

    /// Proposes a command, stamped with the current wall-clock time.
    ///
    /// # Errors
    /// A [`ProposeError`]; unless it was refused, the command may still be committed.
    pub async fn propose(&self, body: CommandBody) -> Result<(), ProposeError> {
        let command = pack_document(&Command { at: wall_time(), body }).map_err(|error| {
            error!(event = "command_not_encoded", %error);
            ProposeError::Stopping
        })?;
        let (reply, receiver) = oneshot::channel();
        self.log
            .send(ReplicationMessage::Propose { command, reply })
            .map_err(|_| ProposeError::Stopping)?;
        match timeout(PROPOSE_TIMEOUT, receiver).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_)) => Err(ProposeError::Stopping),
            Err(_) => Err(ProposeError::NoQuorum),
        }
    }

    /// Has the process look for the leader through these seeds, in place of those it started with.
    pub fn use_seeds(&self, seeds: Vec<NodeNumber>) {
        // The log ends with the process.
        let _ = self.log.send(ReplicationMessage::UseSeeds(seeds));
    }

    /// Broadcasts tenants' usage to the other control processes. Totals are cumulative, so a later
    /// message makes up for a lost one.
    pub fn broadcast_usage(&self, usage: PeerUsage) {
        // The log ends with the process.
        let _ = self.log.send(ReplicationMessage::BroadcastUsage(usage));
    }

    /// Broadcasts warnings about leaves to the other control processes. A lost message is not sent
    /// again, since warnings expire.
    pub fn broadcast_warnings(&self, warnings: Vec<LeafWarning>) {
        // The log ends with the process.
        let _ = self.log.send(ReplicationMessage::BroadcastLeafWarnings(warnings));
    }

    /// Has the leader prepare the cluster for the end of this process; returns once it may end.
    ///
    /// # Errors
    /// A [`StopError`] if that did not happen in time, for example because there is no leader.
    pub async fn prepare_stop(&self) -> Result<(), StopError> {
        let (reply, receiver) = oneshot::channel();
        let sent = self.log.send(ReplicationMessage::PrepareStop { reply });
        sent.map_err(|_| StopError::Stopped)?;
        match timeout(STOP_TIMEOUT, receiver).await {
            Ok(outcome) => outcome.map_err(|_| StopError::Stopped),
            Err(_) => Err(StopError::TimedOut),
        }
    }

    /// Role, members and log positions of this process; none if the log has stopped.
    pub async fn status(&self) -> Option<ReplicationStatus> {
        let (reply, receiver) = oneshot::channel();
        self.log.send(ReplicationMessage::Status { reply }).ok()?;
        receiver.await.ok()
    }

    /// The role of this process in the cluster; none if the log has stopped.
    pub async fn role(&self) -> Option<RoleName> {
        self.status().await.map(|status| status.role)
    }

    /// Has a quorum confirm the commit index; a linearizable read must wait until it is applied.
    ///
    /// # Errors
    /// A [`ReadError`] if no quorum confirmed it in time.
    pub async fn confirm_read(&self) -> Result<LogIndex, ReadError> {
        let (reply, receiver) = oneshot::channel();
        self.log
            .send(ReplicationMessage::ConfirmRead { reply })
            .map_err(|_| ReadError::Stopping)?;
        match timeout(READ_TIMEOUT, receiver).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_)) => Err(ReadError::Stopping),
            Err(_) => Err(ReadError::NoQuorum),
        }
    }
}
