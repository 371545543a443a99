//! Requests to the replicated log, with a limit of time.

use std::time::Duration;

use gingerkeel_domain::cluster::{Command, CommandBody, LogIndex};
use gingerkeel_protocol::{ProtocolError, encode_document};
use local_sync::mpsc::unbounded::Tx;
use local_sync::oneshot;
use monoio::time::timeout;
use quick_error::quick_error;

use crate::clock::wall_time;
use crate::replication::{ProposeError, ReadError, ReplicationMessage};

/// Time that the log has to take a command.
const PROPOSE_LIMIT: Duration = Duration::from_secs(3);
/// Time that a quorum has to confirm a read.
const READ_LIMIT: Duration = Duration::from_secs(1);

quick_error! {
    /// Why a request to the log has no outcome.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum LogError {
        /// The command was refused, or its outcome is not known.
        Propose(error: ProposeError) {
            from()
            display("{error}")
        }
        /// The read was not confirmed.
        Read(error: ReadError) {
            from()
            display("{error}")
        }
        /// No quorum answered in time.
        NoQuorum {
            display("no quorum of control processes answered in time: ask another control process; a change is sent again with the same session and sequence number")
        }
        /// The process is stopping.
        Stopping {
            display("this control process is stopping: ask another one; a change is sent again with the same session and sequence number")
        }
        /// The command cannot be laid out.
        NotEncoded(reason: String) {
            display("the command cannot be written to the log ({reason}): report this as a fault of gingerkeel")
        }
    }
}

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
    /// A [`LogError`]; the command may be accepted all the same.
    pub async fn propose(&self, body: CommandBody) -> Result<(), LogError> {
        let command = encode_document(&Command { at: wall_time(), body })
            .map_err(|error: ProtocolError| LogError::NotEncoded(error.to_string()))?;
        let (reply, receiver) = oneshot::channel();
        self.send(ReplicationMessage::Propose { command, reply })?;
        Ok(answer(PROPOSE_LIMIT, receiver).await??)
    }

    /// Confirms up to where the log is accepted.
    ///
    /// # Errors
    /// A [`LogError`] when no quorum confirmed it in time.
    pub async fn confirm_read(&self) -> Result<LogIndex, LogError> {
        let (reply, receiver) = oneshot::channel();
        self.send(ReplicationMessage::ConfirmRead { reply })?;
        Ok(answer(READ_LIMIT, receiver).await??)
    }

    fn send(&self, message: ReplicationMessage) -> Result<(), LogError> {
        self.log.send(message).map_err(|_| LogError::Stopping)
    }
}

async fn answer<T>(limit: Duration, receiver: oneshot::Receiver<T>) -> Result<T, LogError> {
    match timeout(limit, receiver).await {
        Ok(Ok(outcome)) => Ok(outcome),
        Ok(Err(_)) => Err(LogError::Stopping),
        Err(_) => Err(LogError::NoQuorum),
    }
}
