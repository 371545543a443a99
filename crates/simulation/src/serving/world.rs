//! The world of the serving tier: who does what on which event.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use gingerkeel_domain::admission::RefusalReason;
use gingerkeel_domain::catalog::{Catalog, Change, LeafState};
use gingerkeel_domain::dispatch::{Effect, Event as BrokerEvent, LeafCompletion};
use gingerkeel_domain::identifiers::{
    CallerName, ClassName, IndexVersion, LeafId, LeafRequestId, QueryId, ServiceName, Snapshot,
};
use gingerkeel_domain::query::{LeafFailure, LeafReply, QueryOutcome, Sending, Submission};
use gingerkeel_domain::time::Timestamp;
use rand::Rng;
use rand_pcg::Pcg64;

use super::broker::{BrokerIndex, BrokerModel};
use super::caller::{CALLER, ClassLoad};
use super::fault::{Fault, Mutant};
use super::history::{
    DrainRecord, GlobalQuery, History, LeafArrival, LeafRun, QueryRecord, StopRecord, leaf_body,
};
use super::leaf::{LeafAction, LeafModel, LeafRequest};
use super::network::Network;
use crate::trace::Trace;
use crate::virtual_clock::{Schedule, World};

/// Within this time all leaves load a newly built index version.
const LOAD_SPREAD: Duration = Duration::from_millis(300);
/// Time after the first leaf loads a version until the operator publishes it.
const PUBLISH_DELAY: Duration = Duration::from_millis(200);
/// Within this time a change reaches a broker.
pub const FEED_DELAY: Duration = Duration::from_millis(50);

/// Name of the rehearsed service.
pub const SERVICE: &str = "records";

/// What happens in the world.
#[derive(Debug)]
pub enum Event {
    /// The next caller of a class comes.
    CallerArrives(usize),
    /// A request reaches a leaf.
    RequestAtLeaf(LeafId, LeafRequest),
    /// A cancellation reaches a leaf.
    CancelAtLeaf(LeafId, BrokerIndex, LeafRequestId),
    /// A probe reaches a leaf.
    ProbeAtLeaf(LeafId, BrokerIndex),
    /// The mark of a leaf reaches the broker that probed it.
    MarkAtBroker(BrokerIndex, LeafId, bool),
    /// A leaf has finished a request that it started in its run of this number.
    RunFinished(LeafId, u32, LeafRequest),
    /// News of a leaf request reaches its broker.
    CompletionAtBroker(BrokerIndex, LeafId, LeafRequestId, LeafCompletion, Option<bool>),
    /// A timer of a broker may be due.
    BrokerTimer(BrokerIndex),
    /// A catalog reaches a broker.
    CatalogAtBroker(BrokerIndex, Arc<Catalog>),
    /// A leaf has loaded a snapshot.
    SnapshotLoaded(LeafId, Snapshot),
    /// An operator's change is accepted.
    ChangeAccepted(Change),
    /// A caller sends a query again under its key.
    CallerResends(GlobalQuery),
    /// The caller of a query hangs up.
    CallerHangsUp(GlobalQuery),
    /// An answer that was held back is given.
    HeldAnswer(GlobalQuery, QueryOutcome),
    /// A fault comes.
    Fault(Fault),
}

/// The world of the serving tier.
pub struct ServingWorld {
    /// Brokers by number.
    pub brokers: Vec<BrokerModel>,
    /// Leaves by number.
    pub leaves: BTreeMap<LeafId, LeafModel>,
    /// The accepted catalog.
    pub catalog: Catalog,
    /// Classes and their load.
    pub loads: Vec<ClassLoad>,
    /// No caller comes after this time.
    pub arrivals_end: Timestamp,
    /// What callers and leaves saw.
    pub history: History,
    /// What happened, in order.
    pub trace: Trace,
    /// The network between brokers and leaves.
    pub network: Network,
    /// Callers send not-repeatable queries under keys, and send them again.
    pub resending: bool,
    /// Source of all random choices of the world.
    pub random: Pcg64,
    /// A rule that is switched off.
    pub mutant: Option<Mutant>,
}

impl World for ServingWorld {
    type Event = Event;

