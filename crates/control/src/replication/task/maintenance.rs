//! Membership maintenance: joining or forming a cluster, replacing members, and permission to stop.

use std::collections::BTreeSet;
use std::time::Duration;

use gingerkeel_domain::consensus::{
    LogIndex, MemberChange, MemberChangeError, MemberId, NodeNumber,
};
use gingerkeel_domain::time::Timestamp;
use tracing::{info, warn};

use super::ReplicationTask;
use crate::replication::membership::BootstrapStep;

/// Time without a leader after which a member asks to be added again, as it may have been removed.
const REJOIN_TIMEOUT: Duration = Duration::from_secs(3);

impl ReplicationTask {
    /// Membership maintenance: joining or forming a cluster, replacing members that lost their data
    /// folder, and growing the cluster.
    pub(super) fn maintain(&mut self, now: Timestamp) {
        self.update_links();
        if self.node.status().last.index > LogIndex(0) {
            self.replace_lost_folders(now);
            self.grow_cluster(now);
            self.rejoin_if_removed(now);
            self.prepare_stops(now);
            return;
        }
        match self.planned.bootstrap_step(&self.directory) {
            BootstrapStep::Wait => {}
            BootstrapStep::Form(configuration) => {
                info!(event = "cluster_formed", voters = configuration.voters.len());
                self.node.bootstrap(now, configuration);
                self.node.tick(now);
            }
            BootstrapStep::Join(formed, change) => {
                let contact = self.join_through.take().unwrap_or(formed);
                self.request_membership(contact, change);
            }
        }
    }

    /// Asks a member to pass this process's own change of the membership.
    fn request_membership(&mut self, contact: MemberId, change: MemberChange) {
        let linked = self.links.is_connected(contact.node);
        if self.logged_join_request != Some((contact, linked)) {
            self.logged_join_request = Some((contact, linked));
            self.logged_join_refusal = None;
            info!(event = "join_requested", %contact, linked);
        }
        let number = self.requests.next_number();
        self.node.request_member_change(contact, number, change);
    }

    /// Permits other members to stop, and has the leader permit this one.
    fn prepare_stops(&mut self, now: Timestamp) {
        self.node.permit_stops(now, self.planned.growth().as_ref());
        if self.stops.is_empty() || !self.node.prepare_stop() {
            return;
        }
        info!(event = "stop_permitted");
        for reply in self.stops.drain(..) {
            // The requester may have given up.
            let _ = reply.send(());
        }
    }

    fn replace_lost_folders(&mut self, now: Timestamp) {
        let Some(change) = self.node.due_replacement(now) else {
            return;
        };
        match self.node.change_members(now, change) {
            Ok(index) => info!(event = "folder_replaced", ?change, index = index.0),
            Err(error) => warn!(event = "folder_not_replaced_yet", ?change, %error),
        }
    }

    /// Keeps connections to the configured voters, all members and every process that joins.
    fn update_links(&mut self) {
        let mut nodes: BTreeSet<NodeNumber> = self.planned.voters().collect();
        nodes.extend(self.node.configuration().members().map(|member| member.node));
        nodes.extend(self.directory.known());
        self.links.keep_only(&nodes);
    }

    fn grow_cluster(&mut self, now: Timestamp) {
        let Some(growth) = self.planned.growth() else {
            return;
        };
        let Some(change) = self.node.due_membership_change(now, &growth) else {
            return;
        };
        match self.node.change_members(now, change) {
            Ok(index) => info!(event = "member_change", ?change, index = index.0),
            Err(error) => warn!(event = "member_not_changed_yet", ?change, %error),
        }
    }

    /// Asks to be added as a learner after a long time without a leader: the member may have been
    /// replaced as lost in the meantime. The request changes nothing if it is still a member.
    fn rejoin_if_removed(&mut self, now: Timestamp) {
        if self.planned.growth().is_none() || self.node.status().leader.is_some() {
            self.leaderless_since = None;
            return;
        }
        let since = *self.leaderless_since.get_or_insert(now);
        if now.since(since) < REJOIN_TIMEOUT {
            return;
        }
        self.leaderless_since = Some(now);
        let Some(formed) = self.directory.any_formed() else {
            return;
        };
        let contact = self.join_through.take().unwrap_or(formed);
        let change = MemberChange::AddLearner(self.node.identity());
        self.request_membership(contact, change);
    }

    /// Directs the next join request to the leader that a refusal names, or draws a new identity if
    /// the leader knows a later one.
    pub(super) fn note_join_refusal(&mut self, result: Result<LogIndex, MemberChangeError>) {
        if let Err(error) = &result
            && self.logged_join_refusal.as_ref() != Some(error)
        {
            info!(event = "join_refused", %error);
            self.logged_join_refusal = Some(*error);
        }
        match result {
            Err(MemberChangeError::NotLeader(leader)) => self.join_through = leader,
            Err(MemberChangeError::Superseded(later)) => self.renew_identity(later.incarnation),
            _ => {}
        }
    }
}
