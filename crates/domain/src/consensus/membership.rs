//! Changes of the members, one at a time.
//!
//! A quorum before and one after the change of a single member always share a member, so no
//! joint configuration is needed. A change counts from the moment it is in the log; the next one
//! is taken only when it is committed and the leader has committed an entry of its own term.

use std::time::Duration;

use super::configuration::{Configuration, MemberChange};
use super::error::MemberChangeError;
use super::leading::Sending;
use super::message::{Message, RequestNumber};
use super::node::Node;
use super::types::{LogIndex, MemberId, Payload};
use crate::time::Timestamp;

/// How a cluster grows that members join by themselves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MembershipPolicy {
    /// Voters that have to answer before a lost one is taken out.
    pub min_voters: usize,
    /// Most voters; further members wait as learners.
    pub max_voters: usize,
    /// Silence after which a voter counts as lost.
    pub voter_timeout: Duration,
}

impl Node {
    /// Puts a change of the members into the log; it is made once the entry is committed.
    ///
    /// # Errors
    /// A [`MemberChangeError`] when the change was not taken.
    pub fn change_members(
        &mut self,
        now: Timestamp,
        change: MemberChange,
    ) -> Result<LogIndex, MemberChangeError> {
        if !matches!(self.role, super::leadership::Role::Leader(_)) {
            return Err(MemberChangeError::NotLeader(self.leader));
        }
        if self.configuration().reflects(change) {
            return Ok(self.configurations.current_index());
        }
        let own_term = self.log.term_at(self.commit) == Some(self.hard_state.term);
        if !own_term || self.configurations.current_index() > self.commit {
            return Err(MemberChangeError::ChangePending);
        }
        let next = self.configuration().changed(change)?;
        self.check_change(now, change, &next)?;
        let index = self.append_payload(Payload::Configuration(next)).index;
        self.align_progress(now);
        self.broadcast(Sending::Entries);
        if let MemberChange::AddLearner(member) = change {
            self.greet(member);
        }
        self.advance_commit(now);
        Ok(index)
    }

    /// Asks another member, which should lead, for a change; the outcome comes with a
    /// [`super::Ready`].
    pub fn request_member_change(
        &mut self,
        leader: MemberId,
        number: RequestNumber,
        change: MemberChange,
    ) {
        self.send(leader, Message::MemberChangeRequest { number, change });
    }

    pub(super) fn handle_member_change_request(
        &mut self,
        now: Timestamp,
        from: MemberId,
        number: RequestNumber,
        change: MemberChange,
    ) {
        let outcome = self.change_members(now, change);
        self.send_as_leader(from, Message::MemberChangeResponse { number, outcome });
    }

    /// The next change that replaces a lost data folder, if this member leads and one is due.
    pub fn due_replacement(&self, now: Timestamp) -> Option<MemberChange> {
        self.configuration().replacement(|learner| self.has_caught_up(now, learner))
    }

    /// The next change by which a cluster that members join by themselves grows and replaces
    /// what it lost, if this member leads and one is due.
    ///
    /// A voter that was silent for long is taken out once enough others answer; a learner that has
    /// caught up is promoted while there are not too many voters or one is lost, so that it takes
    /// the place of the lost one before that is taken out. A voter that was taken out and comes
    /// back joins again as a learner.
    pub fn due_membership_change(
        &self,
        now: Timestamp,
        growth: &MembershipPolicy,
    ) -> Option<MemberChange> {
        let configuration = self.configuration();
        let is_lost = |member: &MemberId| {
            let progress = self.progress(*member);
            progress.is_some_and(|progress| !progress.is_active(now, growth.voter_timeout))
        };
        let voters = &configuration.voters;
        let lost = voters.iter().copied().find(is_lost);
        let present = voters.iter().filter(|voter| !is_lost(voter)).count();
        if let Some(voter) = lost.filter(|_| present >= growth.min_voters) {
            return Some(MemberChange::Remove(voter));
        }
        let mut learners = configuration.learners.iter().copied();
        let ready = learners.find(|learner| self.has_caught_up(now, *learner))?;
        let wanted = voters.len() < growth.max_voters || lost.is_some();
        wanted.then_some(MemberChange::Promote(ready))
    }

    /// Whether a learner answers and has nearly all that is committed.
    pub fn has_caught_up(&self, now: Timestamp, learner: MemberId) -> bool {
        let lag = self.settings.promotion_lag;
        self.is_active(now, learner)
            && self
                .progress(learner)
                .is_some_and(|progress| progress.matched.0 + lag >= self.commit.0)
    }

    fn check_change(
        &self,
        now: Timestamp,
        change: MemberChange,
        next: &Configuration,
    ) -> Result<(), MemberChangeError> {
        if let MemberChange::Promote(learner) = change
            && !self.has_caught_up(now, learner)
        {
            return Err(MemberChangeError::NotCaughtUp(learner));
        }
        let is_active = |voter: MemberId| self.is_active(now, voter);
        if next.voters != self.configuration().voters && !next.has_quorum(is_active) {
            return Err(MemberChangeError::QuorumAtRisk);
        }
        Ok(())
    }
}