    fn handle(&mut self, now: Timestamp, event: Event, schedule: &mut Schedule<Event>) {
        self.record(now, &event);
        match event {
            Event::CallerArrives(class) => self.caller_arrives(now, class, schedule),
            Event::RequestAtLeaf(leaf, request) => {
                self.request_at_leaf(now, leaf, request, schedule)
            }
            Event::CancelAtLeaf(leaf, broker, request) => {
                self.cancel_at_leaf(now, leaf, broker, request, schedule)
            }
            Event::ProbeAtLeaf(leaf, broker) => self.probe_at_leaf(leaf, broker, schedule),
            Event::MarkAtBroker(broker, leaf, draining) => {
                let event = BrokerEvent::ProbeAnswered { leaf, draining };
                self.tell_broker(now, broker, event, schedule);
            }
            Event::RunFinished(leaf, run, request) => {
                self.run_finished(now, leaf, run, request, schedule)
            }
            Event::CompletionAtBroker(broker, leaf, request, completion, draining) => {
                let event = BrokerEvent::LeafCompleted { leaf, request, completion, draining };
                self.tell_broker(now, broker, event, schedule);
            }
            Event::BrokerTimer(broker) => {
                self.brokers[broker.0].armed = None;
                self.tell_broker(now, broker, BrokerEvent::TimerElapsed, schedule);
            }
            Event::CatalogAtBroker(broker, catalog) => {
                self.tell_broker(now, broker, BrokerEvent::CatalogChanged(catalog), schedule);
            }
            Event::SnapshotLoaded(leaf, snapshot) => {
                if let Some(leaf) = self.leaves.get_mut(&leaf) {
                    leaf.load(snapshot);
                }
            }
            Event::ChangeAccepted(change) => self.accept(&change, schedule),
            Event::CallerResends(query) => self.caller_resends(now, query, schedule),
            Event::CallerHangsUp(query) => self.caller_hangs_up(now, query, schedule),
            Event::HeldAnswer(query, outcome) => self.deliver(now, query, outcome),
            Event::Fault(fault) => self.fault(now, fault, schedule),
        }
    }
}

impl ServingWorld {
    /// Accepts a change and sends the catalog to the brokers.
    pub fn accept(&mut self, change: &Change, schedule: &mut Schedule<Event>) {
        // A change that the catalog refuses is one that the operator is told about; nothing happens.
        if self.catalog.apply(change).is_err() {
            return;
        }
        self.record_shards();
        let catalog = Arc::new(self.catalog.clone());
        for broker in 0..self.brokers.len() {
            let delay = self.random.random_range(Duration::ZERO..FEED_DELAY);
            schedule.after(delay, Event::CatalogAtBroker(BrokerIndex(broker), catalog.clone()));
        }
    }

    /// Keeps the shards of every partition map for the checks.
    pub fn record_shards(&mut self) {
        if let Some(service) = self.catalog.services().get(&ServiceName::new(SERVICE)) {
            for map in service.partitions() {
                let shards = map.shards.keys().copied().collect();
                self.history.shards.insert(map.epoch, shards);
            }
        }
    }

    fn record(&mut self, now: Timestamp, event: &Event) {
        match event {
            Event::CatalogAtBroker(broker, catalog) => {
                let revision = catalog.revision();
                self.trace.record(now, format_args!("event=catalog {broker:?} revision={revision}"))
            }
            event => self.trace.record(now, format_args!("event={event:?}")),
        }
    }

    fn caller_arrives(&mut self, now: Timestamp, class: usize, schedule: &mut Schedule<Event>) {
        if now >= self.arrivals_end {
            return;
        }
        let load = self.loads[class].clone();
        schedule.after(load.next_interval(&mut self.random), Event::CallerArrives(class));
        let alive: Vec<usize> =
            (0..self.brokers.len()).filter(|index| !self.brokers[*index].dead).collect();
        if alive.is_empty() {
            return;
        }
        let broker = BrokerIndex(alive[self.random.random_range(0..alive.len())]);
        let repeatable = !self.random.random_bool(load.not_repeatable);
        let mut submission = self.submission(now, broker, &load, repeatable);
        if self.resending && !repeatable {
            self.plan_resends(now, broker, &mut submission, schedule);
        }
        self.submit(now, broker, submission, load.policy.priority, schedule);
    }

    /// A query reaches a broker.
    pub(super) fn submit(
        &mut self,
        now: Timestamp,
        broker: BrokerIndex,
        submission: Submission,
        priority: u8,
        schedule: &mut Schedule<Event>,
    ) {
        let query = GlobalQuery { broker, query: submission.query };
        let record = QueryRecord {
            submission: submission.clone(),
            priority,
            submitted: now,
            outcomes: Vec::new(),
            excused: false,
        };
        self.history.queries.insert(query, record);
        let submission = self.bend_key(self.bend_class(submission));
        self.tell_broker(now, broker, BrokerEvent::Submitted(submission), schedule);
    }

    fn submission(
        &mut self,
        now: Timestamp,
        broker: BrokerIndex,
        load: &ClassLoad,
        repeatable: bool,
    ) -> Submission {
        let model = &mut self.brokers[broker.0];
        let query = QueryId(model.next_query);
        model.next_query += 1;
        Submission {
            query,
            service: ServiceName::new(SERVICE),
            class: load.policy.name.clone(),
            caller: CallerName::new(CALLER),
            deadline: now.after(load.policy.default_deadline),
            repeatable,
            key: None,
        }
    }

