//! Identities, entries and state that is kept on disk.

use std::fmt;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::configuration::Configuration;
use crate::identifiers::number_type;

number_type!(
    /// Number of a term; each term has at most one leader.
    Term(u64)
);
number_type!(
    /// Index of an entry in the replicated log; the first entry has index 1.
    LogIndex(u64)
);
number_type!(
    /// Number of a control machine, fixed by its settings.
    NodeNumber(u32)
);
number_type!(
    /// Number of a data folder of one machine; a later folder has a higher number.
    Incarnation(u64)
);

impl LogIndex {
    /// The index after this one.
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// The index before this one; that before the first is 0.
    pub const fn previous(self) -> Self {
        Self(self.0.saturating_sub(1))
    }
}

/// Identity of a member: a machine together with its data folder.
///
/// A machine that lost its folder has forgotten its votes, so it is another member.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct MemberId {
    /// The machine.
    pub node: NodeNumber,
    /// Its data folder.
    pub incarnation: Incarnation,
}

impl fmt::Display for MemberId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.node, self.incarnation)
    }
}

/// Term and index of an entry; ordered as Raft compares logs, by term first.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct LogPosition {
    /// Term of the entry.
    pub term: Term,
    /// Index of the entry.
    pub index: LogIndex,
}

/// What an entry holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Nothing: the entry with which a leader opens its term.
    Empty,
    /// A command for the state machine.
    Command(Bytes),
    /// The members from this entry on.
    Configuration(Configuration),
}

/// An entry of the replicated log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Term of the leader that appended it.
    pub term: Term,
    /// Its index.
    pub index: LogIndex,
    /// What it holds.
    pub payload: Payload,
}

impl Entry {
    /// Term and index.
    pub fn position(&self) -> LogPosition {
        LogPosition { term: self.term, index: self.index }
    }

    /// Bytes of the command, if it holds one.
    pub fn size(&self) -> usize {
        match &self.payload {
            Payload::Command(command) => command.len(),
            Payload::Empty | Payload::Configuration(_) => 0,
        }
    }
}

/// What a member must not forget before it sends anything that follows from it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The latest term that the member has seen.
    pub term: Term,
    /// Whom it voted for in that term.
    pub vote: Option<MemberId>,
}

/// What a snapshot covers.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotMetadata {
    /// The last entry that it covers.
    pub position: LogPosition,
    /// The members as of that entry.
    pub configuration: Configuration,
}

/// The state machine's state after some entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// What it covers.
    pub metadata: SnapshotMetadata,
    /// The state, as the state machine wrote it.
    pub data: Bytes,
}

/// What a member reads back from its data folder.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Recovered {
    /// Term and vote.
    pub hard_state: HardState,
    /// The latest snapshot.
    pub snapshot: Option<Snapshot>,
    /// The entries after the snapshot, without a gap.
    pub entries: Vec<Entry>,
    /// The last entry that was known to be committed; it is applied before a leader is found.
    pub commit: LogIndex,
}

impl Recovered {
    /// What the one member that forms a new cluster starts from: a log whose only entry names
    /// the members. The driver persists it before it starts.
    pub fn bootstrap(configuration: Configuration) -> Self {
        let term = Term(1);
        let payload = Payload::Configuration(configuration);
        let entry = Entry { term, index: LogIndex(1), payload };
        let hard_state = HardState { term, vote: None };
        Self { hard_state, snapshot: None, entries: vec![entry], commit: LogIndex(0) }
    }

    /// Whether nothing was ever persisted.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}
