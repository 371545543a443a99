//! Elections: pre-vote, votes and stepping down to follower.

use super::leadership::{Ballot, Candidacy, Role};
use super::message::Message;
use super::node::Node;
use super::types::{HardState, LogPosition, MemberId, Term};
use crate::time::Timestamp;

/// Limit of the time that is added to the election timeout for slow writes, in election timeouts.
const WRITE_TIME_LIMIT: u32 = 4;

impl Node {
    /// Handles the election timeout: asks for pre-votes, unless this member may not stand for
    /// election, or its vote is being written.
    pub(super) fn time_out(&mut self, now: Timestamp) {
        self.reset_election_timer(now);
        self.leader = None;
        let may_stand = self.may_be_elected() && self.storage_available && !self.stopping;
        if may_stand && !self.vote_is_being_written() {
            self.start_pre_vote(now);
        }
    }

    /// Whether this member is a voter. One whose removal is not committed stays eligible: its log may
    /// be the only one of a quorum that is complete.
    fn may_be_elected(&self) -> bool {
        self.is_voter() || self.configurations.at(self.commit).voters.contains(&self.identity)
    }

    /// Asks the other voters whether they would vote for this member, before it starts a term. A
    /// candidate still counts the votes of the current term, which may wait for slow disks.
    fn start_pre_vote(&mut self, now: Timestamp) {
        self.pre_vote_started_at = now;
        let pre_votes = self.own_ballot();
        match &mut self.role {
            Role::Candidate(candidacy) => candidacy.next_term = Some(pre_votes),
            role => *role = Role::PreCandidate(pre_votes),
        }
        if self.pre_vote_won() {
            self.start_election(now);
            return;
        }
        let last = self.log.last();
        for voter in self.other_voters() {
            self.send_pre_vote(voter, Message::PreVoteRequest { last });
        }
    }

    pub(super) fn handle_pre_vote_request(
        &mut self,
        now: Timestamp,
        from: MemberId,
        term: Term,
        last: LogPosition,
    ) {
        if self.has_active_leader(now) {
            return;
        }
        if term > self.hard_state.term && last >= self.log.last() {
            if self.vote_is_being_written() {
                // That vote may still elect a leader.
                return;
            }
            if self.yields_pre_vote(now, from, last) {
                self.grant_pre_vote(from, term);
            }
        } else {
            self.send(from, Message::PreVoteResponse { granted: false });
        }
    }

    /// Decides between two members that ask for pre-votes at the same time, so that votes are not split
    /// among them: the one with the more complete log goes on, or with equal logs the one with the
    /// higher number. Returns whether the other one goes on.
    fn yields_pre_vote(&mut self, now: Timestamp, other: MemberId, last: LogPosition) -> bool {
        if !matches!(self.role, Role::PreCandidate(_)) {
            return true;
        }
        let at_once = now.since(self.pre_vote_started_at) < self.settings.heartbeat_interval;
        if at_once && last == self.log.last() && other < self.identity {
            return false;
        }
        self.role = Role::Follower;
        self.reset_election_timer(now);
        true
    }

    pub(super) fn handle_pre_vote(
        &mut self,
        now: Timestamp,
        from: MemberId,
        term: Term,
        granted: bool,
    ) {
        let asked = Term(self.hard_state.term.0 + 1);
        let Some(ballot) = self.role.pre_votes_mut() else {
            return;
        };
        if granted && term != asked {
            return;
        }
        ballot.record(from, granted);
        if self.pre_vote_won() {
            self.start_election(now);
        } else if self.pre_vote_lost() {
            self.role.end_pre_vote();
        }
    }

    fn start_election(&mut self, now: Timestamp) {
        let term = Term(self.hard_state.term.0 + 1);
        self.set_hard_state(now, HardState { term, vote: Some(self.identity) });
        self.reset_election_timer(now);
        self.role = Role::Candidate(Candidacy { votes: self.own_ballot(), next_term: None });
        if self.vote_won() {
            self.become_leader(now);
            return;
        }
        let last = self.log.last();
        for voter in self.other_voters() {
            self.send(voter, Message::VoteRequest { last });
        }
    }

