//! Output to the driver: writes, messages that depend on them, and committed entries.

use super::message::{Envelope, Message};
use super::node::Node;
use super::ready::{IssuedWrite, Ready, Write, WriteNumber};
use super::types::{Entry, HardState, LogIndex, MemberId, Term};
use crate::time::Timestamp;

impl Node {
    /// Takes the pending work of the driver; `None` when there is none.
    pub fn ready(&mut self) -> Option<Ready> {
        let ready = Ready {
            write: self.take_write(),
            messages: self.outbox.take(),
            restore: self.restore.take(),
            committed: self.take_committed(),
            reads: std::mem::take(&mut self.reads),
            member_changes: std::mem::take(&mut self.member_changes),
        };
        (ready != Ready::default()).then_some(ready)
    }

    /// Records that all writes up to `number` are on disk.
    pub fn persisted(&mut self, now: Timestamp, number: WriteNumber) {
        let vote_was_being_written = self.vote_is_being_written();
        while self.writes.front().is_some_and(|write| write.number <= number) {
            let Some(write) = self.writes.pop_front() else {
                break;
            };
            self.persisted = write.number;
            self.log.mark_persisted(write.last);
            if write.restore.is_some() {
                self.restore = write.restore;
            }
        }
        self.outbox.release(self.persisted);
        if vote_was_being_written && !self.vote_is_being_written() {
            self.vote_persisted(now);
        }
        self.advance_commit(now);
    }

    /// Whether work for the driver is pending.
    pub fn has_ready(&self) -> bool {
        self.is_dirty()
            || self.outbox.has_sendable()
            || self.restore.is_some()
            || self.applicable() > self.applied
            || !self.reads.is_empty()
            || !self.member_changes.is_empty()
    }

    /// Whether any state has not been passed to the driver to be persisted.
    fn is_dirty(&self) -> bool {
        self.hard_state != self.issued_hard_state
            || self.unissued_snapshot.is_some()
            || self.log.has_unissued()
    }

    /// The write after which the entire current state is on disk.
    fn pending_write(&self) -> WriteNumber {
        if self.is_dirty() { WriteNumber(self.issued.0 + 1) } else { self.issued }
    }

    /// Sends once the entire current state is on disk.
    pub(super) fn send(&mut self, to: MemberId, message: Message) {
        let needed = self.pending_write();
        self.push(to, self.hard_state.term, message, needed);
    }

    /// Whether the current term and vote are on disk.
    pub(super) fn term_is_persisted(&self) -> bool {
        self.term_write <= self.persisted
    }

    /// Whether this member has voted in the current term and the vote is not on disk yet.
    pub(super) fn vote_is_being_written(&self) -> bool {
        self.hard_state.vote.is_some() && !self.term_is_persisted()
    }

    /// Whether the entire current state is on disk.
    pub(super) fn all_is_persisted(&self) -> bool {
        self.pending_write() <= self.persisted
    }

    /// Sends once the current term is on disk. A leader's requests may precede the write of its
    /// own entries, because it counts its own replica only after that write.
    pub(super) fn send_once_in_term(&mut self, to: MemberId, message: Message) {
        self.push(to, self.hard_state.term, message, self.term_write);
    }

    /// Sends a pre-vote request at once, as it depends on no persisted state.
    pub(super) fn send_pre_vote(&mut self, to: MemberId, message: Message) {
        let term = Term(self.hard_state.term.0 + 1);
        self.push(to, term, message, WriteNumber(0));
    }

    /// Grants a pre-vote, with the term of the request.
    pub(super) fn grant_pre_vote(&mut self, to: MemberId, term: Term) {
        self.push(to, term, Message::PreVoteResponse { granted: true }, WriteNumber(0));
    }

    pub(super) fn set_hard_state(&mut self, now: Timestamp, hard_state: HardState) {
        let next = WriteNumber(self.issued.0 + 1);
        if hard_state != self.hard_state {
            self.hard_state = hard_state;
            self.term_write = next;
            self.term_set_at = now;
        }
    }

    fn push(&mut self, to: MemberId, term: Term, message: Message, needed: WriteNumber) {
        let envelope = Envelope { from: self.identity, to, term, message };
        self.outbox.push(envelope, needed, self.persisted);
    }

    fn take_write(&mut self) -> Option<Write> {
        if !self.is_dirty() {
            return None;
        }
        let number = self.pending_write();
        let changed = self.hard_state != self.issued_hard_state;
        let snapshot = self.unissued_snapshot.take();
        let restore = snapshot.as_ref().filter(|snapshot| snapshot.replaces_log);
        let restore = restore.map(|snapshot| snapshot.snapshot.clone());
        let entries = self.log.take_unissued();
        self.issued = number;
        self.issued_hard_state = self.hard_state;
        self.writes.push_back(IssuedWrite { number, last: self.log.last(), restore });
        let hard_state = changed.then_some(self.hard_state);
        Some(Write { number, hard_state, snapshot, entries, commit: self.commit })
    }

    /// Last entry that may be applied: committed and on this member's disk.
    fn applicable(&self) -> LogIndex {
        self.commit.min(self.log.persisted())
    }

    fn take_committed(&mut self) -> Vec<Entry> {
        let last = self.applicable().max(self.applied);
        let entries = self.log.between(self.applied, last);
        self.applied = last;
        entries
    }
}
