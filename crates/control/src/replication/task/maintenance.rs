//! Membership maintenance: joining or forming a cluster, replacing members, and permission to stop.

use std::collections::BTreeSet;
use std::collections::btree_map::Entry;
use std::time::Duration;

use gingerkeel_domain::consensus::{
    LogIndex, MemberChange, MemberChangeError, MemberChangeOutcome, MemberId, NodeNumber,
};
use gingerkeel_domain::time::Timestamp;
use tracing::{info, warn};

use super::ReplicationTask;
use crate::replication::membership::BootstrapStep;

/// Time without a leader after which a member asks to be added again, as it may have been removed.
const REJOIN_TIMEOUT: Duration = Duration::from_secs(1);
/// Time without a connection to any seed after which that is logged.
const SEED_ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

impl ReplicationTask {
    /// Membership maintenance: joining or forming a cluster, replacing members that lost their data
    /// folder, and growing the cluster.
    pub(super) fn maintain(&mut self, now: Timestamp) {
        self.update_links();
        self.log_unreached_seeds(now);
        if self.node.status().last.index > LogIndex(0) {
            self.replace_lost_folders(now);
            self.grow_cluster(now);
            self.rejoin_if_removed(now);
            self.prepare_stops(now);
            return;
        }
        // Without a log this process is no voter, whose end could cost a quorum.
        self.permit_own_stop();
        match self.planned.bootstrap_step(&self.directory) {
            BootstrapStep::Wait => {}
            BootstrapStep::Form(configuration) => {
                info!(event = "cluster_formed", voters = configuration.voters.len());
                self.node.bootstrap(now, configuration);
                self.node.tick(now);
            }
            BootstrapStep::Join => self.ask_to_join(now),
        }
    }

    /// Asks the next contact, if one is due, to add this process as a learner.
    fn ask_to_join(&mut self, now: Timestamp) {
        self.is_searching = true;
        let contacts = self.contacts();
        let number = self.requests.next_number();
        let Some(contact) = self.leader_search.next(now, number, &contacts) else {
            return;
        };
        if let Entry::Vacant(unasked) = self.logged_join_answers.entry(contact.node) {
            unasked.insert(None);
            info!(event = "join_requested", %contact, contacts = contacts.len());
        }
        let change = MemberChange::AddLearner(self.node.identity());
        self.node.request_member_change(contact, number, change);
    }

    /// The connected processes with a log.
    fn contacts(&self) -> Vec<MemberId> {
        let mut contacts = self.directory.formed();
        contacts.retain(|contact| self.links.is_connected(contact.node));
        contacts
    }

    fn end_search(&mut self) {
        self.is_searching = false;
        self.leader_search.end();
        self.logged_join_answers.clear();
    }

    /// Permits other members to stop, and has the leader permit this one.
    fn prepare_stops(&mut self, now: Timestamp) {
        self.node.permit_stops(now, self.planned.growth().as_ref());
        if !self.stops.is_empty() && self.node.prepare_stop() {
            self.permit_own_stop();
        }
    }

    fn permit_own_stop(&mut self) {
        for reply in self.stops.drain(..) {
            info!(event = "stop_permitted");
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

    /// Keeps connections to the configured voters, the seeds, all members, every process that joins,
    /// and the leaders that refusals named.
    fn update_links(&mut self) {
        let mut nodes: BTreeSet<NodeNumber> = self.planned.voters().collect();
        nodes.extend(&self.seeds);
        nodes.extend(self.node.configuration().members().map(|member| member.node));
        nodes.extend(self.directory.known());
        nodes.extend(self.leader_search.named_leaders());
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
            self.end_search();
            return;
        }
        let since = *self.leaderless_since.get_or_insert(now);
        if now.since(since) >= REJOIN_TIMEOUT {
            self.ask_to_join(now);
        }
    }

    /// Handles the answer to a join request: the next contact may be due, or another identity if the
    /// leader knows a later one.
    pub(super) fn note_join_answer(&mut self, outcome: &MemberChangeOutcome) {
        let now = self.clock.now();
        let Some(contact) = self.leader_search.answered(now, outcome.number, &outcome.result)
        else {
            return;
        };
        self.maintenance_due = now;
        let Err(error) = outcome.result else {
            return;
        };
        if self.logged_join_answers.insert(contact, Some(error)) != Some(Some(error)) {
            info!(event = "join_refused", contact = contact.0, %error);
        }
        if let MemberChangeError::Superseded(later) = error {
            self.renew_identity(later.incarnation);
        }
    }

    /// Logs once that no seed answers a process that has no leader: it can join through none.
    fn log_unreached_seeds(&mut self, now: Timestamp) {
        let own = self.node.identity().node;
        let mut seeds = self.seeds.iter().copied().filter(|seed| *seed != own).peekable();
        let is_alone = seeds.peek().is_none();
        let is_reached = seeds.any(|seed| self.links.is_connected(seed));
        if is_alone || is_reached || self.node.status().leader.is_some() {
            self.seeds_unreached_since = None;
            self.seeds_logged = false;
            return;
        }
        let since = *self.seeds_unreached_since.get_or_insert(now);
        if !self.seeds_logged && now.since(since) >= SEED_ANSWER_TIMEOUT {
            self.seeds_logged = true;
            warn!(event = "no_seed_answers", other_contacts = self.contacts().len());
        }
    }
}
