//! The engine: the task that owns the dispatcher and the connection pools of the leaves.

use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use gingerkeel_domain::admission::{OverloadReport, Refusal};
use gingerkeel_domain::catalog::{Catalog, Placement};
use gingerkeel_domain::dispatch::{
    Dispatcher, DispatcherSettings, Effect, Event, LeafCompletion, SchedulingPolicy,
};
use gingerkeel_domain::feed::ChargeTotals;
use gingerkeel_domain::identifiers::{
    BrokerName, BrokerRun, CallerName, LeafId, LeafRequestId, QueryId, RegionName, ServiceName,
    ZoneName,
};
use gingerkeel_domain::query::{LeafFailure, OutgoingRequest, QueryOutcome, Submission};
use gingerkeel_domain::request_key::RequestKey;
use gingerkeel_domain::routing::subset::BrokerEntry;
use gingerkeel_domain::time::Timestamp;
use gingerkeel_settings::{BrokerSettings, PolicySetting};
use gingerkeel_transport::{Clock, Limits};
use local_sync::mpsc::unbounded::{Rx, Tx};
use local_sync::oneshot;
use monoio::time::timeout;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use tracing::info;

use crate::leaves::{LeafMessage, LeafPool, LeafWork, RequestContext, WireRequest};
use crate::metrics::{ClassLabels, Metrics};

/// A message to the engine.
pub enum EngineMessage {
    /// A caller submitted a query.
    Submit {
        /// The query; the engine sets its deadline.
        submission: Submission,
        /// Time until the deadline; none takes the default of the class.
        deadline: Option<Duration>,
        /// Body of the query.
        body: Bytes,
        /// Receives the outcome.
        reply: oneshot::Sender<QueryOutcome>,
    },
    /// A caller disconnected before the outcome of this query.
    CallerGone(QueryId),
    /// A caller requests a request key.
    IssueKey {
        /// The caller.
        caller: CallerName,
        /// Receives the key, or the refusal.
        reply: oneshot::Sender<Result<RequestKey, Refusal>>,
    },
    /// A caller's connection opened.
    CallerConnected,
    /// A caller's connection closed; its responses are written or lost.
    CallerDisconnected,
    /// Metrics are requested.
    RenderMetrics {
        /// Receives them in the OpenMetrics text format.
        reply: oneshot::Sender<String>,
    },
    /// An event of a leaf connection.
    Leaf(LeafMessage),
    /// A newer catalog is in force.
    CatalogChanged(Arc<Catalog>),
    /// The totals of charges are requested.
    ReadCharges {
        /// Receives the totals.
        reply: oneshot::Sender<ChargeTotals>,
    },
    /// Load and refusals by service are requested.
    ReadOverload {
        /// Receives one report per service.
        reply: oneshot::Sender<Vec<OverloadReport>>,
    },
    /// The admission threshold of a service changed; it applies to all brokers.
    ThresholdChanged {
        /// The service.
        service: ServiceName,
        /// Priority of the lowest class that is still admitted.
        lowest_admitted: u8,
    },
    /// The freshness lease was renewed: queries may start until this time.
    FreshUntil(Timestamp),
    /// The list of brokers that share the leaves changed.
    BrokersChanged(Arc<[BrokerEntry]>),
    /// All leaves that the platform reports as leaving.
    PlatformLeaving(Vec<LeafId>),
    /// A planned stop begins.
    Stop,
}

/// A query without an outcome, and the caller that waits for it.
struct PendingQuery {
    /// None once the caller has disconnected.
    reply: Option<oneshot::Sender<QueryOutcome>>,
    context: Rc<RequestContext>,
    labels: ClassLabels,
    arrived: Timestamp,
}

