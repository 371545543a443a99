//! Work that the core passes to its driver.

use std::collections::VecDeque;

use super::error::{MemberChangeError, ReadError};
use super::message::{Envelope, RequestNumber};
use super::types::{Entry, HardState, LogIndex, LogPosition, Snapshot};

/// Sequence number of a write; writes are persisted in this order.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct WriteNumber(pub u64);

/// Pending work of the driver, to be done in the order of the fields.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Ready {
    /// State to persist; afterwards the driver calls [`super::Node::persisted`].
    pub write: Option<Write>,
    /// Messages to send at once; those that depend on pending writes are held back.
    pub messages: Vec<Envelope>,
    /// A snapshot that replaces the state machine's state: the leader's, or on start its own.
    pub restore: Option<Snapshot>,
    /// Entries to apply, in order.
    pub committed: Vec<Entry>,
    /// Outcomes of reads started on this member.
    pub reads: Vec<ReadOutcome>,
    /// Outcomes of membership changes that this member requested from the leader.
    pub member_changes: Vec<MemberChangeOutcome>,
}

/// State to persist, in the order of the fields.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Write {
    /// Sequence number of the write.
    pub number: WriteNumber,
    /// Term and vote, if changed.
    pub hard_state: Option<HardState>,
    /// A new snapshot, if any.
    pub snapshot: Option<SnapshotWrite>,
    /// Entries to append; they replace all entries on disk from the first one's index on.
    pub entries: Vec<Entry>,
    /// Commit index. It causes no write of its own but is saved with the next one, so that a
    /// restarted member can apply committed entries at once.
    pub commit: LogIndex,
}

/// A snapshot to persist.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SnapshotWrite {
    /// Content of the snapshot.
    pub snapshot: Snapshot,
    /// Whether the leader sent the snapshot, which invalidates all entries on disk; otherwise
    /// only the entries up to the snapshot's position may be removed.
    pub replaces_log: bool,
}

/// Outcome of a read, matched to its request by number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadOutcome {
    /// Number passed to [`super::Node::read`].
    pub number: RequestNumber,
    /// Read index: the entry that must be applied before the read is served.
    pub result: Result<LogIndex, ReadError>,
}

/// Outcome of a requested membership change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberChangeOutcome {
    /// Number passed to [`super::Node::request_member_change`].
    pub number: RequestNumber,
    /// Index of the entry that holds the change, which is not committed yet.
    pub result: Result<LogIndex, MemberChangeError>,
}

/// A write passed to the driver and not yet persisted.
#[derive(Debug, Clone)]
pub(super) struct IssuedWrite {
    pub number: WriteNumber,
    /// Last entry on disk once the write is persisted.
    pub last: LogPosition,
    /// Snapshot to restore once the write is persisted.
    pub restore: Option<Snapshot>,
}

/// Messages ready to send, and those held back until a write is persisted.
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
    /// Queues a message that may be sent once `needed` is persisted.
    pub fn push(&mut self, envelope: Envelope, needed: WriteNumber, persisted: WriteNumber) {
        if needed <= persisted {
            self.sendable.push(envelope);
        } else {
            self.held.push_back(HeldEnvelope { needed, envelope });
        }
    }

    /// Releases the messages whose writes are persisted, up to `persisted`.
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
