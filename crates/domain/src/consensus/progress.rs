//! What a leader knows about another member's log.

use std::collections::VecDeque;
use std::time::Duration;

use super::message::ReadRound;
use super::types::{Entry, LogIndex, Snapshot};
use crate::time::Timestamp;

/// What a leader knows about another member's log.
#[derive(Debug, Clone)]
pub(super) struct Progress {
    /// Last entry that is known to be on the member's disk and the same as the leader's.
    pub matched: LogIndex,
    /// Next entry to send.
    pub next: LogIndex,
    /// How entries are sent.
    pub state: ProgressState,
    /// When the member last answered in this term.
    pub heard: Timestamp,
    /// Latest round of reads that it confirmed.
    pub confirmed_round: ReadRound,
}

/// How entries are sent to a member.
#[derive(Debug, Clone)]
pub(super) enum ProgressState {
    /// Where the logs part is being looked for: one request at a time.
    Probe {
        /// Whether a request is on the way.
        waiting: bool,
    },
    /// Entries are sent without waiting.
    Replicate {
        /// Last entries of the requests on the way.
        in_flight: VecDeque<LogIndex>,
    },
    /// The member gets a snapshot first.
    Snapshot(SnapshotTransfer),
}

/// A snapshot on its way to a member.
#[derive(Debug, Clone)]
pub(super) struct SnapshotTransfer {
    pub snapshot: Snapshot,
    /// Bytes that the member has.
    pub received: u64,
}

impl Progress {
    /// A member of which nothing is known; `next` is tried first.
    pub fn new(next: LogIndex, now: Timestamp) -> Self {
        Self {
            matched: LogIndex(0),
            next,
            state: ProgressState::Probe { waiting: false },
            heard: now,
            confirmed_round: ReadRound(0),
        }
    }

    /// Whether the member answered within `span`.
    pub fn is_active(&self, now: Timestamp, span: Duration) -> bool {
        now.since(self.heard) < span
    }

    /// Whether no entries may be sent now.
    pub fn is_paused(&self, in_flight_limit: usize) -> bool {
        match &self.state {
            ProgressState::Probe { waiting } => *waiting,
            ProgressState::Replicate { in_flight } => in_flight.len() >= in_flight_limit,
            ProgressState::Snapshot(_) => true,
        }
    }

    /// Entries were sent.
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

    /// A heartbeat is due: what was sent may have been lost.
    pub fn retry_probe(&mut self) {
        if let ProgressState::Probe { waiting } = &mut self.state {
            *waiting = false;
        }
    }

    /// The member's log agrees up to `matched`; tells whether that is news.
    pub fn accepted(&mut self, matched: LogIndex) -> bool {
        let news = matched > self.matched;
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
        news
    }

    /// The member lacks the entry before the ones sent; tells whether to send again at once.
    pub fn rejected(&mut self, previous: LogIndex, hint: LogIndex) -> bool {
        let next = match &self.state {
            ProgressState::Replicate { .. } if previous > self.matched => self.matched.next(),
            ProgressState::Probe { .. } if previous.next() == self.next => {
                previous.min(hint.next()).max(self.matched.next())
            }
            // An answer to an earlier request.
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
