//! Requests of other tasks that wait for the log.

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

/// Requests that wait for the log. A requester that gave up is not told.
#[derive(Default)]
pub(super) struct PendingRequests {
    proposals: BTreeMap<LogIndex, PendingProposal>,
    /// Reads that no quorum has confirmed yet.
    unconfirmed: BTreeMap<RequestNumber, PendingRead>,
    /// Reads that wait for entries to be applied.
    confirmed: Vec<ConfirmedRead>,
    /// Changes that the leader has not answered yet.
    asked: BTreeMap<RequestNumber, PendingChange>,
    /// Changes that are in the log.
    logged: Vec<LoggedChange>,
    next: u64,
}

struct PendingProposal {
    term: Term,
    reply: ProposeReply,
}

struct PendingRead {
    due: Timestamp,
    reply: ReadReply,
}

struct ConfirmedRead {
    index: LogIndex,
    reply: ReadReply,
}

struct PendingChange {
    due: Timestamp,
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

    pub fn add_read(&mut self, number: RequestNumber, due: Timestamp, reply: ReadReply) {
        self.unconfirmed.insert(number, PendingRead { due, reply });
    }

    pub fn add_asked_change(
        &mut self,
        number: RequestNumber,
        due: Timestamp,
        change: MemberChange,
        reply: ChangeReply,
    ) {
        self.asked.insert(number, PendingChange { due, change, reply });
    }

    pub fn add_logged_change(&mut self, index: LogIndex, change: MemberChange, reply: ChangeReply) {
        self.logged.push(LoggedChange { index, change, reply });
    }

    /// An entry was accepted.
    pub fn accepted(&mut self, entry: &Entry) {
        if let Some(pending) = self.proposals.remove(&entry.index) {
            let same = pending.term == entry.term;
            let _ = pending.reply.send(if same { Ok(()) } else { Err(ProposeError::Dropped) });
        }
    }

    /// Entries up to `index` were accepted that this process did not see.
    pub fn skipped_to(&mut self, index: LogIndex) {
        let later = self.proposals.split_off(&index.next());
        for pending in std::mem::replace(&mut self.proposals, later).into_values() {
            let _ = pending.reply.send(Err(ProposeError::Dropped));
        }
    }

    /// This member no longer leads, or its disk takes no writes: what waits may be accepted or not.
    pub fn drop_proposals(&mut self) {
        for pending in std::mem::take(&mut self.proposals).into_values() {
            let _ = pending.reply.send(Err(ProposeError::Dropped));
        }
    }

    /// A read was confirmed or dropped.
    pub fn read_outcome(&mut self, outcome: ReadOutcome) {
        let Some(pending) = self.unconfirmed.remove(&outcome.number) else {
            return;
        };
        match outcome.result {
            Ok(index) => self.confirmed.push(ConfirmedRead { index, reply: pending.reply }),
            Err(error) => {
                let _ = pending.reply.send(Err(error.into()));
            }
        }
    }

    /// The leader answered a change that this process asked for.
    pub fn change_outcome(
        &mut self,
        number: RequestNumber,
        result: Result<LogIndex, consensus::MemberChangeError>,
    ) {
        let Some(pending) = self.asked.remove(&number) else {
            return;
        };
        match result {
            Ok(index) => self.add_logged_change(index, pending.change, pending.reply),
            Err(error) => {
                let _ = pending.reply.send(Err(error.into()));
            }
        }
    }

    /// Entries up to `applied` were handed to the state machine; `command` is the last command.
    pub fn applied(&mut self, applied: LogIndex, command: LogIndex, members: &Configuration) {
        let confirmed = std::mem::take(&mut self.confirmed);
        for read in confirmed {
            if read.index <= applied {
                let _ = read.reply.send(Ok(command));
            } else {
                self.confirmed.push(read);
            }
        }
        let logged = std::mem::take(&mut self.logged);
        for pending in logged {
            if pending.index > applied {
                self.logged.push(pending);
                continue;
            }
            let made = members.reflects(pending.change);
            let _ = pending.reply.send(if made { Ok(()) } else { Err(ChangeError::Dropped) });
        }
    }

    /// Gives up what the leader did not answer in time.
    pub fn expire(&mut self, now: Timestamp) {
        let reads = std::mem::take(&mut self.unconfirmed);
        for (number, pending) in reads {
            if pending.due > now {
                self.unconfirmed.insert(number, pending);
            } else {
                let _ = pending.reply.send(Err(consensus::ReadError::Dropped.into()));
            }
        }
        let changes = std::mem::take(&mut self.asked);
        for (number, pending) in changes {
            if pending.due > now {
                self.asked.insert(number, pending);
            } else {
                let _ = pending.reply.send(Err(ChangeError::Dropped));
            }
        }
        // Their requesters gave up.
        self.proposals.retain(|_, pending| !pending.reply.is_closed());
        self.confirmed.retain(|pending| !pending.reply.is_closed());
        self.logged.retain(|pending| !pending.reply.is_closed());
    }
}
