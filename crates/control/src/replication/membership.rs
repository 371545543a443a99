//! How a process becomes a member: by forming the cluster or by joining it.

use std::time::Duration;

use gingerkeel_domain::consensus::{
    Configuration, MemberChange, MemberId, MembershipPolicy, NodeNumber,
};
use gingerkeel_settings::ControlSettings;

use super::peers::Directory;

/// The members by the settings.
pub(super) struct PlannedMembers {
    own: MemberId,
    voters: Vec<NodeNumber>,
    /// Whether this process may form a cluster.
    may_form: bool,
    growth: Option<MembershipPolicy>,
}

/// What a process without a log does next.
pub(super) enum FirstStep {
    /// Wait for the others.
    Wait,
    /// Form the cluster.
    Form(Configuration),
    /// Ask a member for a place as a learner.
    Join(MemberId, MemberChange),
}

impl PlannedMembers {
    pub fn new(settings: &ControlSettings, own: MemberId) -> Self {
        let voters = settings.peers.iter().filter(|peer| peer.voter);
        let mut voters: Vec<NodeNumber> = voters.map(|peer| NodeNumber(peer.node)).collect();
        if let Some(seeds) = &settings.seeds {
            voters.extend(seeds.seed_numbers().map(NodeNumber));
        } else if settings.peers.is_empty() {
            voters.push(own.node);
        }
        voters.sort_unstable();
        voters.dedup();
        let may_form = settings.seeds.as_ref().is_none_or(|seeds| seeds.form);
        let growth = settings.seeds.as_ref().map(|seeds| MembershipPolicy {
            min_voters: seeds.least_voters as usize,
            max_voters: seeds.voters as usize,
            voter_timeout: Duration::from_millis(seeds.replace_after_ms.into()),
        });
        Self { own, voters, may_form, growth }
    }

    /// The machines that form the cluster.
    pub fn voters(&self) -> impl Iterator<Item = NodeNumber> + '_ {
        self.voters.iter().copied()
    }

    /// How the cluster grows; none when operators name its members.
    pub fn growth(&self) -> Option<MembershipPolicy> {
        self.growth
    }

    /// The first voter forms the cluster, and only once every other voter has said that it has no
    /// log and knows the same voters: a machine that lost its disk meets others that have a log,
    /// and joins them; one with other settings forms nothing.
    pub fn first_step(&self, directory: &Directory) -> FirstStep {
        if let Some(formed) = directory.any_formed() {
            return FirstStep::Join(formed, MemberChange::AddLearner(self.own));
        }
        if !self.may_form || self.voters.first() != Some(&self.own.node) {
            return FirstStep::Wait;
        }
        let identity = |node: &NodeNumber| match *node == self.own.node {
            true => Some(self.own),
            false => directory.latest_with_same_voters(*node).map(super::peers::member),
        };
        let voters: Option<Vec<MemberId>> = self.voters.iter().map(identity).collect();
        voters.map_or(FirstStep::Wait, |voters| FirstStep::Form(Configuration::of_voters(voters)))
    }
}
