//! The dispatcher: all queries of one broker, from submission to outcome.

mod active;
mod effect;
mod event;
mod scatter;
mod settings;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use rand_core::RngCore;

use crate::admission::{Admission, ClassLimit, Decision, RefusalReason, Ticket};
use crate::catalog::{Catalog, MemberState, Service};
use crate::identifiers::{LeafId, QueryId, ServiceName, Snapshot};
use crate::query::{QueryOutcome, Submission};
use crate::routing::Router;
use crate::time::Timestamp;
use active::ActiveQuery;
use scatter::ServiceView;

pub use effect::Effect;
pub use event::{Event, LeafCompletion};
pub use settings::{DispatcherSettings, SchedulingPolicy};

/// Priority that all queries have under the baseline policy.
const COMMON_PRIORITY: u8 = 0;
/// Advice to callers when there is no measured rate to derive it from.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// All queries of one broker.
pub struct Dispatcher {
    catalog: Arc<Catalog>,
    settings: DispatcherSettings,
    admissions: BTreeMap<ServiceName, Admission>,
    views: BTreeMap<ServiceName, ServiceView>,
    router: Router,
    queries: BTreeMap<QueryId, ActiveQuery>,
    timers: BTreeSet<(Timestamp, QueryId)>,
    stopping: bool,
    /// None while no freshness lease is asked for.
    fresh_until: Option<Timestamp>,
    random: Box<dyn RngCore + Send>,
}

impl Dispatcher {
    /// A dispatcher with an empty catalog; `random` drives the choice of replicas.
    pub fn new(settings: DispatcherSettings, random: Box<dyn RngCore + Send>) -> Self {
        Self {
            catalog: Arc::default(),
            admissions: BTreeMap::new(),
            views: BTreeMap::new(),
            router: Router::new(settings.entry(), settings.routing_policy()),
            settings,
            queries: BTreeMap::new(),
            timers: BTreeSet::new(),
            stopping: false,
            fresh_until: None,
            random,
        }
    }

    /// The catalog in force.
    pub fn catalog(&self) -> &Arc<Catalog> {
        &self.catalog
    }

    /// Connections that this broker may open to a leaf.
    pub fn connection_limit(&self, leaf: LeafId) -> usize {
        self.router.connection_limit(leaf)
    }

    /// Queries that wait or run.
    pub fn active(&self) -> usize {
        self.queries.len()
    }

    /// When [`Event::TimerElapsed`] is due next.
    pub fn next_timer(&self) -> Option<Timestamp> {
        let query = self.timers.first().map(|(due, _)| *due);
        [query, self.router.next_probe_round()].into_iter().flatten().min()
    }

    /// Handles one event and appends what has to be done to `effects`.
    pub fn handle(&mut self, now: Timestamp, event: Event, effects: &mut Vec<Effect>) {
        match event {
            Event::Submitted(submission) => self.submit(now, submission, effects),
            Event::CallerGone(query) => self.abandon(now, query, effects),
            Event::LeafCompleted { leaf, request, completion, draining } => {
                self.leaf_completed(now, leaf, request, completion, draining, effects)
            }
            Event::ProbeAnswered { leaf, draining } => {
                self.router.probe_answered(now, leaf, draining)
            }
            Event::TimerElapsed => {
                self.run_timers(now, effects);
                let due = self.router.due_probes(now).into_iter();
                effects.extend(due.map(|leaf| Effect::Probe { leaf }));
            }
            Event::CatalogChanged(catalog) => self.reconfigure(now, catalog, effects),
            Event::FreshUntil(until) => self.fresh_until = Some(until),
            Event::BrokersChanged(brokers) => self.router.brokers_changed(brokers, &self.catalog),
            Event::PlatformLeaving(leaves) => self.router.platform_leaving(now, &leaves),
            Event::StopRequested => self.stopping = true,
        }
    }

    fn submit(&mut self, now: Timestamp, submission: Submission, effects: &mut Vec<Effect>) {
        let query = submission.query;
        let policy = self.catalog.class(&submission.service, &submission.class).cloned();
        let refusal = self.refusal(now);
        let (Some(policy), None) = (policy, refusal) else {
            let reason = refusal.unwrap_or(RefusalReason::NotServed);
            let outcome = QueryOutcome::NotRun { reason, retry_after: DEFAULT_RETRY_AFTER };
            effects.push(Effect::Answer { query, outcome });
            return;
        };
        let priority = self.scheduled_priority(policy.priority);
        let ticket = Ticket { query, priority, deadline: submission.deadline };
        let service = submission.service.clone();
        self.timers.insert((submission.deadline, query));
        let active =
            ActiveQuery { submission, policy, arrived: now, execution: None, hedge_at: None };
        self.queries.insert(query, active);
        let mut decisions = Vec::new();
        if let Some(admission) = self.admissions.get_mut(&service) {
            admission.offer(now, ticket, &mut decisions);
        }
        self.carry_out(now, decisions, effects);
    }

    /// Why no query at all is taken now, if so.
    fn refusal(&self, now: Timestamp) -> Option<RefusalReason> {
        let wanted = self.catalog.broker_state(&self.settings.name);
        if self.stopping || wanted != MemberState::Active {
            return Some(RefusalReason::Stopping);
        }
        let stale = self.fresh_until.is_some_and(|until| until <= now);
        stale.then_some(RefusalReason::ConfigurationStale)
    }

