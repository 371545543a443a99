//! Member identities, log entries and persisted state.

use std::fmt;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::configuration::Configuration;
use crate::identifiers::number_type;

number_type!(
    /// Raft term; each term has at most one leader.
    Term(u64)
);
number_type!(
    /// Index of an entry in the replicated log; the first entry has index 1.
    LogIndex(u64)
);
number_type!(
    /// Number of a control machine, set in its configuration.
    NodeNumber(u32)
);
number_type!(
    /// Generation of a machine's data folder; a newer folder has a higher number.
    Incarnation(u64)
);

impl LogIndex {
    /// The index after this one.
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// The index before this one, saturating at 0.
    pub const fn previous(self) -> Self {
        Self(self.0.saturating_sub(1))
    }
}

/// Identity of a member: a machine and the generation of its data folder.
///
/// A machine that lost its data folder has lost its vote, so it rejoins as a new member.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct MemberId {
    /// Number of the machine.
    pub node: NodeNumber,
    /// Generation of the machine's data folder.
    pub incarnation: Incarnation,
}

impl fmt::Display for MemberId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.node, self.incarnation)
    }
}

/// Term and index of an entry, ordered by term first, as Raft compares logs.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct LogPosition {
    /// Term of the entry.
    pub term: Term,
    /// Index of the entry.
    pub index: LogIndex,
}

/// Content of a log entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// No-op entry that a leader appends at the start of its term.
    Empty,
    /// A command for the state machine.
    Command(Bytes),
    /// Membership in force from this entry on.
    Configuration(Configuration),
}

/// An entry of the replicated log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Term of the leader that appended the entry.
    pub term: Term,
    /// Index in the log.
    pub index: LogIndex,
    /// Content of the entry.
    pub payload: Payload,
}

impl Entry {
    /// Term and index of the entry.
    pub fn position(&self) -> LogPosition {
        LogPosition { term: self.term, index: self.index }
    }

    /// Command size in bytes; 0 for an entry without a command.
    pub fn size(&self) -> usize {
        match &self.payload {
            Payload::Command(command) => command.len(),
            Payload::Empty | Payload::Configuration(_) => 0,
        }
    }
}

/// State that must be persisted before any message that depends on it is sent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Latest term seen.
    pub term: Term,
    /// Candidate that received this member's vote in that term.
    pub vote: Option<MemberId>,
}

/// Position and membership that a snapshot covers.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotMetadata {
    /// Last entry included in the snapshot.
    pub position: LogPosition,
    /// Membership as of that entry.
    pub configuration: Configuration,
}

/// State of the replicated state machine as of a log position.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Position and membership that the snapshot covers.
    pub metadata: SnapshotMetadata,
    /// Serialized state, opaque to the consensus core.
    pub data: Bytes,
}

/// State that a member restores from its data folder on start.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Recovered {
    /// Persisted term and vote.
    pub hard_state: HardState,
    /// Latest snapshot, if one was taken or installed.
    pub snapshot: Option<Snapshot>,
    /// Contiguous entries after the snapshot.
    pub entries: Vec<Entry>,
    /// Last entry known to be committed; applied on start, before a leader is elected.
    pub commit: LogIndex,
}

impl Recovered {
    /// Initial state of a new cluster: a log whose only entry holds the membership. The driver
    /// persists it before it starts the node.
    pub fn bootstrap(configuration: Configuration) -> Self {
        let term = Term(1);
        let payload = Payload::Configuration(configuration);
        let entry = Entry { term, index: LogIndex(1), payload };
        let hard_state = HardState { term, vote: None };
        Self { hard_state, snapshot: None, entries: vec![entry], commit: LogIndex(0) }
    }

    /// Whether nothing has been persisted yet.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}
