//! A log of one process, behind the messages of a replicated one.
//!
//! A command is applied at once and kept in memory only; every read is confirmed.

use gingerkeel_domain::cluster::LogIndex;
use local_sync::mpsc::unbounded::{self, Rx, Tx};
use local_sync::oneshot;
use quick_error::quick_error;

/// A request to the log.
pub enum ReplicationMessage {
    /// Append a command; it takes effect when it comes back as [`StateMachineMessage::Apply`].
    Propose {
        /// The command as a document.
        command: Vec<u8>,
        /// Whether it was taken; after an error it may still be applied.
        reply: oneshot::Sender<Result<(), ProposeError>>,
    },
    /// Confirm by a quorum, begun after this message, up to where the log is accepted.
    ConfirmRead {
        /// The index that a state machine must have applied before it answers.
        reply: oneshot::Sender<Result<LogIndex, ReadError>>,
    },
}

/// A request of the log to the state machine.
pub enum StateMachineMessage {
    /// Apply an accepted command.
    Apply {
        /// Its place.
        index: LogIndex,
        /// The command as a document.
        command: Vec<u8>,
    },
    /// Replace the state by a snapshot.
    Restore {
        /// Index of the last command in it.
        index: LogIndex,
        /// The snapshot as a document.
        snapshot: Vec<u8>,
    },
    /// Take a snapshot.
    TakeSnapshot {
        /// Where it goes, with the index of the last command in it.
        reply: oneshot::Sender<(LogIndex, Vec<u8>)>,
    },
}

quick_error! {
    /// A command whose acceptance is not known.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ProposeError {
        /// No quorum took it in time.
        NoQuorum {
            display("no quorum of control processes took the change in time: send it again with the same session and sequence number, or ask another control process")
        }
        /// The process is stopping.
        Stopping {
            display("this control process is stopping: send it again with the same session and sequence number to another one")
        }
    }
}

quick_error! {
    /// A read that could not be confirmed.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ReadError {
        /// No quorum answered in time.
        NoQuorum {
            display("no quorum of control processes answered in time: ask another control process")
        }
        /// The process is stopping.
        Stopping {
            display("this control process is stopping: ask another one")
        }
    }
}

/// Starts the log; accepted commands go to `state_machine`.
pub fn start(state_machine: Tx<StateMachineMessage>) -> Tx<ReplicationMessage> {
    let (sender, receiver) = unbounded::channel();
    monoio::spawn(run(receiver, state_machine));
    sender
}

async fn run(mut messages: Rx<ReplicationMessage>, state_machine: Tx<StateMachineMessage>) {
    let mut last = LogIndex::default();
    while let Some(message) = messages.recv().await {
        match message {
            ReplicationMessage::Propose { command, reply } => {
                last.0 += 1;
                let apply = StateMachineMessage::Apply { index: last, command };
                let taken = state_machine.send(apply).map_err(|_| ProposeError::Stopping);
                // The proposer may have given up; the command counts all the same.
                let _ = reply.send(taken);
            }
            ReplicationMessage::ConfirmRead { reply } => {
                // The reader may have given up.
                let _ = reply.send(Ok(last));
            }
        }
    }
}
