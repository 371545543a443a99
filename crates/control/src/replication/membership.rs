//! How a process becomes a member: by forming the cluster or by joining it.

use std::time::Duration;

use gingerkeel_domain::consensus::{Configuration, MemberId, MembershipPolicy, NodeNumber};
use gingerkeel_settings::ControlSettings;

use super::peers::PeerDirectory;

/// Time without a response after which a voter is removed while there are others to spare; longer than
/// a restart of the process usually takes.
const SPARE_VOTER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time for which a voter's address refuses connections until the voter is removed, if one more loss
/// would end the quorum. The second of two attempts confirms the first.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(150);

/// The members that the settings name, and whether the cluster may grow by itself.
pub(super) struct ConfiguredMembers {
    voters: Vec<NodeNumber>,
    /// Whether this process may form a cluster.
    may_form: bool,
    growth: Option<MembershipPolicy>,
}

/// The next step of a process whose log is empty.
pub(super) enum BootstrapStep {
    /// Wait for other processes to report their state.
    Wait,
    /// Form a cluster with these voters.
    Form(Configuration),
    /// Ask a process with a log for the leader, to be added as a learner.
    Join,
}

impl ConfiguredMembers {
    pub fn new(settings: &ControlSettings, own: NodeNumber) -> Self {
        let voters = settings.peers.iter().filter(|peer| peer.voter);
        let mut voters: Vec<NodeNumber> = voters.map(|peer| NodeNumber(peer.node)).collect();
        if let Some(seeds) = &settings.seeds {
            voters.extend(seeds.seed_numbers().map(NodeNumber));
        } else if settings.peers.is_empty() {
            voters.push(own);
        }
        voters.sort_unstable();
        voters.dedup();
        let may_form = settings.seeds.as_ref().is_none_or(|seeds| seeds.form);
        let growth = settings.seeds.as_ref().map(|seeds| MembershipPolicy {
            min_voters: seeds.least_voters as usize,
            max_voters: seeds.voters as usize,
            voter_timeout: Duration::from_millis(seeds.replace_after_ms.into()),
            spare_voter_timeout: SPARE_VOTER_TIMEOUT
                .min(Duration::from_millis(seeds.replace_after_ms.into())),
            refusal_timeout: REFUSAL_TIMEOUT,
        });
        Self { voters, may_form, growth }
    }

    /// The nodes that form the cluster as its first voters.
    pub fn voters(&self) -> impl Iterator<Item = NodeNumber> + '_ {
        self.voters.iter().copied()
    }

    /// The rules for automatic growth; none when the settings list the members.
    pub fn growth(&self) -> Option<MembershipPolicy> {
        self.growth
    }

    /// Decides how this process becomes a member.
    ///
    /// Only the voter with the lowest number forms the cluster, and only once every other voter has
    /// reported an empty log and the same list of voters. A node that lost its disk therefore finds
    /// peers with a log and joins them, and a node with different settings cannot form a second
    /// cluster.
    pub fn bootstrap_step(&self, directory: &PeerDirectory) -> BootstrapStep {
        let own = directory.own();
        if !directory.formed().is_empty() {
            return BootstrapStep::Join;
        }
        if !self.may_form || self.voters.first() != Some(&own.node) {
            return BootstrapStep::Wait;
        }
        let identity = |node: &NodeNumber| match *node == own.node {
            true => Some(own),
            false => directory.latest_with_same_voters(*node).map(super::peers::member),
        };
        let voters: Option<Vec<MemberId>> = self.voters.iter().map(identity).collect();
        voters.map_or(BootstrapStep::Wait, |voters| {
            BootstrapStep::Form(Configuration::of_voters(voters))
        })
    }
}