/// State of the engine.
pub struct Engine {
    clock: Clock,
    dispatcher: Dispatcher,
    pending: HashMap<QueryId, PendingQuery>,
    pools: BTreeMap<LeafId, LeafPool>,
    connections_per_leaf: usize,
    next_connection: u64,
    run: Rc<str>,
    messages: Tx<EngineMessage>,
    metrics: Metrics,
    open_connections: usize,
    stopping: bool,
}

impl Engine {
    /// Creates an engine without a catalog; `run` identifies this run of the process.
    pub fn new(
        settings: &BrokerSettings,
        run: BrokerRun,
        clock: Clock,
        messages: Tx<EngineMessage>,
    ) -> Self {
        let mut random = match settings.seed {
            Some(seed) => Pcg64::seed_from_u64(seed),
            None => Pcg64::from_os_rng(),
        };
        Self {
            clock,
            dispatcher: Dispatcher::new(
                dispatcher_settings(settings, run),
                Box::new(Pcg64::from_rng(&mut random)),
            ),
            pending: HashMap::new(),
            pools: BTreeMap::new(),
            connections_per_leaf: settings.connections_per_leaf as usize,
            next_connection: 0,
            run: Rc::from(format!("{}-{:016x}", settings.name, run.0)),
            messages,
            metrics: Metrics::new(),
            open_connections: 0,
            stopping: false,
        }
    }

    /// Handles messages until a planned stop has drained the queries in flight; returns the totals
    /// of charges.
    pub async fn run(mut self, mut messages: Rx<EngineMessage>) -> ChargeTotals {
        let mut effects = Vec::new();
        // No query is served before the first lease.
        self.advance(Event::FreshUntil(Timestamp::ZERO), &mut effects);
        while !self.is_drained() {
            match self.next_message(&mut messages).await {
                Some(message) => self.handle(message, &mut effects),
                None => self.advance(Event::TimerElapsed, &mut effects),
            }
        }
        self.dispatcher.charges().counters().clone()
    }

    fn is_drained(&self) -> bool {
        self.stopping && self.dispatcher.active() == 0 && self.open_connections == 0
    }

    /// The next message; none if a timer is due first.
    async fn next_message(&self, messages: &mut Rx<EngineMessage>) -> Option<EngineMessage> {
        let due = self.dispatcher.next_timer();
        if due.is_some_and(|due| due <= self.clock.now()) {
            return None;
        }
        if let Ok(message) = messages.try_recv() {
            return Some(message);
        }
        match due {
            None => messages.recv().await,
            Some(due) => timeout(self.clock.until(due), messages.recv()).await.ok().flatten(),
        }
    }

    fn handle(&mut self, message: EngineMessage, effects: &mut Vec<Effect>) {
        match message {
            EngineMessage::Submit { mut submission, deadline, body, reply } => {
                submission.deadline = self.deadline(&submission, deadline);
                self.submit(submission, body, reply, effects)
            }
            EngineMessage::CallerGone(query) => self.caller_gone(query, effects),
            EngineMessage::IssueKey { caller, reply } => {
                // Fails if the caller has disconnected; the key then expires.
                let _ = reply.send(self.dispatcher.issue_key(self.clock.now(), caller));
            }
            EngineMessage::CallerConnected => self.open_connections += 1,
            EngineMessage::CallerDisconnected => self.open_connections -= 1,
            EngineMessage::RenderMetrics { reply } => {
                // Fails if the reader has disconnected.
                let _ = reply.send(self.metrics.render(&self.dispatcher));
            }
            EngineMessage::Leaf(message) => self.leaf_message(message, effects),
            EngineMessage::CatalogChanged(catalog) => {
                self.advance(Event::CatalogChanged(catalog.clone()), effects);
                self.update_pools(&catalog);
            }
            EngineMessage::ReadCharges { reply } => {
                // Fails if the link was lost or the report timed out.
                let _ = reply.send(self.dispatcher.charges().counters().clone());
            }
            EngineMessage::ReadOverload { reply } => {
                // Fails if the link was lost or the report timed out.
                let _ = reply.send(self.dispatcher.overload());
            }
            EngineMessage::ThresholdChanged { service, lowest_admitted } => {
                info!(event = "threshold_changed", %service, lowest_admitted);
                self.advance(Event::ThresholdChanged { service, lowest_admitted }, effects);
            }
            EngineMessage::FreshUntil(until) => self.advance(Event::FreshUntil(until), effects),
            EngineMessage::BrokersChanged(brokers) => {
                self.advance(Event::BrokersChanged(brokers), effects);
                self.update_pools(&self.dispatcher.catalog().clone());
            }
            EngineMessage::PlatformLeaving(leaves) => {
                self.advance(Event::PlatformLeaving(leaves), effects)
            }
            EngineMessage::Stop => {
                info!(event = "stop_requested", active = self.dispatcher.active());
                self.stopping = true;
                self.advance(Event::StopRequested, effects);
            }
        }
    }

