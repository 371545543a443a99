//! The dispatcher: all queries of one broker, from submission to outcome.

mod active;
mod effect;
mod event;
mod intake;
mod scatter;
mod settings;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use rand_core::RngCore;

use crate::admission::{Admission, ClassLimit, Decision, OverloadReport, Refusal, RefusalReason};
use crate::budget::Budgets;
use crate::catalog::{Catalog, MemberState, Service};
use crate::identifiers::{CallerName, LeafId, QueryId, ServiceName, Snapshot};
use crate::metering::ChargeCounters;
use crate::query::QueryOutcome;
use crate::request_key::{RequestKey, RequestKeys};
use crate::routing::Router;
use crate::time::Timestamp;
use active::ActiveQuery;
use intake::Follower;
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
    followers: BTreeMap<QueryId, Follower>,
    timers: BTreeSet<(Timestamp, QueryId)>,
    budgets: Budgets,
    charges: ChargeCounters,
    keys: RequestKeys,
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
            keys: RequestKeys::new(settings.name.clone(), settings.run, settings.keys),
            settings,
            queries: BTreeMap::new(),
            followers: BTreeMap::new(),
            timers: BTreeSet::new(),
            budgets: Budgets::default(),
            charges: ChargeCounters::default(),
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

    /// Queries that wait or run, and resent requests that wait for their outcome.
    pub fn active(&self) -> usize {
        self.queries.len() + self.followers.len()
    }

    /// Whether the query waits or runs, also when its caller has hung up.
    pub fn is_active(&self, query: QueryId) -> bool {
        self.queries.contains_key(&query)
    }

    /// Issues a request key to a caller.
    ///
    /// # Errors
    /// A [`Refusal`] when the broker stops, the caller has no account, or as many keys are known
    /// as may be.
    pub fn issue_key(&mut self, now: Timestamp, caller: CallerName) -> Result<RequestKey, Refusal> {
        let refuse = |reason| Refusal { reason, retry_after: DEFAULT_RETRY_AFTER };
        if let Some(reason) = self.refusal(now) {
            return Err(refuse(reason));
        }
        if !self.catalog.callers().contains_key(&caller) {
            return Err(refuse(RefusalReason::UnknownCaller));
        }
        self.keys.issue(now, caller).map_err(|exhausted| Refusal {
            reason: RefusalReason::KeysExhausted,
            retry_after: exhausted.retry_after,
        })
    }

    /// What answered requests cost, as counters of this run.
    pub fn charges(&self) -> &ChargeCounters {
        &self.charges
    }

    /// How often a replica was left out so far.
    pub fn ejections(&self) -> u64 {
        self.router.ejections()
    }

    /// Load and refusals of each service, by name.
    pub fn overload(&self) -> Vec<OverloadReport> {
        let report = |(name, admission): (&ServiceName, &Admission)| admission.report(name.clone());
        self.admissions.iter().map(report).collect()
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
            Event::BrokersChanged(brokers) => self.router.update_brokers(brokers, &self.catalog),
            Event::PlatformLeaving(leaves) => self.router.set_platform_draining(now, &leaves),
            Event::ThresholdChanged { service, lowest_admitted } => {
                self.threshold_changed(now, &service, lowest_admitted, effects)
            }
            Event::StopRequested => self.stopping = true,
        }
    }

    /// Why no query at all is taken now, if so.
    fn refusal(&self, now: Timestamp) -> Option<RefusalReason> {
        let wanted = self.catalog.broker_state(&self.settings.name);
        if self.stopping || wanted != MemberState::Active {
            return Some(RefusalReason::Stopping);
        }
        self.is_stale(now).then_some(RefusalReason::ConfigurationStale)
    }

    /// Whether the configuration in force may not be the accepted one any more.
    fn is_stale(&self, now: Timestamp) -> bool {
        self.fresh_until.is_some_and(|until| until <= now)
    }

    fn carry_out(&mut self, now: Timestamp, decisions: Vec<Decision>, effects: &mut Vec<Effect>) {
        for decision in decisions {
            match decision {
                Decision::Start(query) => self.start(now, query, effects),
                Decision::Refuse { query, reason, retry_after } => {
                    let Some(active) = self.forget(query) else {
                        continue;
                    };
                    let outcome = QueryOutcome::NotRun { reason, retry_after };
                    self.conclude(now, &active, outcome, effects);
                }
            }
        }
    }

    /// Ends a query that was started: answers it, cancels what is in flight and starts what waits.
    fn end(
        &mut self,
        now: Timestamp,
        query: QueryId,
        outcome: QueryOutcome,
        effects: &mut Vec<Effect>,
    ) {
        let Some(active) = self.forget(query) else {
            return;
        };
        let answered = matches!(outcome, QueryOutcome::Answered(_));
        self.conclude(now, &active, outcome, effects);
        self.release(now, &active, answered, effects);
    }

    /// Gives the slot of a query back: cancels what is in flight and starts what waits.
    fn release(
        &mut self,
        now: Timestamp,
        active: &ActiveQuery,
        answered: bool,
        effects: &mut Vec<Effect>,
    ) {
        let service = &active.submission.service;
        if let Some(execution) = &active.execution {
            let late = self.views.get(service).and_then(|view| view.tail.late_after());
            self.cancel_owed(now, late, &execution.in_flight(), effects);
        }
        let mut decisions = Vec::new();
        if let Some(admission) = self.admissions.get_mut(service) {
            admission.finished(now, active.finished(now, answered), &mut decisions);
        }
        self.carry_out(now, decisions, effects);
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
            self.follower_timed_out(query, effects);
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
        let ticket = active.ticket();
        let mut decisions = Vec::new();
        if let Some(admission) = self.admissions.get_mut(&active.submission.service) {
            admission.expire(ticket, &mut decisions);
        }
        self.carry_out(now, decisions, effects);
    }

    fn threshold_changed(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        lowest_admitted: u8,
        effects: &mut Vec<Effect>,
    ) {
        let mut decisions = Vec::new();
        if let Some(admission) = self.admissions.get_mut(service) {
            admission.set_threshold(lowest_admitted, &mut decisions);
        }
        self.carry_out(now, decisions, effects);
    }

    fn reconfigure(&mut self, now: Timestamp, catalog: Arc<Catalog>, effects: &mut Vec<Effect>) {
        if catalog.revision() < self.catalog.revision() {
            return;
        }
        self.catalog = catalog;
        self.router.reconfigure(now, &self.catalog);
        self.budgets.reconfigure(now, self.catalog.callers());
        let mut decisions = Vec::new();
        for (name, service) in self.catalog.services() {
            let tail = self.settings.tail_settings();
            let view = self.views.entry(name.clone()).or_insert_with(|| ServiceView::new(tail));
            view.snapshots.publish(published(service));
            let limits = match self.settings.policy {
                SchedulingPolicy::Standard => class_limits(service),
                SchedulingPolicy::Baseline => common_limit(service),
            };
            match self.admissions.get_mut(name) {
                Some(admission) => {
                    admission.reconfigure(now, service.concurrency, limits, &mut decisions)
                }
                None => {
                    let admission = Admission::new(service.concurrency, limits);
                    self.admissions.insert(name.clone(), admission);
                }
            }
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
