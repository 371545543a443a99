//! Replication progress of another member, as tracked by the leader.

use std::collections::VecDeque;
use std::time::Duration;

use super::message::ReadRound;
use super::types::{Entry, LogIndex, Snapshot};
use crate::time::Timestamp;

/// Replication progress of another member.
#[derive(Debug, Clone)]
pub(super) struct Progress {
    /// Last entry known to match the leader's log and to be on the member's disk.
    pub matched: LogIndex,
    /// Index of the next entry to send.
    pub next: LogIndex,
    /// Replication mode.
    pub state: ProgressState,
    /// When the member last responded in this term, in any way.
    pub last_contact: Timestamp,
    /// When the member last sent a response that had waited for its writes.
    pub last_durable_contact: Timestamp,
    /// Latest read round that the member confirmed.
    pub confirmed_round: ReadRound,
    /// The member's request to stop, until it expires.
    pub stop: Option<PendingStop>,
}

/// A request of a member to stop.
#[derive(Debug, Clone, Copy)]
pub(super) struct PendingStop {
    /// Until when the request is valid.
    pub valid_until: Timestamp,
    /// Whether the leader has permitted the stop.
    pub permitted: bool,
}

/// Replication mode of a member.
#[derive(Debug, Clone)]
pub(super) enum ProgressState {
    /// The leader searches for the last matching entry, with one request at a time.
    Probe {
        /// Whether a request is in flight.
        waiting: bool,
    },
    /// Entries are pipelined.
    Replicate {
        /// Last entry of each request in flight.
        in_flight: VecDeque<LogIndex>,
    },
    /// A snapshot is transferred first.
    Snapshot(SnapshotTransfer),
}

/// A snapshot transfer to a member.
#[derive(Debug, Clone)]
pub(super) struct SnapshotTransfer {
    pub snapshot: Snapshot,
    /// Bytes that the member has acknowledged.
    pub received: u64,
}

impl Progress {
    /// Progress of a member whose log is unknown; probing starts at `next`.
    pub fn new(next: LogIndex, now: Timestamp) -> Self {
        Self {
            matched: LogIndex(0),
            next,
            state: ProgressState::Probe { waiting: false },
            last_contact: now,
            last_durable_contact: now,
            confirmed_round: ReadRound(0),
            stop: None,
        }
    }

    /// Whether the member responded within `span`, even if its disk is slow.
    pub fn is_alive(&self, now: Timestamp, span: Duration) -> bool {
        now.since(self.last_contact) < span
    }

    /// Whether the member responded within `span` with its writes on disk.
    pub fn is_active(&self, now: Timestamp, span: Duration) -> bool {
        now.since(self.last_durable_contact) < span
    }

    /// Records a response that had waited for the member's writes.
    pub fn record_durable_contact(&mut self, now: Timestamp) {
        self.last_contact = now;
        self.last_durable_contact = now;
    }

    /// The member's request to stop, if it is still valid.
    pub fn pending_stop(&self, now: Timestamp) -> Option<PendingStop> {
        self.stop.filter(|stop| now < stop.valid_until)
    }

    /// Whether sending entries is currently suspended.
    pub fn is_paused(&self, in_flight_limit: usize) -> bool {
        match &self.state {
            ProgressState::Probe { waiting } => *waiting,
            ProgressState::Replicate { in_flight } => in_flight.len() >= in_flight_limit,
            ProgressState::Snapshot(_) => true,
        }
    }

    /// Records that `entries` were sent.
    pub fn sent(&mut self, entries: &[Entry]) {
        let Some(last) = entries.last() else {
            return;
        };
        match &mut self.state {
            ProgressState::Probe { waiting } => *waiting = true,
            ProgressState::Replicate { in_flight } => {
                in_flight.push_back(last.index);
                self.next = last.index.next();
            }
            ProgressState::Snapshot(_) => {}
        }
    }

    /// Allows another probe at a heartbeat, as the last one may have been lost.
    pub fn retry_probe(&mut self) {
        if let ProgressState::Probe { waiting } = &mut self.state {
            *waiting = false;
        }
    }

    /// Records that the member's log matches up to `matched`; returns whether that advanced.
    pub fn accepted(&mut self, matched: LogIndex) -> bool {
        let advanced = matched > self.matched;
        self.matched = self.matched.max(matched);
        self.next = self.next.max(self.matched.next());
        match &mut self.state {
            ProgressState::Probe { .. } => self.replicate(),
            ProgressState::Replicate { in_flight } => {
                while in_flight.front().is_some_and(|last| *last <= matched) {
                    in_flight.pop_front();
                }
            }
            ProgressState::Snapshot(transfer) => {
                if matched >= transfer.snapshot.metadata.position.index {
                    self.replicate();
                }
            }
        }
        advanced
    }

    /// Records a rejected request; returns whether to send the next probe at once.
    pub fn rejected(&mut self, previous: LogIndex, hint: LogIndex) -> bool {
        let next = match &self.state {
            ProgressState::Replicate { .. } if previous > self.matched => self.matched.next(),
            ProgressState::Probe { .. } if previous.next() == self.next => {
                previous.min(hint.next()).max(self.matched.next())
            }
            // Stale response to an earlier request.
            _ => return false,
        };
        let moved = next != self.next;
        self.next = next;
        self.state = ProgressState::Probe { waiting: !moved };
        moved
    }

    fn replicate(&mut self) {
        self.next = self.matched.next();
        self.state = ProgressState::Replicate { in_flight: VecDeque::new() };
    }
}