    fn carry_out(&mut self, now: Timestamp, decisions: Vec<Decision>, effects: &mut Vec<Effect>) {
        for decision in decisions {
            match decision {
                Decision::Start(query) => self.start(now, query, effects),
                Decision::Refuse { query, reason, retry_after } => {
                    self.forget(query);
                    let outcome = QueryOutcome::NotRun { reason, retry_after };
                    effects.push(Effect::Answer { query, outcome });
                }
            }
        }
    }

    /// Ends a query that was started: cancels what is in flight and starts what waits.
    fn end(
        &mut self,
        now: Timestamp,
        query: QueryId,
        outcome: QueryOutcome,
        effects: &mut Vec<Effect>,
    ) {
        effects.push(Effect::Answer { query, outcome });
        self.release(now, query, effects);
    }

    fn release(&mut self, now: Timestamp, query: QueryId, effects: &mut Vec<Effect>) {
        let Some(active) = self.forget(query) else {
            return;
        };
        if let Some(execution) = &active.execution {
            let view = self.views.get(&active.submission.service);
            let late = view.and_then(|view| view.tail.late_after());
            self.cancel_owed(now, late, &execution.in_flight(), effects);
        }
        let mut decisions = Vec::new();
        if let Some(admission) = self.admissions.get_mut(&active.submission.service) {
            admission.finished(now, &mut decisions);
        }
        self.carry_out(now, decisions, effects);
    }

    /// The caller hung up: nothing is answered, what runs is cancelled.
    fn abandon(&mut self, now: Timestamp, query: QueryId, effects: &mut Vec<Effect>) {
        let Some(active) = self.queries.get(&query) else {
            return;
        };
        if active.execution.is_some() {
            self.release(now, query, effects);
            return;
        }
        if let Some(admission) = self.admissions.get_mut(&active.submission.service) {
            admission.withdraw(query);
        }
        self.forget(query);
    }

    fn run_timers(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        while let Some((due, query)) = self.timers.first().copied() {
            if due > now {
                return;
            }
            self.timers.pop_first();
            self.time_out(now, query, effects);
        }
    }

    fn time_out(&mut self, now: Timestamp, query: QueryId, effects: &mut Vec<Effect>) {
        let Some(active) = self.queries.get(&query) else {
            return;
        };
        if active.execution.is_some() {
            if active.is_due(now) {
                self.finish(now, query, effects);
            } else if active.hedge_at.is_some_and(|due| due <= now) {
                self.hedge(now, query, effects);
            }
            return;
        }
        let priority = active.policy.priority;
        let service = active.submission.service.clone();
        let Some(admission) = self.admissions.get_mut(&service) else {
            return;
        };
        admission.withdraw(query);
        let reason = RefusalReason::DeadlineTooClose;
        let retry_after = admission.retry_after(priority);
        self.carry_out(now, vec![Decision::Refuse { query, reason, retry_after }], effects);
    }

    fn reconfigure(&mut self, now: Timestamp, catalog: Arc<Catalog>, effects: &mut Vec<Effect>) {
        if catalog.revision() < self.catalog.revision() {
            return;
        }
        self.catalog = catalog;
        self.router.reconfigure(now, &self.catalog);
        for (name, service) in self.catalog.services() {
            let tail = self.settings.tail_settings();
            let view = self.views.entry(name.clone()).or_insert_with(|| ServiceView::new(tail));
            view.snapshots.publish(published(service));
            let limits = match self.settings.policy {
                SchedulingPolicy::Standard => class_limits(service),
                SchedulingPolicy::Baseline => common_limit(service),
            };
            match self.admissions.get_mut(name) {
                Some(admission) => admission.reconfigure(service.concurrency, limits),
                None => {
                    let admission = Admission::new(service.concurrency, limits);
                    self.admissions.insert(name.clone(), admission);
                }
            }
        }
        let mut decisions = Vec::new();
        for admission in self.admissions.values_mut() {
            admission.start_waiting(now, &mut decisions);
        }
        self.carry_out(now, decisions, effects);
    }

    /// The priority of a class as admission sees it: the baseline knows no classes.
    fn scheduled_priority(&self, priority: u8) -> u8 {
        match self.settings.policy {
            SchedulingPolicy::Standard => priority,
            SchedulingPolicy::Baseline => COMMON_PRIORITY,
        }
    }

    fn forget(&mut self, query: QueryId) -> Option<ActiveQuery> {
        let active = self.queries.remove(&query)?;
        self.timers.remove(&(active.submission.deadline, query));
        self.timers.remove(&(active.answer_by(), query));
        if let Some(due) = active.hedge_at {
            self.timers.remove(&(due, query));
        }
        Some(active)
    }
}

fn class_limits(service: &Service) -> Vec<ClassLimit> {
    service
        .classes()
        .iter()
        .map(|class| ClassLimit { priority: class.priority, queue_limit: class.queue_limit })
        .collect()
}

/// One queue for all classes, as long as theirs together.
fn common_limit(service: &Service) -> Vec<ClassLimit> {
    let queue_limit = service.classes().iter().map(|class| class.queue_limit).sum();
    vec![ClassLimit { priority: COMMON_PRIORITY, queue_limit }]
}

fn published(service: &Service) -> Vec<(Snapshot, usize)> {
    let shards =
        |snapshot: &Snapshot| service.partition(snapshot.epoch).map(|map| map.shards.len());
    let retained = service.published_snapshots().iter();
    retained.filter_map(|snapshot| Some((*snapshot, shards(snapshot)?))).collect()
}