    fn bend_class(&self, mut submission: Submission) -> Submission {
        if self.mutant == Some(Mutant::ClassesIgnored) {
            submission.class = ClassName::new("standard");
        }
        submission
    }

    pub(super) fn tell_broker(
        &mut self,
        now: Timestamp,
        broker: BrokerIndex,
        event: BrokerEvent,
        schedule: &mut Schedule<Event>,
    ) {
        let model = &mut self.brokers[broker.0];
        if model.dead {
            return;
        }
        let mut effects = Vec::new();
        model.handle(now, event, &mut effects);
        for effect in effects {
            self.carry_out(now, broker, effect, schedule);
        }
        self.arm_timer(now, broker, schedule);
        self.end_stopped(broker);
    }

    fn carry_out(
        &mut self,
        now: Timestamp,
        broker: BrokerIndex,
        effect: Effect,
        schedule: &mut Schedule<Event>,
    ) {
        match effect {
            Effect::Answer { query, outcome } => {
                self.answer(now, GlobalQuery { broker, query }, outcome, schedule)
            }
            Effect::Send { sending, time_left } => {
                let request = LeafRequest {
                    broker,
                    request: sending.request,
                    snapshot: sending.snapshot,
                    deadline: now.after(time_left),
                };
                self.send(broker, sending, request, schedule);
            }
            Effect::Probe { leaf } => {
                if let Some(delay) = self.network.delay(&mut self.random, broker, leaf) {
                    schedule.after(delay, Event::ProbeAtLeaf(leaf, broker));
                }
            }
            Effect::Cancel { request, leaf } => {
                if let Some(delay) = self.network.delay(&mut self.random, broker, leaf) {
                    schedule.after(delay, Event::CancelAtLeaf(leaf, broker, request));
                }
            }
        }
    }

    fn send(
        &mut self,
        broker: BrokerIndex,
        sending: Sending,
        request: LeafRequest,
        schedule: &mut Schedule<Event>,
    ) {
        if let Some(delay) = self.network.delay(&mut self.random, broker, sending.leaf) {
            schedule.after(delay, Event::RequestAtLeaf(sending.leaf, request));
        }
    }

    fn answer(
        &mut self,
        now: Timestamp,
        query: GlobalQuery,
        outcome: QueryOutcome,
        schedule: &mut Schedule<Event>,
    ) {
        let held = self.mutant == Some(Mutant::RefusalsHeldBack)
            && matches!(outcome, QueryOutcome::NotRun { .. });
        if held && let Some(record) = self.history.queries.get(&query) {
            let delay = record.submission.deadline.since(now);
            schedule.after(delay, Event::HeldAnswer(query, outcome));
            return;
        }
        self.deliver(now, query, outcome);
    }

    fn deliver(&mut self, now: Timestamp, query: GlobalQuery, outcome: QueryOutcome) {
        self.trace.record(now, format_args!("answer={query:?} outcome={outcome:?}"));
        if let Some(record) = self.history.queries.get_mut(&query) {
            record.outcomes.push((now, outcome));
        }
    }

    fn arm_timer(&mut self, now: Timestamp, broker: BrokerIndex, schedule: &mut Schedule<Event>) {
        let model = &mut self.brokers[broker.0];
        let Some(due) = model.dispatcher.next_timer() else {
            return;
        };
        if model.armed.is_none_or(|armed| due < armed) {
            model.armed = Some(due);
            schedule.after(due.since(now), Event::BrokerTimer(broker));
        }
    }

    fn end_stopped(&mut self, broker: BrokerIndex) {
        let stopping = self.history.stops.iter().any(|stop| stop.broker == broker);
        let model = &mut self.brokers[broker.0];
        if stopping && model.dispatcher.active() == 0 {
            model.dead = true;
        }
    }

