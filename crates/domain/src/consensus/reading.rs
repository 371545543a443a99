//! Reads that a quorum confirms.
//!
//! A leader notes its commit index, asks all members for a sign, and answers once a quorum of
//! voters gave one in its term: then no later leader had been elected when the index was noted.

use super::error::ReadError;
use super::leadership::{PendingRead, PendingRound, Role};
use super::leading::Sending;
use super::message::{Message, ReadRound, RequestNumber};
use super::node::Node;
use super::ready::ReadOutcome;
use super::types::{LogIndex, MemberId};

impl Node {
    /// Starts a read; its outcome comes with a [`super::Ready`], unless it is lost on the way to
    /// the leader or back: the driver gives up after a time of its own.
    ///
    /// # Errors
    /// [`ReadError::NoLeader`] when no leader is known.
    pub fn read(&mut self, number: RequestNumber) -> Result<(), ReadError> {
        if matches!(self.role, Role::Leader(_)) {
            self.queue_read(PendingRead { origin: self.identity, number });
            return Ok(());
        }
        let leader = self.leader.ok_or(ReadError::NoLeader)?;
        self.send(leader, Message::ReadRequest { number });
        Ok(())
    }

    pub(super) fn handle_read_request(&mut self, from: MemberId, number: RequestNumber) {
        self.queue_read(PendingRead { origin: from, number });
    }

    pub(super) fn handle_read_response(&mut self, number: RequestNumber, index: LogIndex) {
        self.reads.push(ReadOutcome { number, result: Ok(index) });
    }

    fn queue_read(&mut self, read: PendingRead) {
        if let Role::Leader(leadership) = &mut self.role {
            leadership.reads.waiting.push(read);
            self.start_read_round();
        }
    }

    /// Starts a round for the reads that wait, once the leader has committed an entry of its own
    /// term: before, its commit index may be behind.
    pub(super) fn start_read_round(&mut self) {
        let own_term = self.log.term_at(self.commit) == Some(self.hard_state.term);
        let index = self.commit;
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        let reads = &mut leadership.reads;
        if !own_term || reads.round.is_some() || reads.waiting.is_empty() {
            return;
        }
        reads.latest = ReadRound(reads.latest.0 + 1);
        reads.round = Some(PendingRound { index, reads: std::mem::take(&mut reads.waiting) });
        self.broadcast(Sending::Always);
        self.confirm_reads();
    }

    /// Answers the reads of a round that a quorum confirmed.
    pub(super) fn confirm_reads(&mut self) {
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        let latest = leadership.reads.latest;
        let progress = &leadership.progress;
        let identity = self.identity;
        let confirmed = self.configurations.current().has_quorum(|voter| {
            voter == identity
                || progress.get(&voter).is_some_and(|progress| progress.confirmed_round >= latest)
        });
        if !confirmed {
            return;
        }
        let Some(round) = leadership.reads.round.take() else {
            return;
        };
        for read in round.reads {
            self.answer_read(read, round.index);
        }
        self.start_read_round();
    }

    fn answer_read(&mut self, read: PendingRead, index: LogIndex) {
        if read.origin == self.identity {
            self.reads.push(ReadOutcome { number: read.number, result: Ok(index) });
        } else {
            self.send(read.origin, Message::ReadResponse { number: read.number, index });
        }
    }

    /// The office is lost: own reads fail, others' askers give up by themselves.
    pub(super) fn drop_reads(&mut self) {
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        let reads = std::mem::take(&mut leadership.reads);
        let in_round = reads.round.into_iter().flat_map(|round| round.reads);
        for read in in_round.chain(reads.waiting) {
            if read.origin == self.identity {
                let result = Err(ReadError::Dropped);
                self.reads.push(ReadOutcome { number: read.number, result });
            }
        }
    }
}
