//! Event handling of simulated leaves.

use std::time::Duration;

use bytes::Bytes;
use gingerkeel_domain::dispatch::LeafCompletion;
use gingerkeel_domain::identifiers::{IndexVersion, LeafId, LeafRequestId};
use gingerkeel_domain::query::{LeafFailure, LeafReply};
use gingerkeel_domain::time::Timestamp;
use rand::Rng;

use super::broker::BrokerIndex;
use super::history::{GlobalQuery, LeafArrival, LeafRun, leaf_body};
use super::leaf::{LeafAction, LeafRequest};
use super::world::{Event, FEED_DELAY, ServingWorld};
use crate::virtual_clock::Schedule;

impl ServingWorld {
    pub(super) fn request_at_leaf(
        &mut self,
        now: Timestamp,
        id: LeafId,
        request: LeafRequest,
        schedule: &mut Schedule<Event>,
    ) {
        self.history.arrivals.push(LeafArrival { leaf: id, arrived: now });
        let Some(leaf) = self.leaves.get_mut(&id) else {
            return;
        };
        if leaf.dead {
            let completion = LeafCompletion::Failed(LeafFailure::NotSent);
            self.reply(id, request, completion, schedule);
            return;
        }
        if let Some(arrivals) = &mut leaf.frozen {
            arrivals.push(request);
            return;
        }
        if leaf.fail_fast {
            let completion = LeafCompletion::Failed(LeafFailure::LeafError);
            self.reply(id, request, completion, schedule);
            return;
        }
        if let Some(action) = leaf.arrive(now, request, &mut self.random) {
            self.act(now, id, action, schedule);
        }
    }

    pub(super) fn cancel_at_leaf(
        &mut self,
        now: Timestamp,
        id: LeafId,
        broker: BrokerIndex,
        request: LeafRequestId,
        schedule: &mut Schedule<Event>,
    ) {
        let Some(leaf) = self.leaves.get_mut(&id) else {
            return;
        };
        leaf.cancel(broker, request);
        for action in leaf.start_waiting(now, &mut self.random) {
            self.act(now, id, action, schedule);
        }
    }

    pub(super) fn probe_at_leaf(
        &mut self,
        id: LeafId,
        broker: BrokerIndex,
        schedule: &mut Schedule<Event>,
    ) {
        let answering = self.leaves.get(&id).filter(|leaf| !leaf.dead && leaf.frozen.is_none());
        let Some(draining) = answering.map(|leaf| leaf.draining) else {
            return;
        };
        if let Some(delay) = self.network.delay(&mut self.random, broker, id) {
            schedule.after(delay, Event::MarkAtBroker(broker, id, draining));
        }
    }

    pub(super) fn act(
        &mut self,
        now: Timestamp,
        id: LeafId,
        action: LeafAction,
        schedule: &mut Schedule<Event>,
    ) {
        match action {
            LeafAction::Refuse(request, reason) => {
                let completion = LeafCompletion::Replied(LeafReply::NotRun(reason));
                self.reply(id, request, completion, schedule);
            }
            LeafAction::Run(request, time) => {
                self.history.runs.push(LeafRun {
                    leaf: id,
                    broker: request.broker,
                    request: request.request,
                    snapshot: request.snapshot,
                    started: now,
                });
                let run = self.leaves[&id].run;
                schedule.after(time, Event::RunFinished(id, run, request));
            }
        }
    }

    pub(super) fn run_finished(
        &mut self,
        now: Timestamp,
        id: LeafId,
        run: u32,
        request: LeafRequest,
        schedule: &mut Schedule<Event>,
    ) {
        let Some(leaf) = self.leaves.get_mut(&id) else {
            return;
        };
        if leaf.run != run {
            return;
        }
        if leaf.frozen.is_some() {
            schedule.after(FEED_DELAY, Event::RunFinished(id, run, request));
            return;
        }
        if !leaf.finish(request.broker, request.request) {
            return;
        }
        let actions = leaf.start_waiting(now, &mut self.random);
        let completion = self.result(id, &request);
        self.reply(id, request, completion, schedule);
        for action in actions {
            self.act(now, id, action, schedule);
        }
    }

    pub(super) fn result(&self, id: LeafId, request: &LeafRequest) -> LeafCompletion {
        let mut read = request.snapshot;
        if self.leaves[&id].wrong_version {
            read.version = IndexVersion(read.version.0 + 1);
        }
        let query = GlobalQuery { broker: request.broker, query: request.request.query };
        let body = leaf_body(query, request.request.shard, read, request.snapshot);
        LeafCompletion::Replied(LeafReply::Result { snapshot: read, body: Bytes::from(body) })
    }

    /// Sends the completion of a request to its broker, with the drain mark unless the leaf is
    /// dead.
    pub(super) fn reply(
        &mut self,
        id: LeafId,
        request: LeafRequest,
        completion: LeafCompletion,
        schedule: &mut Schedule<Event>,
    ) {
        let leaf = &self.leaves[&id];
        let draining = (!leaf.dead).then_some(leaf.draining);
        let copies = if leaf.duplicate_replies { 2 } else { 1 };
        let spread = leaf.reply_spread;
        for _ in 0..copies {
            let Some(mut delay) = self.network.delay(&mut self.random, request.broker, id) else {
                continue;
            };
            if !spread.is_zero() {
                delay += self.random.random_range(Duration::ZERO..spread);
            }
            let event = Event::CompletionAtBroker(
                request.broker,
                id,
                request.request,
                completion.clone(),
                draining,
            );
            schedule.after(delay, event);
        }
    }
}
