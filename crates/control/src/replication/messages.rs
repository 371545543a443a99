//! Messages to and from the task that owns the log.

use gingerkeel_domain::consensus::{Envelope, LogIndex, MemberChange, MemberId, RoleName, Term};
use gingerkeel_domain::identifiers::ControlName;
use gingerkeel_domain::leaf_warnings::LeafWarning;
use gingerkeel_domain::quota::PeerUsage;
use local_sync::oneshot;

use super::error::{ChangeError, ProposeError, ReadError};

/// A request to the replicated log.
pub enum ReplicationMessage {
    /// Replicate a command; on a follower it is handed to the leader. What the command did comes
    /// by the state machine, which matches session and sequence itself.
    Propose {
        /// The command.
        command: Vec<u8>,
        /// `Ok` once it is accepted, or handed to the leader.
        reply: oneshot::Sender<Result<(), ProposeError>>,
    },
    /// Have a quorum confirm what is accepted.
    ConfirmRead {
        /// The index that the state machine must have applied before it answers.
        reply: oneshot::Sender<Result<LogIndex, ReadError>>,
    },
    /// Change the members.
    ChangeMembers {
        /// The change.
        change: MemberChange,
        /// `Ok` once it is accepted.
        reply: oneshot::Sender<Result<(), ChangeError>>,
    },
    /// How the log stands.
    Status {
        /// Where the answer goes.
        reply: oneshot::Sender<ReplicationStatus>,
    },
    /// Tell all other control processes what tenants used; no part of the log.
    BroadcastUsage(PeerUsage),
    /// Tell the other control processes which leaves to avoid.
    BroadcastLeafWarnings(Vec<LeafWarning>),
}

/// A message to the task of the state machine.
#[derive(Debug)]
pub enum StateMachineMessage {
    /// Apply an accepted command.
    Apply {
        /// Its index; higher than all before.
        index: LogIndex,
        /// The command.
        command: Vec<u8>,
    },
    /// A command of the recovered log of which it is not known yet whether it was accepted: a hint at most.
    Unconfirmed {
        /// The command.
        command: Vec<u8>,
    },
    /// Replace the state by a snapshot.
    Restore {
        /// The last command that it covers.
        index: LogIndex,
        /// The snapshot.
        snapshot: Vec<u8>,
    },
    /// Take a snapshot.
    TakeSnapshot {
        /// Where it goes.
        reply: oneshot::Sender<StateSnapshot>,
    },
    /// Another control process told what tenants used; no part of the log.
    PeerUsageReceived(PeerUsageReport),
    /// Another control process told which leaves to avoid; no part of the log.
    PeerWarningsReceived(Vec<LeafWarning>),
}

/// What tenants used at the brokers of another control process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerUsageReport {
    /// The other control process.
    pub control: ControlName,
    /// What it told.
    pub usage: PeerUsage,
}

/// The state machine's state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StateSnapshot {
    /// The last command that it covers.
    pub index: LogIndex,
    /// The state.
    pub bytes: Vec<u8>,
}

/// How the log of a process stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicationStatus {
    /// The process itself.
    pub identity: MemberId,
    /// Its role.
    pub role: RoleName,
    /// Its term.
    pub term: Term,
    /// The leader that it knows.
    pub leader: Option<MemberId>,
    /// The members that it knows.
    pub members: Vec<MemberStatus>,
    /// Last entry that it knows to be accepted.
    pub commit: LogIndex,
    /// Last entry that it handed to the state machine.
    pub applied: LogIndex,
    /// Last entry of its log.
    pub last: LogIndex,
    /// Why the disk takes no writes, if so.
    pub storage_error: Option<String>,
}

/// A member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberStatus {
    /// The member.
    pub member: MemberId,
    /// Whether it votes; otherwise it is a learner.
    pub voter: bool,
}

/// What the task that owns the log waits for.
pub(super) enum TaskEvent {
    /// A request of another task.
    Request(ReplicationMessage),
    /// No other task can make requests any more.
    RequestsEnded,
    /// A message of a peer.
    Received(Envelope),
    /// A peer told what tenants used.
    PeerUsageReceived(MemberId, PeerUsageReport),
    /// A peer told which leaves to avoid.
    PeerWarningsReceived(MemberId, Vec<LeafWarning>),
    /// A peer said who it is.
    PeerKnown,
    /// The writer has events.
    WriterWoke,
    /// The state machine gave a snapshot.
    Snapshot(StateSnapshot),
}
