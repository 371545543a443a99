//! Single-member membership changes.
//!
//! Any quorum before and any quorum after the change of one member overlap, so no joint
//! configuration is needed. A change is in force as soon as it is in the log. The next one is
//! accepted only once the previous one is committed and the leader has committed an entry of its
//! own term.

use std::time::Duration;

use super::configuration::{Configuration, MemberChange, quorum_of};
use super::error::MemberChangeError;
use super::leadership::Role;
use super::leading::AppendMode;
use super::message::{Message, RequestNumber};
use super::node::Node;
use super::types::{LogIndex, MemberId, Payload};
use crate::time::Timestamp;

/// Limits for automatic membership changes in a cluster that members join on their own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MembershipPolicy {
    /// Minimum live voters required to remove a lost one.
    pub min_voters: usize,
    /// Maximum voters; further members stay learners.
    pub max_voters: usize,
    /// Time without a response after which a voter counts as lost.
    pub voter_timeout: Duration,
    /// The same while there are more voters than the minimum, or a learner is ready to become one.
    /// Shorter, since a lost voter then costs a quorum more than its removal does, and a voter that
    /// is presumed lost by mistake rejoins as a learner.
    pub spare_voter_timeout: Duration,
    /// Time for which the address of a voter refuses connections until the voter counts as lost. Only
    /// applied while one more loss would end the quorum, since a process that is restarted in place
    /// refuses connections, too.
    pub refusal_timeout: Duration,
}

impl Node {
    /// Appends a membership change to the log; final once the entry is committed.
    ///
    /// # Errors
    /// A [`MemberChangeError`] when the change was rejected.
    pub fn change_members(
        &mut self,
        now: Timestamp,
        change: MemberChange,
    ) -> Result<LogIndex, MemberChangeError> {
        if !matches!(self.role, Role::Leader(_)) {
            return Err(MemberChangeError::NotLeader(self.leader));
        }
        if self.configuration().reflects(change) {
            return Ok(self.configurations.current_index());
        }
        let own_term = self.log.term_at(self.commit) == Some(self.hard_state.term);
        if !own_term || !self.membership_is_committed() {
            return Err(MemberChangeError::ChangePending);
        }
        let next = self.configuration().changed(change)?;
        self.check_change(now, change, &next)?;
        let index = self.append_payload(Payload::Configuration(next)).index;
        self.sync_progress(now);
        self.broadcast(AppendMode::Entries);
        if let MemberChange::AddLearner(member) = change {
            self.send_initial_append(member);
        }
        self.advance_commit(now);
        Ok(index)
    }

    /// Requests a change from the presumed leader; the outcome arrives in a [`super::Ready`].
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
        self.send_once_in_term(from, Message::MemberChangeResponse { number, outcome });
    }

    /// The next change that replaces a lost data folder, if this member leads and any is due.
    pub fn due_replacement(&self, now: Timestamp) -> Option<MemberChange> {
        if !matches!(self.role, Role::Leader(_)) {
            return None;
        }
        self.configuration().replacement(|learner| self.has_caught_up(now, learner))
    }

    /// The next change that `policy` requires, if this member leads and a change is due.
    ///
    /// A lost voter is removed once enough other voters are live. While one more loss would end the
    /// quorum, that includes a voter that is about to stop or whose process has ended. A caught-up
    /// learner is promoted while there are fewer voters than the maximum, or while a voter is lost,
    /// so that the learner replaces the lost voter before its removal. A removed voter that comes
    /// back rejoins as a learner.
    pub fn due_membership_change(
        &self,
        now: Timestamp,
        policy: &MembershipPolicy,
    ) -> Option<MemberChange> {
        if !matches!(self.role, Role::Leader(_)) {
            return None;
        }
        let configuration = self.configuration();
        let voters = &configuration.voters;
        let mut learners = configuration.learners.iter().copied();
        let ready = learners.find(|learner| {
            self.has_caught_up(now, *learner) && !self.is_ending(now, *learner, policy)
        });
        let has_spare = ready.is_some() || voters.len() > policy.min_voters;
        let timeout = match has_spare {
            true => policy.spare_voter_timeout,
            false => policy.voter_timeout,
        };
        let is_silent = |member: &MemberId| {
            let progress = self.progress(*member);
            progress.is_some_and(|progress| !progress.is_active(now, timeout))
        };
        let is_ending = |member: &MemberId| self.is_ending(now, *member, policy);
        let present = voters.iter().filter(|voter| !is_silent(voter) && !is_ending(voter)).count();
        let is_urgent = present <= configuration.quorum();
        let is_lost = |member: &MemberId| is_silent(member) || is_urgent && is_ending(member);
        let mut lost = voters.iter().copied().filter(is_lost).peekable();
        let wanted = voters.len() < policy.max_voters || lost.peek().is_some();
        let removable = |voter: &MemberId| present >= self.required_present(now, *voter, policy);
        if let Some(voter) = lost.find(removable) {
            return Some(MemberChange::Remove(voter));
        }
        ready.filter(|_| wanted).map(MemberChange::Promote)
    }

    /// Number of voters that must be present for the removal of a voter. A voter that stops leaves in
    /// any case, so with one to spare a quorum of the others suffices.
    fn required_present(
        &self,
        now: Timestamp,
        voter: MemberId,
        policy: &MembershipPolicy,
    ) -> usize {
        let voters = self.configuration().voters.len();
        if voters > policy.min_voters && self.is_stopping(now, voter) {
            return quorum_of(voters - 1);
        }
        policy.min_voters
    }

    /// Whether a member is about to stop, or its process has ended.
    fn is_ending(&self, now: Timestamp, member: MemberId, policy: &MembershipPolicy) -> bool {
        self.is_stopping(now, member) || self.has_refused_for(now, member, policy.refusal_timeout)
    }

    /// Whether a learner is live and lags by no more than the promotion limit.
    pub fn has_caught_up(&self, now: Timestamp, learner: MemberId) -> bool {
        let lag = self.settings.promotion_lag;
        self.is_active(now, learner)
            && self
                .progress(learner)
                .is_some_and(|progress| progress.matched.0 + lag >= self.commit.0)
    }

    /// Whether the latest membership change is committed.
    pub(super) fn membership_is_committed(&self) -> bool {
        self.configurations.current_index() <= self.commit
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
