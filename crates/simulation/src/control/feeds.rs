//! Feeds from control machines to brokers, and linearizable reads for leases and revisions.

use std::sync::Arc;
use std::time::Duration;

use gingerkeel_domain::cluster::ClusterState;
use gingerkeel_domain::feed::LeaseGrant;
use gingerkeel_domain::identifiers::Revision;

use super::broker::BrokerIndex;
use super::fault::Mutant;
use super::machine::{ConfirmedRead, Feed, MachineIndex, PendingRead};
use super::message::{Endpoint, FeedContent, LinkNumber, Message};
use super::world::{ControlWorld, Event};
use crate::virtual_clock::Schedule;

/// Lease duration, from the time of the broker's request.
const LEASE: Duration = Duration::from_secs(4);

impl ControlWorld {
    pub(super) fn read(
        &mut self,
        index: MachineIndex,
        read: PendingRead,
        schedule: &mut Schedule<Event>,
    ) {
        let unconfirmed = self.mutant == Some(Mutant::UnconfirmedGrants);
        let machine = &mut self.machines[index.0];
        let number = machine.take_read_number();
        let Some(process) = machine.process.as_mut() else {
            return;
        };
        if unconfirmed {
            self.answer_read(index, read, schedule);
        } else if process.node.read(number).is_ok() {
            process.reads.insert(number.0, read);
        }
    }

    pub(super) fn answer_read(
        &mut self,
        index: MachineIndex,
        read: PendingRead,
        schedule: &mut Schedule<Event>,
    ) {
        let Some(process) = self.machines[index.0].process.as_ref() else {
            return;
        };
        let revision = process.state.catalog().revision();
        match read {
            PendingRead::Lease(broker, link, ticket) => {
                let grant = LeaseGrant { ticket, revision, duration: LEASE };
                self.feed(index, broker, link, FeedContent::Grant(grant), schedule);
            }
            PendingRead::Revision(operator) => {
                let (from, to) = (Endpoint::Machine(index), Endpoint::Operator(operator));
                self.send(from, to, Message::RevisionIs(revision), schedule);
            }
        }
    }

    pub(super) fn feed(
        &mut self,
        from: MachineIndex,
        broker: BrokerIndex,
        link: LinkNumber,
        content: FeedContent,
        schedule: &mut Schedule<Event>,
    ) {
        let message = Message::Feed(link, content);
        self.send(Endpoint::Machine(from), Endpoint::Broker(broker), message, schedule);
    }

    pub(super) fn subscribe(
        &mut self,
        index: MachineIndex,
        broker: BrokerIndex,
        link: LinkNumber,
        revision: Revision,
        schedule: &mut Schedule<Event>,
    ) {
        let Some(process) = self.machines[index.0].process.as_mut() else {
            return;
        };
        let newest = process.state.catalog().revision();
        let contents = missing_contents(&process.state, revision);
        process.feeds.insert(broker, Feed { link, sent: Some(newest) });
        let full = contents.iter().filter(|one| matches!(one, FeedContent::FullCatalog(_)));
        self.history.full_copies += full.count();
        for content in contents {
            self.feed(index, broker, link, content, schedule);
        }
    }

    /// Sends missing changes on all feeds.
    pub(super) fn push_changes(&mut self, index: MachineIndex, schedule: &mut Schedule<Event>) {
        let Some(process) = self.machines[index.0].process.as_mut() else {
            return;
        };
        let newest = process.state.catalog().revision();
        let behind = process.feeds.iter().filter_map(|(broker, feed)| {
            let sent = feed.sent.filter(|sent| *sent < newest)?;
            Some((*broker, feed.link, sent))
        });
        let behind: Vec<(BrokerIndex, LinkNumber, Revision)> = behind.collect();
        for (broker, link, sent) in behind {
            self.subscribe(index, broker, link, sent, schedule);
        }
    }

    pub(super) fn answer_reads(&mut self, index: MachineIndex, schedule: &mut Schedule<Event>) {
        let Some(process) = self.machines[index.0].process.as_mut() else {
            return;
        };
        let applied = process.node.status().applied;
        let confirmed = std::mem::take(&mut process.confirmed);
        let (due, later): (Vec<ConfirmedRead>, Vec<ConfirmedRead>) =
            confirmed.into_iter().partition(|read| read.index <= applied);
        process.confirmed = later;
        for read in due {
            self.answer_read(index, read.read, schedule);
        }
    }
}

/// Updates for a broker at `revision`: the changes since then, or the full catalog if they are no
/// longer in the history.
fn missing_contents(state: &ClusterState, revision: Revision) -> Vec<FeedContent> {
    match state.history().since(state.catalog().revision(), revision) {
        Some(changes) => changes
            .map(|accepted| FeedContent::Change(accepted.revision, accepted.change.clone()))
            .collect(),
        None => vec![FeedContent::FullCatalog(Arc::new(state.catalog().clone()))],
    }
}
