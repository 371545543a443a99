//! The dispatcher: drives all queries of one broker from submission to outcome.

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
use intake::AttachedResend;
use scatter::ServiceView;

pub use effect::Effect;
pub use event::{Event, LeafCompletion};
pub use settings::{DispatcherSettings, SchedulingPolicy};

/// Priority of all queries under the baseline policy.
const BASELINE_PRIORITY: u8 = 0;
/// Retry delay of refusals that are not derived from a drain rate.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// State machine for all queries of one broker.
pub struct Dispatcher {
    catalog: Arc<Catalog>,
    settings: DispatcherSettings,
    admissions: BTreeMap<ServiceName, Admission>,
    views: BTreeMap<ServiceName, ServiceView>,
    router: Router,
    queries: BTreeMap<QueryId, ActiveQuery>,
    attached_resends: BTreeMap<QueryId, AttachedResend>,
    timers: BTreeSet<(Timestamp, QueryId)>,
    budgets: Budgets,
    charges: ChargeCounters,
    keys: RequestKeys,
    stopping: bool,
    /// End of the freshness lease; `None` until the first lease is reported, which means no limit.
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
            attached_resends: BTreeMap::new(),
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

    /// Number of queued and running queries and of resends that wait for an outcome.
    pub fn active(&self) -> usize {
        self.queries.len() + self.attached_resends.len()
    }

    /// Whether the query is queued or running, even if its caller has disconnected.
    pub fn is_active(&self, query: QueryId) -> bool {
        self.queries.contains_key(&query)
    }

    /// Issues a request key to a caller.
    ///
    /// # Errors
    /// A [`Refusal`] when the broker takes no queries (stopping, drained, stale configuration),
    /// the caller has no account, or the key table is full.
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

    /// Charges for answered requests since this broker run started.
    pub fn charges(&self) -> &ChargeCounters {
        &self.charges
    }

    /// Number of outlier ejections since the dispatcher was created.
    pub fn ejections(&self) -> u64 {
        self.router.ejections()
    }

    /// Overload report of each service, ordered by name.
    pub fn overload(&self) -> Vec<OverloadReport> {
        let report = |(name, admission): (&ServiceName, &Admission)| admission.report(name.clone());
        self.admissions.iter().map(report).collect()
    }

    /// Time at which the driver has to send the next [`Event::TimerElapsed`].
    pub fn next_timer(&self) -> Option<Timestamp> {
        let query = self.timers.first().map(|(due, _)| *due);
        [query, self.router.next_probe_round()].into_iter().flatten().min()
    }

    /// Handles one event and appends the resulting actions to `effects`.
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

    /// Reason for which every new query is refused now, if any.
    fn refusal(&self, now: Timestamp) -> Option<RefusalReason> {
        let wanted = self.catalog.broker_state(&self.settings.name);
        if self.stopping || wanted != MemberState::Active {
            return Some(RefusalReason::Stopping);
        }
        self.is_stale(now).then_some(RefusalReason::ConfigurationStale)
    }

    /// Whether the freshness lease has expired, so that the configuration may be outdated.
    fn is_stale(&self, now: Timestamp) -> bool {
        self.fresh_until.is_some_and(|until| until <= now)
    }

    fn apply_decisions(
        &mut self,
        now: Timestamp,
        decisions: Vec<Decision>,
        effects: &mut Vec<Effect>,
    ) {
        for decision in decisions {
            match decision {
                Decision::Start(query) => self.start(now, query, effects),
                Decision::Refuse { query, reason, retry_after } => {
                    let Some(active) = self.remove_query(query) else {
                        continue;
                    };
                    let outcome = QueryOutcome::NotRun { reason, retry_after };
                    self.deliver_outcome(now, &active, outcome, effects);
                }
            }
        }
    }

    /// Ends an admitted query: delivers the outcome, then releases its slot.
    fn end(
        &mut self,
        now: Timestamp,
        query: QueryId,
        outcome: QueryOutcome,
        effects: &mut Vec<Effect>,
    ) {
        let Some(active) = self.remove_query(query) else {
            return;
        };
        let answered = matches!(outcome, QueryOutcome::Answered(_));
        self.deliver_outcome(now, &active, outcome, effects);
        self.release(now, &active, answered, effects);
    }

    /// Releases the slot of a query: cancels its requests in flight and starts queued queries.
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
            self.cancel_requests(now, late, &execution.in_flight(), effects);
        }
        let mut decisions = Vec::new();
        if let Some(admission) = self.admissions.get_mut(service) {
            admission.finished(now, active.finished(now, answered), &mut decisions);
        }
        self.apply_decisions(now, decisions, effects);
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
            self.resend_timed_out(query, effects);
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
        self.apply_decisions(now, decisions, effects);
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
        self.apply_decisions(now, decisions, effects);
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
                SchedulingPolicy::Baseline => baseline_limit(service),
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
        self.apply_decisions(now, decisions, effects);
    }

    /// Priority used for admission; the baseline policy has no classes.
    fn scheduled_priority(&self, priority: u8) -> u8 {
        match self.settings.policy {
            SchedulingPolicy::Standard => priority,
            SchedulingPolicy::Baseline => BASELINE_PRIORITY,
        }
    }

    fn remove_query(&mut self, query: QueryId) -> Option<ActiveQuery> {
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

/// One queue for all classes, with the sum of their queue limits.
fn baseline_limit(service: &Service) -> Vec<ClassLimit> {
    let queue_limit = service.classes().iter().map(|class| class.queue_limit).sum();
    vec![ClassLimit { priority: BASELINE_PRIORITY, queue_limit }]
}

fn published(service: &Service) -> Vec<(Snapshot, usize)> {
    let shards =
        |snapshot: &Snapshot| service.partition(snapshot.epoch).map(|map| map.shards.len());
    let retained = service.published_snapshots().iter();
    retained.filter_map(|snapshot| Some((*snapshot, shards(snapshot)?))).collect()
}
