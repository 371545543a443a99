//! Fault injection.

use std::collections::BTreeMap;
use std::time::Duration;

use gingerkeel_domain::catalog::{Change, LeafState};
use gingerkeel_domain::dispatch::{Event as BrokerEvent, LeafCompletion};
use gingerkeel_domain::identifiers::{IndexVersion, LeafId, ServiceName, Snapshot};
use gingerkeel_domain::query::LeafFailure;
use gingerkeel_domain::time::Timestamp;
use rand::Rng;

use super::broker::BrokerIndex;
use super::fault::{Fault, Mutant};
use super::history::{DrainRecord, StopRecord};
use super::leaf::LeafModel;
use super::world::{Event, SERVICE, ServingWorld, assignments};
use crate::virtual_clock::Schedule;

/// Time within which all leaves load a new index version.
const LOAD_SPREAD: Duration = Duration::from_millis(300);
/// Time from the start of loading a version until its publication.
const PUBLISH_DELAY: Duration = Duration::from_millis(200);

impl ServingWorld {
    pub(super) fn fault(&mut self, now: Timestamp, fault: Fault, schedule: &mut Schedule<Event>) {
        match fault {
            Fault::Cut(broker, leaf) => self.network.cut(broker, leaf),
            Fault::Heal(broker, leaf) => self.network.heal(broker, leaf),
            Fault::PublishNext => self.publish_next(schedule),
            Fault::Repartition(shards) => self.repartition(shards, schedule),
            Fault::DrainByOperator(leaf) => {
                self.history.drains.push(DrainRecord { leaf, ordered: now });
                if self.mutant != Some(Mutant::NoDrainMarks) {
                    let change = Change::SetLeafState { leaf, state: LeafState::Draining };
                    self.accept(&change, schedule);
                }
            }
            Fault::StopBroker(broker) => self.stop(now, broker, schedule),
            Fault::KillBroker(broker) => self.kill_broker(broker),
            Fault::Kill(leaf) => self.kill_leaf(leaf, schedule),
            Fault::Thaw(leaf) => self.thaw(leaf, schedule),
            Fault::ResendUnderKeys => self.resending = true,
            Fault::CutBudget(rate) => self.cut_budget(now, rate, schedule),
            Fault::ShortenQueues(limit) => self.shorten_queues(limit, schedule),
            Fault::SetThreshold(lowest) => self.set_threshold(now, lowest, schedule),
            other => self.leaf_fault(now, other),
        }
    }

    pub(super) fn leaf_fault(&mut self, now: Timestamp, fault: Fault) {
        let service = ServiceName::new(SERVICE);
        let published = self.catalog.services()[&service].published();
        let with_leaf =
            |leaves: &mut BTreeMap<LeafId, LeafModel>, id, change: &dyn Fn(&mut LeafModel)| {
                if let Some(leaf) = leaves.get_mut(&id) {
                    change(leaf);
                }
            };
        let leaves = &mut self.leaves;
        match fault {
            Fault::Slow { leaf, factor } => {
                with_leaf(leaves, leaf, &|leaf| leaf.slow_factor = factor)
            }
            Fault::Restart(leaf) => with_leaf(leaves, leaf, &|leaf| leaf.restart()),
            Fault::Freeze(leaf) => with_leaf(leaves, leaf, &|leaf| leaf.frozen = Some(Vec::new())),
            Fault::LateReplies { leaf, spread } => {
                with_leaf(leaves, leaf, &|leaf| leaf.reply_spread = spread)
            }
            Fault::DuplicateReplies(leaf) => {
                with_leaf(leaves, leaf, &|leaf| leaf.duplicate_replies = true)
            }
            Fault::WrongVersion(leaf) => with_leaf(leaves, leaf, &|leaf| leaf.wrong_version = true),
            Fault::FailFast(leaf) => with_leaf(leaves, leaf, &|leaf| leaf.fail_fast = true),
            Fault::LoseVersion(leaf, _) => with_leaf(leaves, leaf, &|leaf| {
                if let Some(published) = published {
                    leaf.lose(published);
                }
            }),
            Fault::DrainByLeaf(leaf) => {
                self.history.drains.push(DrainRecord { leaf, ordered: now });
                with_leaf(leaves, leaf, &|leaf| leaf.draining = true);
            }
            _ => unreachable!("{fault:?} is not a fault of one leaf"),
        }
    }

    pub(super) fn publish_next(&mut self, schedule: &mut Schedule<Event>) {
        let service = ServiceName::new(SERVICE);
        let Some(published) = self.catalog.services()[&service].published() else {
            return;
        };
        let epoch = self.catalog.services()[&service].newest_epoch();
        let version = IndexVersion(published.version.0 + 1);
        for leaf in self.leaves.keys() {
            let delay = self.random.random_range(Duration::ZERO..LOAD_SPREAD);
            schedule.after(delay, Event::SnapshotLoaded(*leaf, Snapshot { epoch, version }));
        }
        let change = Change::PublishVersion { service, version };
        schedule.after(PUBLISH_DELAY, Event::ChangeAccepted(change));
    }

    pub(super) fn repartition(&mut self, shards: u32, schedule: &mut Schedule<Event>) {
        let service = ServiceName::new(SERVICE);
        self.accept(&Change::Repartition { service: service.clone(), shards }, schedule);
        for change in assignments(&service, shards, self.leaves.keys().copied()) {
            self.accept(&change, schedule);
        }
        self.publish_next(schedule);
    }

    pub(super) fn stop(
        &mut self,
        now: Timestamp,
        broker: BrokerIndex,
        schedule: &mut Schedule<Event>,
    ) {
        self.history.stops.push(StopRecord { broker, requested: now });
        if self.mutant == Some(Mutant::StopCutsInFlight) {
            self.brokers[broker.0].dead = true;
            return;
        }
        self.tell_broker(now, broker, BrokerEvent::StopRequested, schedule);
    }

    pub(super) fn kill_broker(&mut self, broker: BrokerIndex) {
        self.brokers[broker.0].dead = true;
        for (query, record) in &mut self.history.queries {
            if query.broker == broker && record.outcomes.is_empty() {
                record.excused = true;
            }
        }
    }

    pub(super) fn kill_leaf(&mut self, id: LeafId, schedule: &mut Schedule<Event>) {
        let Some(leaf) = self.leaves.get_mut(&id) else {
            return;
        };
        for (broker, request) in leaf.kill() {
            let completion = LeafCompletion::Failed(LeafFailure::Broken);
            if let Some(delay) = self.network.delay(&mut self.random, broker, id) {
                let event = Event::CompletionAtBroker(broker, id, request, completion, None);
                schedule.after(delay, event);
            }
        }
    }

    pub(super) fn thaw(&mut self, id: LeafId, schedule: &mut Schedule<Event>) {
        let Some(arrivals) = self.leaves.get_mut(&id).and_then(|leaf| leaf.frozen.take()) else {
            return;
        };
        for request in arrivals {
            schedule.after(Duration::ZERO, Event::RequestAtLeaf(id, request));
        }
    }
}