    /// Absolute deadline of a query. An unknown class has none; the dispatcher refuses the query.
    fn deadline(&self, submission: &Submission, from_caller: Option<Duration>) -> Timestamp {
        let class = self.dispatcher.catalog().class(&submission.service, &submission.class);
        let deadline = from_caller.or(class.map(|class| class.default_deadline));
        self.clock.now().after(deadline.unwrap_or_default())
    }

    fn submit(
        &mut self,
        submission: Submission,
        body: Bytes,
        reply: oneshot::Sender<QueryOutcome>,
        effects: &mut Vec<Effect>,
    ) {
        let catalog = self.dispatcher.catalog();
        let priority = catalog
            .class(&submission.service, &submission.class)
            .map_or(u8::MAX, |class| class.priority);
        let now = self.clock.now();
        let context = Rc::new(RequestContext { body, priority });
        let labels = ClassLabels::new(catalog, &submission);
        let caller = PendingQuery { reply: Some(reply), context, labels, arrived: now };
        self.pending.insert(submission.query, caller);
        self.advance(Event::Submitted(submission), effects);
    }

    /// Cancels the query of a disconnected caller, unless it has a request key: then it keeps
    /// running so that a resend gets its outcome.
    fn caller_gone(&mut self, query: QueryId, effects: &mut Vec<Effect>) {
        self.advance(Event::CallerGone(query), effects);
        if self.dispatcher.is_active(query) {
            if let Some(caller) = self.pending.get_mut(&query) {
                caller.reply = None;
            }
        } else if let Some(caller) = self.pending.remove(&query) {
            self.metrics.query_cancelled(&caller.labels);
        }
    }

    fn leaf_message(&mut self, message: LeafMessage, effects: &mut Vec<Effect>) {
        match message {
            LeafMessage::Completed { leaf, request, completion, draining } => {
                self.advance(Event::LeafCompleted { leaf, request, completion, draining }, effects)
            }
            LeafMessage::ProbeAnswered { leaf, draining } => {
                self.advance(Event::ProbeAnswered { leaf, draining }, effects)
            }
            LeafMessage::Idle { leaf, connection } => {
                if let Some(pool) = self.pools.get_mut(&leaf) {
                    pool.connection_idle(connection, &mut self.next_connection);
                }
            }
            LeafMessage::Closed { leaf, connection } => {
                if let Some(pool) = self.pools.get_mut(&leaf) {
                    pool.connection_closed(connection, &mut self.next_connection);
                }
            }
        }
    }

    /// Drops the pools of leaves that left the catalog or changed address; a new pool opens with
    /// the first request.
    fn update_pools(&mut self, catalog: &Catalog) {
        self.pools.retain(|id, pool| {
            catalog.leaves().get(id).is_some_and(|leaf| leaf.address == pool.address())
        });
        for (id, pool) in &mut self.pools {
            pool.set_limit(connection_limit(&self.dispatcher, self.connections_per_leaf, *id));
        }
    }

