//! What the core asks its driver to do.

use std::collections::VecDeque;

use super::error::{MemberChangeError, ReadError};
use super::message::{Envelope, RequestNumber};
use super::types::{Entry, HardState, LogIndex, LogPosition, Snapshot};

/// Number of a write; writes are persisted in the order of their numbers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct WriteNumber(pub u64);

/// What the driver has to do next, each part in the order of the fields.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Ready {
    /// To be persisted; then the driver calls [`super::Node::persisted`].
    pub write: Option<Write>,
    /// To be sent now: the core holds back what depends on writes that are not persisted.
    pub messages: Vec<Envelope>,
    /// A snapshot from the leader that replaces the state machine's state.
    pub restore: Option<Snapshot>,
    /// Entries to be applied, in order.
    pub committed: Vec<Entry>,
    /// Outcomes of reads of this member.
    pub reads: Vec<ReadOutcome>,
    /// Outcomes of changes of members that this member asked another for.
    pub member_changes: Vec<MemberChangeOutcome>,
}

/// What has to reach the disk, in the order of the fields.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Write {
    /// Its number.
    pub number: WriteNumber,
    /// Term and vote, when they changed.
    pub hard_state: Option<HardState>,
    /// A snapshot.
    pub snapshot: Option<SnapshotWrite>,
    /// Entries to be appended; entries on disk from the first one's index on are void.
    pub entries: Vec<Entry>,
    /// The last entry that is known to be committed. No write is made for its sake: it goes with
    /// the next one, so that a member that starts again can apply what it had.
    pub commit: LogIndex,
}

/// A snapshot to be persisted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SnapshotWrite {
    /// The snapshot.
    pub snapshot: Snapshot,
    /// Whether it came from the leader, so that all entries on disk are void; otherwise only
    /// those up to the snapshot's position may be removed.
    pub replaces_log: bool,
}

/// Outcome of a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadOutcome {
    /// The number given with the read.
    pub number: RequestNumber,
    /// The entry that must be applied before the read is answered.
    pub result: Result<LogIndex, ReadError>,
}

/// Outcome of a change of the members.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberChangeOutcome {
    /// The number given with the change.
    pub number: RequestNumber,
    /// The entry that holds the change; it is not committed yet.
    pub result: Result<LogIndex, MemberChangeError>,
}

/// A write that was handed out.
#[derive(Debug, Clone)]
pub(super) struct IssuedWrite {
    pub number: WriteNumber,
    /// Last entry on disk once it is persisted.
    pub last: LogPosition,
    /// The snapshot to be restored once it is persisted.
    pub restore: Option<Snapshot>,
}

/// Messages to be sent, and those held back until a write is persisted.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    sendable: Vec<Envelope>,
    held: VecDeque<HeldEnvelope>,
}

#[derive(Debug)]
struct HeldEnvelope {
    needed: WriteNumber,
    envelope: Envelope,
}

impl Outbox {
    /// Sends once `needed` is persisted.
    pub fn push(&mut self, envelope: Envelope, needed: WriteNumber, persisted: WriteNumber) {
        if needed <= persisted {
            self.sendable.push(envelope);
        } else {
            self.held.push_back(HeldEnvelope { needed, envelope });
        }
    }

    /// Everything up to `persisted` is on disk.
    pub fn release(&mut self, persisted: WriteNumber) {
        let held = std::mem::take(&mut self.held);
        for message in held {
            if message.needed <= persisted {
                self.sendable.push(message.envelope);
            } else {
                self.held.push_back(message);
            }
        }
    }

    pub fn take(&mut self) -> Vec<Envelope> {
        std::mem::take(&mut self.sendable)
    }

    pub fn has_sendable(&self) -> bool {
        !self.sendable.is_empty()
    }
}
