//! Planned stop of a member.
//!
//! A member that is about to stop asks the leader for permission and repeats the request until it is
//! granted. While one more loss would end the quorum, the leader first removes the member from the
//! voters, if there is a voter or a caught-up learner to spare. While another voter is missing, a
//! member without which there is no quorum has to wait. A leader that stops hands over its leadership,
//! so that its successor need not wait for the election timeout.

use std::time::Duration;

use super::leadership::Role;
use super::membership::MembershipPolicy;
use super::message::Message;
use super::node::Node;
use super::progress::PendingStop;
use super::types::MemberId;
use crate::time::Timestamp;

/// Time for which a request to stop is valid. A member that is still running repeats it sooner; a
/// restarted one counts as live again afterwards.
const STOP_REQUEST_VALIDITY: Duration = Duration::from_secs(1);

impl Node {
    /// Prepares this member to stop; returns whether it may stop now. To be called repeatedly until
    /// then, since a request or its response may be lost.
    pub fn prepare_stop(&mut self) -> bool {
        self.stopping = true;
        if !self.may_stop && !matches!(self.role, Role::Leader(_)) {
            self.request_stop();
        }
        self.may_stop
    }

    /// On the leader: permits members to stop, once no membership change is due or pending and the
    /// quorum survives their end.
    pub fn permit_stops(&mut self, now: Timestamp, policy: Option<&MembershipPolicy>) {
        if !matches!(self.role, Role::Leader(_)) || !self.membership_is_committed() {
            return;
        }
        if policy.is_some_and(|policy| self.due_membership_change(now, policy).is_some()) {
            return;
        }
        let members: Vec<MemberId> = self.configuration().members().collect();
        for member in members {
            if member != self.identity && self.is_stopping(now, member) {
                self.permit_stop(now, member);
            }
        }
        if self.stopping && self.survives_end_of(now, self.identity) {
            self.hand_over_leadership(now);
            self.may_stop = true;
        }
    }

    /// Asks the leader for permission to stop, or all voters while no leader is known: a member that
    /// has been removed hears of no new leader.
    fn request_stop(&mut self) {
        let receivers = self.leader.map_or_else(|| self.other_voters(), |leader| vec![leader]);
        for receiver in receivers {
            self.send(receiver, Message::StopRequest);
        }
    }

    /// Whether a member is known to be about to stop.
    pub(super) fn is_stopping(&self, now: Timestamp, member: MemberId) -> bool {
        if member == self.identity {
            return self.stopping;
        }
        self.progress(member).is_some_and(|progress| progress.pending_stop(now).is_some())
    }

    pub(super) fn handle_stop_request(&mut self, now: Timestamp, from: MemberId) {
        if !matches!(self.role, Role::Leader(_)) {
            return;
        }
        if let Some(progress) = self.progress_mut(from) {
            let permitted = progress.pending_stop(now).is_some_and(|stop| stop.permitted);
            let valid_until = now.after(STOP_REQUEST_VALIDITY);
            progress.stop = Some(PendingStop { valid_until, permitted });
        } else if self.membership_is_committed() {
            self.send(from, Message::StopResponse);
        }
    }

    fn permit_stop(&mut self, now: Timestamp, member: MemberId) {
        let is_permitted = self.has_permitted_stop(now, member);
        if !is_permitted && !self.survives_end_of(now, member) {
            return;
        }
        if let Some(stop) = self.progress_mut(member).and_then(|progress| progress.stop.as_mut()) {
            stop.permitted = true;
        }
        self.send(member, Message::StopResponse);
    }

    fn has_permitted_stop(&self, now: Timestamp, member: MemberId) -> bool {
        let stop = self.progress(member).and_then(|progress| progress.pending_stop(now));
        stop.is_some_and(|stop| stop.permitted)
    }

    /// Whether the other live voters are a quorum, or no other voter is missed, so that waiting for
    /// one is of no use.
    fn survives_end_of(&self, now: Timestamp, member: MemberId) -> bool {
        let is_live = |voter: &MemberId| {
            self.is_reachable(now, *voter) && !self.has_permitted_stop(now, *voter)
        };
        let configuration = self.configuration();
        let others = configuration.voters.iter().filter(|voter| **voter != member);
        let live = others.clone().filter(|voter| is_live(voter)).count();
        !configuration.voters.contains(&member)
            || live >= configuration.quorum()
            || live == others.count()
    }

    pub(super) fn handle_stop_response(&mut self) {
        self.may_stop = self.stopping;
    }

    /// Steps down and tells the other voters, of which the most up-to-date one starts an election at
    /// once.
    pub(super) fn hand_over_leadership(&mut self, now: Timestamp) {
        let Role::Leader(leadership) = &self.role else {
            return;
        };
        let voters = self.other_voters();
        let live = voters
            .iter()
            .copied()
            .filter(|voter| self.is_reachable(now, *voter) && !self.is_stopping(now, *voter));
        let matched = |voter: &MemberId| leadership.progress.get(voter).map(|known| known.matched);
        let successor = live.max_by_key(matched);
        self.become_follower(now, self.hard_state.term, None);
        for voter in voters {
            self.send(voter, Message::LeadershipReleased { successor });
        }
    }

    pub(super) fn handle_leadership_released(
        &mut self,
        now: Timestamp,
        from: MemberId,
        successor: Option<MemberId>,
    ) {
        if self.leader != Some(from) {
            return;
        }
        self.leader = None;
        if successor == Some(self.identity) {
            self.election_due = now;
        }
    }
}
