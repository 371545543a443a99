//! Linearizable reads by read index.
//!
//! The leader records its commit index, sends a round of append requests, and answers once a
//! quorum of voters has responded in its term. This proves that no later leader had been elected
//! when the index was recorded.

use super::error::ReadError;
use super::leadership::{PendingRead, PendingRound, Role};
use super::leading::AppendMode;
use super::message::{Message, ReadRound, RequestNumber};
use super::node::Node;
use super::ready::ReadOutcome;
use super::types::{LogIndex, MemberId};

impl Node {
    /// Starts a read; the outcome arrives in a [`super::Ready`]. The request or the response may
    /// be lost in transit, so the driver needs its own timeout.
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

    /// Starts a round for the queued reads, once the leader has committed an entry of its own
    /// term. Before that, its commit index may be stale.
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
        self.broadcast(AppendMode::Always);
        self.confirm_reads();
    }

    /// Answers the reads of the current round if a quorum has confirmed it.
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

    /// Fails this member's own pending reads when it steps down; remote requesters time out.
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