    fn pool(&mut self, id: LeafId) -> Option<&mut LeafPool> {
        match self.pools.entry(id) {
            Entry::Occupied(entry) => Some(entry.into_mut()),
            Entry::Vacant(entry) => {
                let leaf = self.dispatcher.catalog().leaves().get(&id)?;
                let pool = LeafPool::new(
                    id,
                    leaf.address,
                    connection_limit(&self.dispatcher, self.connections_per_leaf, id),
                    self.run.clone(),
                    Limits::default(),
                    self.messages.clone(),
                );
                Some(entry.insert(pool))
            }
        }
    }

    fn advance(&mut self, event: Event, effects: &mut Vec<Effect>) {
        self.dispatcher.handle(self.clock.now(), event, effects);
        for effect in effects.drain(..) {
            match effect {
                Effect::Answer { query, outcome } => self.answer(query, outcome),
                Effect::Send { sending, time_left } => self.send(sending, time_left),
                Effect::Probe { leaf } => {
                    let mut next_connection = self.next_connection;
                    if let Some(pool) = self.pool(leaf) {
                        pool.submit(LeafWork::Probe, &mut next_connection);
                    }
                    self.next_connection = next_connection;
                }
                Effect::Cancel { request, leaf } => {
                    if let Some(pool) = self.pools.get_mut(&leaf) {
                        pool.submit(LeafWork::Cancel(request), &mut self.next_connection);
                    }
                }
            }
        }
    }

    fn answer(&mut self, query: QueryId, outcome: QueryOutcome) {
        let Some(caller) = self.pending.remove(&query) else {
            return;
        };
        let latency = self.clock.now().since(caller.arrived);
        self.metrics.query_ended(&caller.labels, &outcome, latency);
        if let Some(reply) = caller.reply {
            // Fails if the caller has disconnected.
            let _ = reply.send(outcome);
        }
    }

    fn send(&mut self, sending: OutgoingRequest, time_left: Duration) {
        self.metrics.leaf_request(sending.kind);
        let context = self.pending.get(&sending.request.query).map(|caller| caller.context.clone());
        let work = context.map(|context| {
            LeafWork::Send(WireRequest {
                request: sending.request,
                snapshot: sending.snapshot,
                time_left,
                context,
            })
        });
        let mut next_connection = self.next_connection;
        match (work, self.pool(sending.leaf)) {
            (Some(work), Some(pool)) => pool.submit(work, &mut next_connection),
            _ => self.fail_unsent(sending.leaf, sending.request),
        }
        self.next_connection = next_connection;
    }

    /// Reports a request without a leaf or context as not sent. The message passes through the
    /// queue, so that events stay in order.
    fn fail_unsent(&self, leaf: LeafId, request: LeafRequestId) {
        let completion = LeafCompletion::Failed(LeafFailure::NotSent);
        let message = LeafMessage::Completed { leaf, request, completion, draining: None };
        // This task holds the receiver.
        let _ = self.messages.send(EngineMessage::Leaf(message));
    }
}

/// Maximum number of connections to a leaf: the limit of the settings, within this broker's share
/// of the leaf's own limit.
fn connection_limit(dispatcher: &Dispatcher, connections_per_leaf: usize, leaf: LeafId) -> usize {
    dispatcher.connection_limit(leaf).clamp(1, connections_per_leaf)
}

fn dispatcher_settings(settings: &BrokerSettings, run: BrokerRun) -> DispatcherSettings {
    let placement = Placement {
        region: RegionName::new(&settings.region),
        zone: ZoneName::new(&settings.zone),
    };
    let policy = match settings.policy {
        PolicySetting::Standard => SchedulingPolicy::Standard,
        PolicySetting::Baseline => SchedulingPolicy::Baseline,
    };
    DispatcherSettings {
        run,
        policy,
        ..DispatcherSettings::new(BrokerName::new(&settings.name), placement)
    }
}
