//! Cluster membership and single-member changes to it.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use super::error::MemberChangeError;
use super::types::{LogIndex, MemberId};

/// Voters and learners of the cluster.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// Members that count towards quorums.
    pub voters: BTreeSet<MemberId>,
    /// Members that receive the log but count towards no quorum.
    pub learners: BTreeSet<MemberId>,
}

/// A change of one member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberChange {
    /// Adds a member as a learner.
    AddLearner(MemberId),
    /// Makes a learner a voter.
    Promote(MemberId),
    /// Removes a voter or learner.
    Remove(MemberId),
}

/// Number of voters that form a quorum of `voters`.
pub(super) fn quorum_of(voters: usize) -> usize {
    voters / 2 + 1
}

impl Configuration {
    /// A configuration without learners.
    pub fn of_voters(voters: impl IntoIterator<Item = MemberId>) -> Self {
        Self { voters: voters.into_iter().collect(), learners: BTreeSet::new() }
    }

    /// All members, voters first.
    pub fn members(&self) -> impl Iterator<Item = MemberId> + '_ {
        self.voters.iter().chain(&self.learners).copied()
    }

    /// Whether `member` is a voter or a learner.
    pub fn contains(&self, member: MemberId) -> bool {
        self.voters.contains(&member) || self.learners.contains(&member)
    }

    /// Number of voters that form a quorum.
    pub fn quorum(&self) -> usize {
        quorum_of(self.voters.len())
    }

    /// Whether a quorum of voters satisfies `condition`.
    pub fn has_quorum(&self, condition: impl Fn(MemberId) -> bool) -> bool {
        let count = self.voters.iter().filter(|voter| condition(**voter)).count();
        !self.voters.is_empty() && count >= self.quorum()
    }

    /// The configuration after a change.
    ///
    /// # Errors
    /// A [`MemberChangeError`] when the change is not valid for this membership.
    pub fn changed(&self, change: MemberChange) -> Result<Self, MemberChangeError> {
        let mut next = self.clone();
        match change {
            MemberChange::AddLearner(member) => next.add_learner(member)?,
            MemberChange::Promote(member) => next.promote(member)?,
            MemberChange::Remove(member) => next.remove(member)?,
        }
        Ok(next)
    }

    /// Whether the change is already in effect, which makes a repeated request a no-op.
    pub fn reflects(&self, change: MemberChange) -> bool {
        match change {
            MemberChange::AddLearner(member) => self.contains(member),
            MemberChange::Promote(member) => self.voters.contains(&member),
            MemberChange::Remove(member) => !self.contains(member),
        }
    }

    /// The next change that replaces a lost data folder, if one is due.
    ///
    /// A machine that rejoined with a new folder is promoted before its old identity is removed,
    /// so that the number of replicas never falls. `caught_up` says whether a learner may be
    /// promoted.
    pub fn replacement(&self, caught_up: impl Fn(MemberId) -> bool) -> Option<MemberChange> {
        let superseded = |old: MemberId| {
            self.members().find(|new| new.node == old.node && new.incarnation > old.incarnation)
        };
        for old in self.members() {
            let Some(new) = superseded(old) else {
                continue;
            };
            if self.learners.contains(&old) || self.voters.contains(&new) {
                return Some(MemberChange::Remove(old));
            }
            if caught_up(new) {
                return Some(MemberChange::Promote(new));
            }
        }
        None
    }

    fn add_learner(&mut self, member: MemberId) -> Result<(), MemberChangeError> {
        let same_node = self.members().filter(|known| known.node == member.node);
        if let Some(latest) = same_node.max() {
            if latest == member {
                return Err(MemberChangeError::AlreadyMember(member));
            }
            if latest > member {
                return Err(MemberChangeError::Superseded(latest));
            }
        }
        self.learners.insert(member);
        Ok(())
    }

    fn promote(&mut self, member: MemberId) -> Result<(), MemberChangeError> {
        if !self.learners.remove(&member) {
            return Err(MemberChangeError::NotLearner(member));
        }
        self.voters.insert(member);
        Ok(())
    }

    fn remove(&mut self, member: MemberId) -> Result<(), MemberChangeError> {
        if self.learners.remove(&member) {
            return Ok(());
        }
        if !self.voters.contains(&member) {
            return Err(MemberChangeError::NotMember(member));
        }
        if self.voters.len() == 1 {
            return Err(MemberChangeError::LastVoter(member));
        }
        self.voters.remove(&member);
        Ok(())
    }
}

/// A configuration and the index of its entry.
#[derive(Debug, Clone, PartialEq, Eq)]
struct ConfigurationAt {
    index: LogIndex,
    configuration: Configuration,
}

/// Configurations in the retained log; the latest is in force, committed or not.
#[derive(Debug, Clone)]
pub(super) struct ConfigurationHistory {
    base: ConfigurationAt,
    later: Vec<ConfigurationAt>,
}

impl ConfigurationHistory {
    pub fn new(index: LogIndex, configuration: Configuration) -> Self {
        Self { base: ConfigurationAt { index, configuration }, later: Vec::new() }
    }

    pub fn current(&self) -> &Configuration {
        &self.latest().configuration
    }

    /// Index of the entry that holds the current configuration.
    pub fn current_index(&self) -> LogIndex {
        self.latest().index
    }

    /// The configuration as of an entry.
    pub fn at(&self, index: LogIndex) -> &Configuration {
        let later = self.later.iter().rev().find(|candidate| candidate.index <= index);
        &later.unwrap_or(&self.base).configuration
    }

    pub fn push(&mut self, index: LogIndex, configuration: Configuration) {
        self.later.push(ConfigurationAt { index, configuration });
    }

    /// Drops the configurations of overwritten entries, from `index` on.
    pub fn truncate_from(&mut self, index: LogIndex) {
        self.later.retain(|candidate| candidate.index < index);
    }

    /// Drops the configurations superseded at or before `index`.
    pub fn compact(&mut self, index: LogIndex) {
        while self.later.first().is_some_and(|first| first.index <= index) {
            self.base = self.later.remove(0);
        }
    }

    fn latest(&self) -> &ConfigurationAt {
        self.later.last().unwrap_or(&self.base)
    }
}
