//! Simulated world of the serving tier, and the dispatch of its events.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use gingerkeel_domain::admission::RefusalReason;
use gingerkeel_domain::catalog::{Catalog, Change};
use gingerkeel_domain::dispatch::{Effect, Event as BrokerEvent, LeafCompletion};
use gingerkeel_domain::identifiers::{
    CallerName, ClassName, LeafId, LeafRequestId, QueryId, ServiceName, Snapshot,
};
use gingerkeel_domain::query::{OutgoingRequest, QueryOutcome, Submission};
use gingerkeel_domain::time::Timestamp;
use rand::Rng;
use rand_pcg::Pcg64;

use super::broker::{BrokerIndex, BrokerModel};
use super::caller::{CALLER, ClassLoad};
use super::fault::{Fault, Mutant};
use super::history::{GlobalQuery, History, QueryRecord};
use super::leaf::{LeafModel, LeafRequest};
use super::network::Network;
use crate::trace::Trace;
use crate::virtual_clock::{Schedule, World};

/// Maximum time until a change reaches a broker.
pub const FEED_DELAY: Duration = Duration::from_millis(50);

/// Name of the simulated service.
pub const SERVICE: &str = "records";

/// Event of the simulated world.
#[derive(Debug)]
pub enum Event {
    /// Arrival of the next query of a class.
    CallerArrives(usize),
    /// Arrival of a request at a leaf.
    RequestAtLeaf(LeafId, LeafRequest),
    /// Arrival of a cancellation at a leaf.
    CancelAtLeaf(LeafId, BrokerIndex, LeafRequestId),
    /// Arrival of a probe at a leaf.
    ProbeAtLeaf(LeafId, BrokerIndex),
    /// Arrival of a probe response at a broker, with the drain mark.
    MarkAtBroker(BrokerIndex, LeafId, bool),
    /// End of a request at a leaf, with the run number of the leaf process.
    RunFinished(LeafId, u32, LeafRequest),
    /// Arrival of the completion of a leaf request at its broker.
    CompletionAtBroker(BrokerIndex, LeafId, LeafRequestId, LeafCompletion, Option<bool>),
    /// Timer of a broker, possibly outdated.
    BrokerTimer(BrokerIndex),
    /// Arrival of a catalog at a broker.
    CatalogAtBroker(BrokerIndex, Arc<Catalog>),
    /// Completed load of a snapshot at a leaf.
    SnapshotLoaded(LeafId, Snapshot),
    /// Change of an operator.
    ChangeAccepted(Change),
    /// Retry of a query with the same request key.
    CallerResends(GlobalQuery),
    /// Disconnection of the caller of a query.
    CallerHangsUp(GlobalQuery),
    /// Delivery of an outcome that a mutant has delayed.
    HeldAnswer(GlobalQuery, QueryOutcome),
    /// Injected fault.
    Fault(Fault),
}

/// State of the simulated serving tier.
pub struct ServingWorld {
    /// Brokers by index.
    pub brokers: Vec<BrokerModel>,
    /// Leaves by identifier.
    pub leaves: BTreeMap<LeafId, LeafModel>,
    /// The accepted catalog.
    pub catalog: Catalog,
    /// Load of each class.
    pub loads: Vec<ClassLoad>,
    /// Time after which no further queries arrive.
    pub arrivals_end: Timestamp,
    /// Observations for the checks.
    pub history: History,
    /// Event trace.
    pub trace: Trace,
    /// Network between brokers and leaves.
    pub network: Network,
    /// Whether callers retry queries that are not repeatable, with request keys.
    pub resending: bool,
    /// Random number generator of the world.
    pub random: Pcg64,
    /// Rule that is disabled, if any.
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
    /// Applies a change and sends the catalog to the brokers.
    pub fn accept(&mut self, change: &Change, schedule: &mut Schedule<Event>) {
        // If the catalog refuses a change, nothing is sent.
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

    /// Records the shards of all partition maps for the checks.
    pub fn record_shards(&mut self) {
        if let Some(service) = self.catalog.services().get(&ServiceName::new(SERVICE)) {
            for map in service.partitions() {
                let shards = map.shards.keys().copied().collect();
                self.history.shards.insert(map.epoch, shards);
            }
        }
    }

    pub(super) fn record(&mut self, now: Timestamp, event: &Event) {
        match event {
            Event::CatalogAtBroker(broker, catalog) => {
                let revision = catalog.revision();
                self.trace.record(now, format_args!("event=catalog {broker:?} revision={revision}"))
            }
            event => self.trace.record(now, format_args!("event={event:?}")),
        }
    }

    pub(super) fn caller_arrives(
        &mut self,
        now: Timestamp,
        class: usize,
        schedule: &mut Schedule<Event>,
    ) {
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

    /// Submits a query to a broker and records it.
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
        let submission = self.alter_key(self.alter_class(submission));
        self.tell_broker(now, broker, BrokerEvent::Submitted(submission), schedule);
    }

    pub(super) fn submission(
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

    pub(super) fn alter_class(&self, mut submission: Submission) -> Submission {
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

    pub(super) fn carry_out(
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

    pub(super) fn send(
        &mut self,
        broker: BrokerIndex,
        sending: OutgoingRequest,
        request: LeafRequest,
        schedule: &mut Schedule<Event>,
    ) {
        if let Some(delay) = self.network.delay(&mut self.random, broker, sending.leaf) {
            schedule.after(delay, Event::RequestAtLeaf(sending.leaf, request));
        }
    }

    pub(super) fn answer(
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

    pub(super) fn deliver(&mut self, now: Timestamp, query: GlobalQuery, outcome: QueryOutcome) {
        self.trace.record(now, format_args!("answer={query:?} outcome={outcome:?}"));
        if let Some(record) = self.history.queries.get_mut(&query) {
            record.outcomes.push((now, outcome));
        }
    }

    pub(super) fn arm_timer(
        &mut self,
        now: Timestamp,
        broker: BrokerIndex,
        schedule: &mut Schedule<Event>,
    ) {
        let model = &mut self.brokers[broker.0];
        let Some(due) = model.dispatcher.next_timer() else {
            return;
        };
        if model.armed.is_none_or(|armed| due < armed) {
            model.armed = Some(due);
            schedule.after(due.since(now), Event::BrokerTimer(broker));
        }
    }

    pub(super) fn end_stopped(&mut self, broker: BrokerIndex) {
        let stopping = self.history.stops.iter().any(|stop| stop.broker == broker);
        let model = &mut self.brokers[broker.0];
        if stopping && model.dispatcher.active() == 0 {
            model.dead = true;
        }
    }
}

/// Assigns leaves to shards round-robin.
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

/// Whether a refusal is decided at submission and must therefore be immediate.
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
