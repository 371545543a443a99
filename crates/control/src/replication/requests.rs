//! Requests from other tasks that await an outcome of the log.

use std::collections::BTreeMap;

use gingerkeel_domain::consensus::{
    self, Configuration, Entry, LogIndex, LogPosition, MemberChange, ReadOutcome, RequestNumber,
    Term,
};
use gingerkeel_domain::time::Timestamp;
use local_sync::oneshot;

use super::error::{ChangeError, ProposeError, ReadError};

pub(super) type ProposeReply = oneshot::Sender<Result<(), ProposeError>>;
pub(super) type ReadReply = oneshot::Sender<Result<LogIndex, ReadError>>;
pub(super) type ChangeReply = oneshot::Sender<Result<(), ChangeError>>;

/// Requests that await an outcome. Replies to requesters that gave up are discarded.
#[derive(Default)]
pub(super) struct PendingRequests {
    /// Proposals in the log of this leader that are not committed yet.
    proposals: BTreeMap<LogIndex, PendingProposal>,
    /// Reads that no quorum has confirmed yet.
    unconfirmed_reads: BTreeMap<RequestNumber, PendingRead>,
    /// Confirmed reads whose index is not applied yet.
    confirmed_reads: Vec<ConfirmedRead>,
    /// Membership changes that the leader has not answered yet.
    unanswered_changes: BTreeMap<RequestNumber, PendingChange>,
    /// Membership changes in the log that are not applied yet.
    logged_changes: Vec<LoggedChange>,
    next: u64,
}

struct PendingProposal {
    term: Term,
    reply: ProposeReply,
}

struct PendingRead {
    deadline: Timestamp,
    reply: ReadReply,
}

struct ConfirmedRead {
    index: LogIndex,
    reply: ReadReply,
}

struct PendingChange {
    deadline: Timestamp,
    change: MemberChange,
    reply: ChangeReply,
}

struct LoggedChange {
    index: LogIndex,
    change: MemberChange,
    reply: ChangeReply,
}

impl PendingRequests {
    pub fn next_number(&mut self) -> RequestNumber {
        self.next += 1;
        RequestNumber(self.next)
    }

    pub fn add_proposal(&mut self, position: LogPosition, reply: ProposeReply) {
        let pending = PendingProposal { term: position.term, reply };
        self.proposals.insert(position.index, pending);
    }

    pub fn add_read(&mut self, number: RequestNumber, deadline: Timestamp, reply: ReadReply) {
        self.unconfirmed_reads.insert(number, PendingRead { deadline, reply });
    }

    pub fn add_unanswered_change(
        &mut self,
        number: RequestNumber,
        deadline: Timestamp,
        change: MemberChange,
        reply: ChangeReply,
    ) {
        self.unanswered_changes.insert(number, PendingChange { deadline, change, reply });
    }

    pub fn add_logged_change(&mut self, index: LogIndex, change: MemberChange, reply: ChangeReply) {
        self.logged_changes.push(LoggedChange { index, change, reply });
    }

    /// Answers the proposal at the index of a committed entry. An entry of another term means that
    /// the proposal was overwritten.
    pub fn committed(&mut self, entry: &Entry) {
        if let Some(pending) = self.proposals.remove(&entry.index) {
            let same = pending.term == entry.term;
            let _ = pending.reply.send(if same { Ok(()) } else { Err(ProposeError::Dropped) });
        }
    }

    /// Drops proposals up to `index`, which a snapshot covers: their outcome is unknown.
    pub fn drop_covered(&mut self, index: LogIndex) {
        let later = self.proposals.split_off(&index.next());
        for pending in std::mem::replace(&mut self.proposals, later).into_values() {
            let _ = pending.reply.send(Err(ProposeError::Dropped));
        }
    }

    /// Drops all proposals, when this member no longer leads or its disk accepts no writes: they
    /// may still be committed.
    pub fn drop_proposals(&mut self) {
        for pending in std::mem::take(&mut self.proposals).into_values() {
            let _ = pending.reply.send(Err(ProposeError::Dropped));
        }
    }

    /// Handles the outcome of a read: confirmed by a quorum, or dropped.
    pub fn resolve_read(&mut self, outcome: ReadOutcome) {
        let Some(pending) = self.unconfirmed_reads.remove(&outcome.number) else {
            return;
        };
        match outcome.result {
            Ok(index) => self.confirmed_reads.push(ConfirmedRead { index, reply: pending.reply }),
            Err(error) => {
                let _ = pending.reply.send(Err(error.into()));
            }
        }
    }

    /// Handles the leader's answer to a membership change that this process requested.
    pub fn resolve_change(
        &mut self,
        number: RequestNumber,
        result: Result<LogIndex, consensus::MemberChangeError>,
    ) {
        let Some(pending) = self.unanswered_changes.remove(&number) else {
            return;
        };
        match result {
            Ok(index) => self.add_logged_change(index, pending.change, pending.reply),
            Err(error) => {
                let _ = pending.reply.send(Err(error.into()));
            }
        }
    }

    /// Answers what waits for entries up to `applied`, which were passed to the state machine;
    /// `command` is the index of the last command among them.
    pub fn applied(&mut self, applied: LogIndex, command: LogIndex, members: &Configuration) {
        let confirmed_reads = std::mem::take(&mut self.confirmed_reads);
        for read in confirmed_reads {
            if read.index <= applied {
                let _ = read.reply.send(Ok(command));
            } else {
                self.confirmed_reads.push(read);
            }
        }
        let logged_changes = std::mem::take(&mut self.logged_changes);
        for pending in logged_changes {
            if pending.index > applied {
                self.logged_changes.push(pending);
                continue;
            }
            let is_applied = members.reflects(pending.change);
            let _ = pending.reply.send(if is_applied { Ok(()) } else { Err(ChangeError::Dropped) });
        }
    }

    /// Fails reads and membership changes whose deadline has passed, and forgets requests whose
    /// requester gave up.
    pub fn expire(&mut self, now: Timestamp) {
        let reads = std::mem::take(&mut self.unconfirmed_reads);
        for (number, pending) in reads {
            if pending.deadline > now {
                self.unconfirmed_reads.insert(number, pending);
            } else {
                let _ = pending.reply.send(Err(consensus::ReadError::Dropped.into()));
            }
        }
        let changes = std::mem::take(&mut self.unanswered_changes);
        for (number, pending) in changes {
            if pending.deadline > now {
                self.unanswered_changes.insert(number, pending);
            } else {
                let _ = pending.reply.send(Err(ChangeError::Dropped));
            }
        }
        self.proposals.retain(|_, pending| !pending.reply.is_closed());
        self.confirmed_reads.retain(|pending| !pending.reply.is_closed());
        self.logged_changes.retain(|pending| !pending.reply.is_closed());
    }
}
