//! Messages to and from the task that owns the log.

use std::time::Duration;

use gingerkeel_domain::consensus::{
    Envelope, Incarnation, LogIndex, MemberChange, MemberContact, MemberId, NodeNumber, RoleName,
    Term,
};
use gingerkeel_domain::identifiers::ControlName;
use gingerkeel_domain::leaf_warnings::LeafWarning;
use gingerkeel_domain::quota::PeerUsage;
use local_sync::oneshot;

use super::error::{ChangeError, ProposeError, ReadError};

/// A request to the replicated log.
pub enum ReplicationMessage {
    /// Replicate a command; a follower forwards it to the leader. The result of the command is
    /// delivered by the state machine, which matches session and sequence number.
    Propose {
        /// The encoded command.
        command: Vec<u8>,
        /// `Ok` once the command is committed, or forwarded to the leader.
        reply: oneshot::Sender<Result<(), ProposeError>>,
    },
    /// Confirm the commit index by a quorum, for a linearizable read.
    ConfirmRead {
        /// The index that the state machine must have applied before it serves the read.
        reply: oneshot::Sender<Result<LogIndex, ReadError>>,
    },
    /// Change the membership.
    ChangeMembers {
        /// The member to add, promote or remove.
        change: MemberChange,
        /// `Ok` once the change is committed.
        reply: oneshot::Sender<Result<(), ChangeError>>,
    },
    /// Prepare the cluster for the end of this process.
    PrepareStop {
        /// Answered once the process may end.
        reply: oneshot::Sender<()>,
    },
    /// Report role, term, members and log positions.
    Status {
        /// Receives the status.
        reply: oneshot::Sender<ReplicationStatus>,
    },
    /// Look for the leader through these seeds.
    UseSeeds(Vec<NodeNumber>),
    /// Send tenants' usage to all other control processes, outside the log.
    BroadcastUsage(PeerUsage),
    /// Send warnings about leaves to all other control processes, outside the log.
    BroadcastLeafWarnings(Vec<LeafWarning>),
}

/// A message to the task of the state machine.
#[derive(Debug)]
pub enum StateMachineMessage {
    /// Apply a committed command.
    Apply {
        /// The index of the command; strictly increasing.
        index: LogIndex,
        /// The encoded command.
        command: Vec<u8>,
    },
    /// A command of the recovered log beyond the last known commit index. It may not be committed,
    /// and must not be applied.
    Unconfirmed {
        /// The encoded command.
        command: Vec<u8>,
    },
    /// Replace the state with a snapshot.
    Restore {
        /// The last entry that the snapshot covers.
        index: LogIndex,
        /// The encoded state.
        snapshot: Vec<u8>,
    },
    /// Take a snapshot.
    TakeSnapshot {
        /// Receives the snapshot.
        reply: oneshot::Sender<StateSnapshot>,
    },
    /// Another control process reported tenants' usage, outside the log.
    PeerUsageReceived(PeerUsageReport),
    /// Another control process sent warnings about leaves, outside the log.
    PeerWarningsReceived(Vec<LeafWarning>),
}

/// Tenants' usage at the brokers of another control process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerUsageReport {
    /// The control process that reports.
    pub control: ControlName,
    /// The usage at its brokers.
    pub usage: PeerUsage,
}

/// The encoded state of the state machine at a log index.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StateSnapshot {
    /// The last command that the snapshot covers.
    pub index: LogIndex,
    /// The encoded state.
    pub bytes: Vec<u8>,
}

/// Role, term, members and log positions of a process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicationStatus {
    /// The member that reports.
    pub identity: MemberId,
    /// Its role in the current term.
    pub role: RoleName,
    /// The highest term that it has seen.
    pub term: Term,
    /// The leader of the term, once known.
    pub leader: Option<MemberId>,
    /// Voters and learners of the latest configuration in its log.
    pub members: Vec<MemberStatus>,
    /// At a leader: what it last heard of each other member.
    pub contacts: Vec<MemberContact>,
    /// At a candidate: the voters that have not answered in this round of votes or pre-votes.
    pub voters_without_answer: Vec<MemberId>,
    /// At any other process than a leader: time since the leader that it followed last sent a message.
    pub leader_silent_for: Option<Duration>,
    /// The commit index.
    pub commit: LogIndex,
    /// The last entry that was passed to the state machine.
    pub applied: LogIndex,
    /// The last entry of its log.
    pub last: LogIndex,
    /// Why the disk accepts no writes; none while it does.
    pub storage_error: Option<String>,
}

impl ReplicationStatus {
    /// Whether the latest configuration in its log names this process.
    pub fn is_member(&self) -> bool {
        self.members.iter().any(|member| member.member == self.identity)
    }

    /// Number of voters of the latest configuration in its log.
    pub fn voters(&self) -> usize {
        self.members.iter().filter(|member| member.voter).count()
    }

    /// At a leader: the voters that have not answered for the election timeout.
    pub fn silent_voters(&self) -> impl Iterator<Item = &MemberContact> {
        self.contacts.iter().filter(|contact| contact.is_voter && contact.is_silent)
    }

    /// At a leader with entries that are not committed: the voters that answer and lack some.
    pub fn voters_behind(&self) -> impl Iterator<Item = &MemberContact> {
        let answering =
            self.contacts.iter().filter(|contact| contact.is_voter && !contact.is_silent);
        answering.filter(|contact| self.commit < self.last && contact.matched < self.last)
    }
}

/// A member and whether it votes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberStatus {
    /// The node and its incarnation.
    pub member: MemberId,
    /// True for a voter, false for a learner.
    pub voter: bool,
}

/// An event for the task that owns the log.
pub(super) enum TaskEvent {
    /// A request from another task of the process.
    Request(ReplicationMessage),
    /// All senders of requests were dropped: the task ends.
    RequestsEnded,
    /// A consensus message from a peer.
    Received(Envelope),
    /// A peer reported tenants' usage.
    PeerUsageReceived(MemberId, PeerUsageReport),
    /// A peer sent warnings about leaves.
    PeerWarningsReceived(MemberId, Vec<LeafWarning>),
    /// A peer identified itself.
    PeerIdentified,
    /// A peer knows a later incarnation of this node than that of its data folder.
    Superseded(Incarnation),
    /// A connection to this node was established; the node has identified itself.
    PeerConnected(NodeNumber),
    /// The address of this node refused a connection.
    PeerRefusing(NodeNumber),
    /// The storage writer has queued events.
    WriterSignaled,
    /// The state machine returned a requested snapshot.
    Snapshot(StateSnapshot),
}