    fn request_at_leaf(
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

    fn cancel_at_leaf(
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

    fn probe_at_leaf(&mut self, id: LeafId, broker: BrokerIndex, schedule: &mut Schedule<Event>) {
        let answering = self.leaves.get(&id).filter(|leaf| !leaf.dead && leaf.frozen.is_none());
        let Some(draining) = answering.map(|leaf| leaf.draining) else {
            return;
        };
        if let Some(delay) = self.network.delay(&mut self.random, broker, id) {
            schedule.after(delay, Event::MarkAtBroker(broker, id, draining));
        }
    }

    fn act(
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

    fn run_finished(
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

    fn result(&self, id: LeafId, request: &LeafRequest) -> LeafCompletion {
        let mut read = request.snapshot;
        if self.leaves[&id].wrong_version {
            read.version = IndexVersion(read.version.0 + 1);
        }
        let query = GlobalQuery { broker: request.broker, query: request.request.query };
        let body = leaf_body(query, request.request.shard, read, request.snapshot);
        LeafCompletion::Replied(LeafReply::Result { snapshot: read, body: Bytes::from(body) })
    }

    /// Sends news of a request to its broker, marked with what the leaf says of itself.
    fn reply(
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

    fn fault(&mut self, now: Timestamp, fault: Fault, schedule: &mut Schedule<Event>) {
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

    fn leaf_fault(&mut self, now: Timestamp, fault: Fault) {
        let service = ServiceName::new(SERVICE);
        let published = self.catalog.services()[&service].published();
        let leaf_of =
            |leaves: &mut BTreeMap<LeafId, LeafModel>, id, change: &dyn Fn(&mut LeafModel)| {
                if let Some(leaf) = leaves.get_mut(&id) {
                    change(leaf);
                }
            };
        let leaves = &mut self.leaves;
        match fault {
            Fault::Slow { leaf, factor } => {
                leaf_of(leaves, leaf, &|leaf| leaf.slow_factor = factor)
            }
            Fault::Restart(leaf) => leaf_of(leaves, leaf, &|leaf| leaf.restart()),
            Fault::Freeze(leaf) => leaf_of(leaves, leaf, &|leaf| leaf.frozen = Some(Vec::new())),
            Fault::LateReplies { leaf, spread } => {
                leaf_of(leaves, leaf, &|leaf| leaf.reply_spread = spread)
            }
            Fault::DuplicateReplies(leaf) => {
                leaf_of(leaves, leaf, &|leaf| leaf.duplicate_replies = true)
            }
            Fault::WrongVersion(leaf) => leaf_of(leaves, leaf, &|leaf| leaf.wrong_version = true),
            Fault::FailFast(leaf) => leaf_of(leaves, leaf, &|leaf| leaf.fail_fast = true),
            Fault::LoseVersion(leaf, _) => leaf_of(leaves, leaf, &|leaf| {
                if let Some(published) = published {
                    leaf.lose(published);
                }
            }),
            Fault::DrainByLeaf(leaf) => {
                self.history.drains.push(DrainRecord { leaf, ordered: now });
                leaf_of(leaves, leaf, &|leaf| leaf.draining = true);
            }
            _ => unreachable!("{fault:?} is not a fault of one leaf"),
        }
    }

    fn publish_next(&mut self, schedule: &mut Schedule<Event>) {
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

    fn repartition(&mut self, shards: u32, schedule: &mut Schedule<Event>) {
        let service = ServiceName::new(SERVICE);
        self.accept(&Change::Repartition { service: service.clone(), shards }, schedule);
        for change in assignments(&service, shards, self.leaves.keys().copied()) {
            self.accept(&change, schedule);
        }
        self.publish_next(schedule);
    }

    fn stop(&mut self, now: Timestamp, broker: BrokerIndex, schedule: &mut Schedule<Event>) {
        self.history.stops.push(StopRecord { broker, requested: now });
        if self.mutant == Some(Mutant::StopCutsInFlight) {
            self.brokers[broker.0].dead = true;
            return;
        }
        self.tell_broker(now, broker, BrokerEvent::StopRequested, schedule);
    }

    fn kill_broker(&mut self, broker: BrokerIndex) {
        self.brokers[broker.0].dead = true;
        for (query, record) in &mut self.history.queries {
            if query.broker == broker && record.outcomes.is_empty() {
                record.excused = true;
            }
        }
    }

    fn kill_leaf(&mut self, id: LeafId, schedule: &mut Schedule<Event>) {
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

    fn thaw(&mut self, id: LeafId, schedule: &mut Schedule<Event>) {
        let Some(arrivals) = self.leaves.get_mut(&id).and_then(|leaf| leaf.frozen.take()) else {
            return;
        };
        for request in arrivals {
            schedule.after(Duration::ZERO, Event::RequestAtLeaf(id, request));
        }
    }
}

/// Assigns leaves to shards in turn.
pub fn assignments(
    service: &ServiceName,
    shards: u32,
    leaves: impl Iterator<Item = LeafId>,
) -> Vec<Change> {
    let mut replicas: BTreeMap<u32, Vec<LeafId>> = BTreeMap::new();
    for leaf in leaves {
        replicas.entry(leaf.0 % shards).or_default().push(leaf);
    }
    replicas
        .into_iter()
        .map(|(shard, leaves)| Change::AssignShard {
            service: service.clone(),
            shard: gingerkeel_domain::identifiers::ShardId(shard),
            leaves,
        })
        .collect()
}

/// Whether a refusal is decided when a query is submitted, so that it has to come at once.
pub fn decided_on_entry(reason: RefusalReason) -> bool {
    matches!(
        reason,
        RefusalReason::QueueFull
            | RefusalReason::Stopping
            | RefusalReason::BudgetSpent
            | RefusalReason::UnknownCaller
            | RefusalReason::KeyTaken
    )
}
