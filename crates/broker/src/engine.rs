//! The task that owns the dispatcher and the leaf pools.

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use gingerkeel_domain::catalog::Catalog;
use gingerkeel_domain::dispatch::{Dispatcher, Effect, Event, LeafCompletion};
use gingerkeel_domain::identifiers::{LeafId, LeafRequestId, QueryId};
use gingerkeel_domain::query::{LeafFailure, QueryOutcome, Sending, Submission};
use gingerkeel_settings::BrokerSettings;
use gingerkeel_transport::Limits;
use local_sync::mpsc::unbounded::{Rx, Tx};
use local_sync::oneshot;
use monoio::time::timeout;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use tracing::info;

use crate::clock::Clock;
use crate::leaves::{LeafMessage, LeafPool, LeafWork, RequestContext, WireRequest};

/// A message to the engine.
pub enum EngineMessage {
    /// A caller submitted a query.
    Submit {
        /// The query; its deadline counts from the engine's clock.
        submission: Submission,
        /// Body of the query.
        body: Bytes,
        /// Where the outcome goes.
        reply: oneshot::Sender<QueryOutcome>,
    },
    /// A caller hung up.
    CallerGone(QueryId),
    /// An answer was written to its caller, or could not be.
    AnswerDelivered,
    /// News of a leaf connection.
    Leaf(LeafMessage),
    /// A newer catalog.
    CatalogChanged(Arc<Catalog>),
    /// A planned stop begins.
    Stop,
}

struct WaitingCaller {
    reply: oneshot::Sender<QueryOutcome>,
    context: Rc<RequestContext>,
}

/// The state of the engine.
pub struct Engine {
    clock: Clock,
    dispatcher: Dispatcher,
    callers: HashMap<QueryId, WaitingCaller>,
    pools: BTreeMap<LeafId, LeafPool>,
    connections_per_leaf: usize,
    next_connection: u64,
    run: Rc<str>,
    messages: Tx<EngineMessage>,
    undelivered: usize,
    stopping: bool,
}

impl Engine {
    /// An engine without a catalog.
    pub fn new(settings: &BrokerSettings, messages: Tx<EngineMessage>) -> Self {
        let mut random = match settings.seed {
            Some(seed) => Pcg64::seed_from_u64(seed),
            None => Pcg64::from_os_rng(),
        };
        let run_number: u64 = rand::rng().random();
        Self {
            clock: Clock::start(),
            dispatcher: Dispatcher::new(Box::new(Pcg64::from_rng(&mut random))),
            callers: HashMap::new(),
            pools: BTreeMap::new(),
            connections_per_leaf: settings.connections_per_leaf as usize,
            next_connection: 0,
            run: Rc::from(format!("{}-{run_number:016x}", settings.name)),
            messages,
            undelivered: 0,
            stopping: false,
        }
    }

    /// Handles messages until a planned stop has finished what was in flight.
    pub async fn run(mut self, mut messages: Rx<EngineMessage>) {
        let mut effects = Vec::new();
        while !self.finished() {
            match self.next_message(&mut messages).await {
                Some(message) => self.handle(message, &mut effects),
                None => self.advance(Event::TimerElapsed, &mut effects),
            }
        }
    }

    fn finished(&self) -> bool {
        self.stopping && self.dispatcher.active() == 0 && self.undelivered == 0
    }

    /// The next message, or none when a timer is due first.
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
            EngineMessage::Submit { submission, body, reply } => {
                self.submit(submission, body, reply, effects)
            }
            EngineMessage::CallerGone(query) => {
                self.callers.remove(&query);
                self.advance(Event::CallerGone(query), effects);
            }
            EngineMessage::AnswerDelivered => self.undelivered -= 1,
            EngineMessage::Leaf(message) => self.leaf_message(message, effects),
            EngineMessage::CatalogChanged(catalog) => {
                self.update_pools(&catalog);
                self.advance(Event::CatalogChanged(catalog), effects);
            }
            EngineMessage::Stop => {
                info!(event = "stop_requested", active = self.dispatcher.active());
                self.stopping = true;
                self.advance(Event::StopRequested, effects);
            }
        }
    }

    fn submit(
        &mut self,
        mut submission: Submission,
        body: Bytes,
        reply: oneshot::Sender<QueryOutcome>,
        effects: &mut Vec<Effect>,
    ) {
        let catalog = self.dispatcher.catalog();
        let priority = catalog
            .class(&submission.service, &submission.class)
            .map_or(u8::MAX, |class| class.priority);
        let now = self.clock.now();
        submission.deadline = now.after(submission.deadline.since(Default::default()));
        let context = Rc::new(RequestContext { body, priority });
        self.callers.insert(submission.query, WaitingCaller { reply, context });
        self.advance(Event::Submitted(submission), effects);
    }

    fn leaf_message(&mut self, message: LeafMessage, effects: &mut Vec<Effect>) {
        match message {
            LeafMessage::Completed { request, completion, draining } => {
                self.advance(Event::LeafCompleted { request, completion, draining }, effects)
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

    fn update_pools(&mut self, catalog: &Catalog) {
        self.pools.retain(|leaf, _| catalog.leaves().contains_key(leaf));
        for (id, leaf) in catalog.leaves() {
            if self.pools.contains_key(id) {
                continue;
            }
            let pool = LeafPool::new(
                *id,
                leaf.address,
                self.connections_per_leaf,
                self.run.clone(),
                Limits::default(),
                self.messages.clone(),
            );
            self.pools.insert(*id, pool);
        }
    }

    fn advance(&mut self, event: Event, effects: &mut Vec<Effect>) {
        self.dispatcher.handle(self.clock.now(), event, effects);
        for effect in effects.drain(..) {
            match effect {
                Effect::Answer { query, outcome } => self.answer(query, outcome),
                Effect::Send { sending, time_left } => self.send(sending, time_left),
                Effect::Cancel { request, leaf } => {
                    if let Some(pool) = self.pools.get_mut(&leaf) {
                        pool.submit(LeafWork::Cancel(request), &mut self.next_connection);
                    }
                }
            }
        }
    }

    fn answer(&mut self, query: QueryId, outcome: QueryOutcome) {
        if let Some(caller) = self.callers.remove(&query)
            && caller.reply.send(outcome).is_ok()
        {
            self.undelivered += 1;
        }
    }

    fn send(&mut self, sending: Sending, time_left: Duration) {
        let caller = self.callers.get(&sending.request.query);
        let (Some(caller), Some(pool)) = (caller, self.pools.get_mut(&sending.leaf)) else {
            self.fail_unsent(sending.request);
            return;
        };
        let work = LeafWork::Send(WireRequest {
            request: sending.request,
            snapshot: sending.snapshot,
            time_left,
            context: caller.context.clone(),
        });
        pool.submit(work, &mut self.next_connection);
    }

    /// Reports a request that has nowhere to go; through the queue, so that events stay in order.
    fn fail_unsent(&self, request: LeafRequestId) {
        let completion = LeafCompletion::Failed(LeafFailure::NotSent);
        let message = LeafMessage::Completed { request, completion, draining: None };
        // This task holds the receiver.
        let _ = self.messages.send(EngineMessage::Leaf(message));
    }
}