    pub(super) fn handle_vote_request(
        &mut self,
        now: Timestamp,
        from: MemberId,
        last: LogPosition,
    ) {
        let free = self.hard_state.vote.is_none_or(|vote| vote == from);
        let granted = free && last >= self.log.last();
        if granted {
            self.set_hard_state(now, HardState { vote: Some(from), ..self.hard_state });
            self.reset_election_timer(now);
        }
        self.send(from, Message::VoteResponse { granted });
    }

    pub(super) fn handle_vote(&mut self, now: Timestamp, from: MemberId, granted: bool) {
        let Role::Candidate(candidacy) = &mut self.role else {
            return;
        };
        candidacy.votes.record(from, granted);
        if self.vote_won() {
            self.become_leader(now);
        } else if self.vote_lost() {
            self.role = Role::Follower;
        }
    }

    /// Whether this member leads or heard from a leader within the election timeout.
    pub(super) fn has_active_leader(&self, now: Timestamp) -> bool {
        match self.role {
            Role::Leader(_) => true,
            _ => {
                let silence = now.since(self.leader_last_contact);
                self.leader.is_some() && silence < self.settings.election_timeout
            }
        }
    }

    pub(super) fn become_follower(&mut self, now: Timestamp, term: Term, leader: Option<MemberId>) {
        if term > self.hard_state.term {
            self.set_hard_state(now, HardState { term, vote: None });
        }
        self.drop_reads();
        self.role = Role::Follower;
        self.leader = leader;
        self.reset_election_timer(now);
    }

    /// Follows the leader of the current term after a message from it.
    pub(super) fn follow(&mut self, now: Timestamp, leader: MemberId) {
        self.role = Role::Follower;
        self.leader = Some(leader);
        self.last_followed = Some(leader);
        self.leader_last_contact = now;
        self.reset_election_timer(now);
    }

    pub(super) fn reset_election_timer(&mut self, now: Timestamp) {
        let timeout = self.settings.election_timeout;
        let extra = self.random_duration(timeout);
        self.election_due = now.after(timeout).after(extra);
    }

    /// Starts the election timeout anew once a vote is on disk. Other members are granted
    /// as much time for their writes.
    pub(super) fn vote_persisted(&mut self, now: Timestamp) {
        let limit = self.settings.election_timeout * WRITE_TIME_LIMIT;
        let write_time = now.since(self.term_set_at).min(limit);
        self.reset_election_timer(now);
        self.election_due = self.election_due.after(write_time);
    }

    pub(super) fn other_voters(&self) -> Vec<MemberId> {
        let voters = self.configuration().voters.iter().copied();
        voters.filter(|voter| *voter != self.identity).collect()
    }

    fn own_ballot(&self) -> Ballot {
        let mut ballot = Ballot::default();
        ballot.record(self.identity, true);
        ballot
    }

    fn pre_vote_won(&self) -> bool {
        self.role.pre_votes().is_some_and(|ballot| self.is_won(ballot))
    }

    fn pre_vote_lost(&self) -> bool {
        self.role.pre_votes().is_some_and(|ballot| self.is_lost(ballot))
    }

    fn vote_won(&self) -> bool {
        self.role.votes().is_some_and(|ballot| self.is_won(ballot))
    }

    fn vote_lost(&self) -> bool {
        self.role.votes().is_some_and(|ballot| self.is_lost(ballot))
    }

    fn is_won(&self, ballot: &Ballot) -> bool {
        self.configuration().has_quorum(|voter| ballot.granted.contains(&voter))
    }

    fn is_lost(&self, ballot: &Ballot) -> bool {
        self.configuration().has_quorum(|voter| ballot.rejected.contains(&voter))
    }
}
