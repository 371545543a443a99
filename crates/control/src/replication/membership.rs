//! How a process becomes a member: by forming the cluster or by joining it.

use gingerkeel_domain::consensus::{Configuration, MemberChange, MemberId, NodeNumber};
use gingerkeel_settings::ControlSettings;

use super::peers::Directory;

/// The members by the settings.
pub(super) struct PlannedMembers {
    own: MemberId,
    voters: Vec<NodeNumber>,
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
        if settings.peers.is_empty() {
            voters.push(own.node);
        }
        voters.sort_unstable();
        Self { own, voters }
    }

    /// The first voter forms the cluster, and only once every other voter has said that it has no
    /// log and knows the same voters: a machine that lost its disk meets others that have a log,
    /// and joins them; one with other settings forms nothing.
    pub fn first_step(&self, directory: &Directory) -> FirstStep {
        if let Some(formed) = directory.any_formed() {
            return FirstStep::Join(formed, MemberChange::AddLearner(self.own));
        }
        if self.voters.first() != Some(&self.own.node) {
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
