//! What a member last heard of the others, to tell why nothing is committed.

use std::time::Duration;

use super::node::Node;
use super::types::{LogIndex, MemberId};
use crate::time::Timestamp;

/// What a leader knows of another member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberContact {
    /// The other member.
    pub member: MemberId,
    /// True for a voter, false for a learner.
    pub is_voter: bool,
    /// Time since its last response in this term.
    pub silent_for: Duration,
    /// Whether that is at least the election timeout.
    pub is_silent: bool,
    /// Last entry known to be on its disk.
    pub matched: LogIndex,
}

impl Node {
    /// What this leader knows of each other member; empty at a member that does not lead.
    pub fn contacts(&self, now: Timestamp) -> Vec<MemberContact> {
        let configuration = self.configuration();
        let contact = |member: MemberId| {
            let progress = self.progress(member)?;
            Some(MemberContact {
                member,
                is_voter: configuration.voters.contains(&member),
                silent_for: now.since(progress.last_contact),
                is_silent: !self.is_active(now, member),
                matched: progress.matched,
            })
        };
        configuration.members().filter_map(contact).collect()
    }

    /// The voters that have not answered in this round of votes or pre-votes; empty at a member that
    /// is no candidate.
    pub fn voters_without_answer(&self) -> Vec<MemberId> {
        let Some(ballot) = self.role.pre_votes().or_else(|| self.role.votes()) else {
            return Vec::new();
        };
        let answered =
            |voter: &MemberId| ballot.granted.contains(voter) || ballot.rejected.contains(voter);
        let voters = self.configuration().voters.iter().copied();
        voters.filter(|voter| !answered(voter)).collect()
    }

    /// Time since the leader that was followed last sent a message; none at a leader, and at a
    /// member that has followed none.
    pub fn leader_silent_for(&self, now: Timestamp) -> Option<Duration> {
        let follows = self.last_followed.is_some() && self.leader != Some(self.identity);
        follows.then(|| now.since(self.leader_last_contact))
    }
}
