//! Elections: pre-vote, votes and stepping down to follower.

use super::leadership::{Ballot, Role};
use super::message::Message;
use super::node::Node;
use super::types::{HardState, LogPosition, MemberId, Term};
use crate::time::Timestamp;

impl Node {
    /// Whether this member is a voter. One whose removal is not committed stays eligible: its log may
    /// be the only one of a quorum that is complete.
    fn may_be_elected(&self) -> bool {
        self.is_voter() || self.configurations.at(self.commit).voters.contains(&self.identity)
    }

    /// Asks the other voters whether they would vote for this member, before it starts a term.
    pub(super) fn start_pre_vote(&mut self, now: Timestamp) {
        self.reset_election_timer(now);
        if !self.may_be_elected() || !self.storage_available || self.stopping {
            self.leader = None;
            return;
        }
        self.leader = None;
        self.role = Role::PreCandidate(self.own_ballot());
        if self.ballot_won() {
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
            self.grant_pre_vote(from, term);
        } else {
            self.send(from, Message::PreVoteResponse { granted: false });
        }
    }

    pub(super) fn handle_pre_vote(
        &mut self,
        now: Timestamp,
        from: MemberId,
        term: Term,
        granted: bool,
    ) {
        let asked = Term(self.hard_state.term.0 + 1);
        let Role::PreCandidate(ballot) = &mut self.role else {
            return;
        };
        if granted && term != asked {
            return;
        }
        ballot.record(from, granted);
        if self.ballot_won() {
            self.start_election(now);
        } else if self.ballot_lost() {
            self.role = Role::Follower;
        }
    }

    fn start_election(&mut self, now: Timestamp) {
        let term = Term(self.hard_state.term.0 + 1);
        self.set_hard_state(HardState { term, vote: Some(self.identity) });
        self.reset_election_timer(now);
        self.role = Role::Candidate(self.own_ballot());
        if self.ballot_won() {
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
            self.set_hard_state(HardState { vote: Some(from), ..self.hard_state });
            self.reset_election_timer(now);
        }
        self.send(from, Message::VoteResponse { granted });
    }

    pub(super) fn handle_vote(&mut self, now: Timestamp, from: MemberId, granted: bool) {
        let Role::Candidate(ballot) = &mut self.role else {
            return;
        };
        ballot.record(from, granted);
        if self.ballot_won() {
            self.become_leader(now);
        } else if self.ballot_lost() {
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
            self.set_hard_state(HardState { term, vote: None });
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

    pub(super) fn other_voters(&self) -> Vec<MemberId> {
        let voters = self.configuration().voters.iter().copied();
        voters.filter(|voter| *voter != self.identity).collect()
    }

    fn own_ballot(&self) -> Ballot {
        let mut ballot = Ballot::default();
        ballot.record(self.identity, true);
        ballot
    }

    fn ballot_won(&self) -> bool {
        self.ballot().is_some_and(|ballot| {
            self.configuration().has_quorum(|voter| ballot.granted.contains(&voter))
        })
    }

    fn ballot_lost(&self) -> bool {
        self.ballot().is_some_and(|ballot| {
            self.configuration().has_quorum(|voter| ballot.rejected.contains(&voter))
        })
    }

    fn ballot(&self) -> Option<&Ballot> {
        match &self.role {
            Role::PreCandidate(ballot) | Role::Candidate(ballot) => Some(ballot),
            Role::Follower | Role::Leader(_) => None,
        }
    }
}

impl Ballot {
    fn record(&mut self, voter: MemberId, granted: bool) {
        let votes = if granted { &mut self.granted } else { &mut self.rejected };
        votes.insert(voter);
    }
}
