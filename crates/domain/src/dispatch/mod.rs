//! The dispatcher: all queries of one broker, from submission to outcome.

mod effect;
mod event;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use rand_core::RngCore;

use crate::admission::{Admission, ClassLimit, Decision, RefusalReason, Ticket};
use crate::catalog::{AnswerPolicy, Catalog, ClassPolicy, PartitionMap, Service};
use crate::identifiers::{LeafRequestId, QueryId, ServiceName, ShardId, Snapshot};
use crate::query::{
    Execution, LeafFailure, LeafReply, NotRunReason, Progress, QueryOutcome, Submission,
};
use crate::routing::{Observation, Router};
use crate::time::Timestamp;

pub use effect::Effect;
pub use event::{Event, LeafCompletion};

/// Advice to callers when there is no measured rate to derive it from.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

struct ActiveQuery {
    submission: Submission,
    policy: ClassPolicy,
    arrived: Timestamp,
    execution: Option<Execution>,
}

impl ActiveQuery {
    /// When the query is answered at the latest, while it runs.
    fn answer_by(&self) -> Timestamp {
        match self.policy.answer_policy {
            AnswerPolicy::Full => self.submission.deadline,
            AnswerPolicy::Partial { soft_deadline } => {
                self.arrived.after(soft_deadline).min(self.submission.deadline)
            }
        }
    }
}

/// All queries of one broker.
pub struct Dispatcher {
    catalog: Arc<Catalog>,
    admissions: BTreeMap<ServiceName, Admission>,
    router: Router,
    queries: BTreeMap<QueryId, ActiveQuery>,
    timers: BTreeSet<(Timestamp, QueryId)>,
    stopping: bool,
    random: Box<dyn RngCore + Send>,
}

impl Dispatcher {
    /// A dispatcher with an empty catalog; `random` drives the choice of replicas.
    pub fn new(random: Box<dyn RngCore + Send>) -> Self {
        Self {
            catalog: Arc::default(),
            admissions: BTreeMap::new(),
            router: Router::default(),
            queries: BTreeMap::new(),
            timers: BTreeSet::new(),
            stopping: false,
            random,
        }
    }

    /// The catalog in force.
    pub fn catalog(&self) -> &Arc<Catalog> {
        &self.catalog
    }

    /// Queries that wait or run.
    pub fn active(&self) -> usize {
        self.queries.len()
    }

    /// When [`Event::TimerElapsed`] is due next.
    pub fn next_timer(&self) -> Option<Timestamp> {
        self.timers.first().map(|(due, _)| *due)
    }

    /// Handles one event and appends what has to be done to `effects`.
    pub fn handle(&mut self, now: Timestamp, event: Event, effects: &mut Vec<Effect>) {
        match event {
            Event::Submitted(submission) => self.submit(now, submission, effects),
            Event::CallerGone(query) => self.abandon(now, query, effects),
            Event::LeafCompleted { request, completion, draining } => {
                self.leaf_completed(now, request, completion, draining, effects)
            }
            Event::TimerElapsed => self.run_timers(now, effects),
            Event::CatalogChanged(catalog) => self.reconfigure(now, catalog, effects),
            Event::StopRequested => self.stopping = true,
        }
    }

    fn submit(&mut self, now: Timestamp, submission: Submission, effects: &mut Vec<Effect>) {
        let query = submission.query;
        let policy = self.catalog.class(&submission.service, &submission.class).cloned();
        let (Some(policy), false) = (policy, self.stopping) else {
            let reason =
                if self.stopping { RefusalReason::Stopping } else { RefusalReason::NotServed };
            let outcome = QueryOutcome::NotRun { reason, retry_after: DEFAULT_RETRY_AFTER };
            effects.push(Effect::Answer { query, outcome });
            return;
        };
        let ticket = Ticket { query, priority: policy.priority, deadline: submission.deadline };
        let service = submission.service.clone();
        self.timers.insert((submission.deadline, query));
        let active = ActiveQuery { submission, policy, arrived: now, execution: None };
        self.queries.insert(query, active);
        let mut decisions = Vec::new();
        if let Some(admission) = self.admissions.get_mut(&service) {
            admission.offer(now, ticket, &mut decisions);
        }
        self.carry_out(now, decisions, effects);
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

    fn start(&mut self, now: Timestamp, query: QueryId, effects: &mut Vec<Effect>) {
        let Some(active) = self.queries.get_mut(&query) else {
            return;
        };
        self.timers.insert((active.answer_by(), query));
        let Some((snapshot, map)) = published(&self.catalog, &active.submission.service) else {
            let outcome = QueryOutcome::NotRun {
                reason: RefusalReason::NotServed,
                retry_after: DEFAULT_RETRY_AFTER,
            };
            self.end(now, query, outcome, effects);
            return;
        };
        let execution = Execution::new(query, snapshot, map, active.submission.repeatable);
        active.execution = Some(execution);
        self.scatter(now, query, effects);
    }

    fn scatter(&mut self, now: Timestamp, query: QueryId, effects: &mut Vec<Effect>) {
        let Some(execution) = self.execution(query) else {
            return;
        };
        let mut progress = Progress::Waiting;
        for shard in execution.shard_ids() {
            progress = self.attempt(now, query, shard, effects);
        }
        self.follow(now, query, progress, effects);
    }

    /// Sends one more request for the shard, or gives the shard up.
    fn attempt(
        &mut self,
        now: Timestamp,
        query: QueryId,
        shard: ShardId,
        effects: &mut Vec<Effect>,
    ) -> Progress {
        let Some(active) = self.queries.get_mut(&query) else {
            return Progress::Waiting;
        };
        let deadline = active.submission.deadline;
        let Some(execution) = active.execution.as_mut() else {
            return Progress::Waiting;
        };
        let leaf = if execution.may_attempt(shard) {
            let tried = execution.tried(shard);
            self.router.choose(execution.replicas(shard), &tried, self.random.as_mut())
        } else {
            None
        };
        let Some(sending) = leaf.and_then(|leaf| execution.send(now, shard, leaf)) else {
            return execution.give_up(shard);
        };
        self.router.sent(sending.leaf);
        effects.push(Effect::Send { sending, time_left: deadline.since(now) });
        Progress::Waiting
    }

    fn leaf_completed(
        &mut self,
        now: Timestamp,
        request: LeafRequestId,
        completion: LeafCompletion,
        draining: Option<bool>,
        effects: &mut Vec<Effect>,
    ) {
        let Some(execution) = self.execution(request.query) else {
            return;
        };
        let Some(attempt) = execution.attempt_in_flight(request) else {
            return;
        };
        let observation = observe(&completion, now.since(attempt.sent));
        let progress = match completion {
            LeafCompletion::Replied(reply) => execution.replied(request, reply),
            LeafCompletion::Failed(failure) => execution.failed(request, failure),
        };
        self.router.ended(now, attempt.leaf, observation);
        if let Some(draining) = draining {
            self.router.mark_draining(attempt.leaf, draining);
        }
        self.follow(now, request.query, progress, effects);
    }

    fn follow(
        &mut self,
        now: Timestamp,
        query: QueryId,
        progress: Progress,
        effects: &mut Vec<Effect>,
    ) {
        match progress {
            Progress::Waiting => {}
            Progress::Complete => self.finish(now, query, effects),
            Progress::Retry(shard) => {
                let next = self.attempt(now, query, shard, effects);
                if next == Progress::Complete {
                    self.finish(now, query, effects);
                }
            }
            Progress::SnapshotLost(shard) => self.snapshot_lost(now, query, shard, effects),
        }
    }

    /// A replica no longer holds the pinned snapshot: start over on the published one if it
    /// differs and the query is repeatable, else try another replica.
    fn snapshot_lost(
        &mut self,
        now: Timestamp,
        query: QueryId,
        shard: ShardId,
        effects: &mut Vec<Effect>,
    ) {
        let Some(active) = self.queries.get_mut(&query) else {
            return;
        };
        let newer = published(&self.catalog, &active.submission.service);
        let Some(execution) = active.execution.as_mut() else {
            return;
        };
        match newer {
            Some((snapshot, map)) if snapshot > execution.snapshot() && execution.may_restart() => {
                let owed = execution.in_flight();
                execution.restart(snapshot, map);
                self.cancel(now, owed, effects);
                self.scatter(now, query, effects);
            }
            _ => {
                let progress = self.attempt(now, query, shard, effects);
                if progress == Progress::Complete {
                    self.finish(now, query, effects);
                }
            }
        }
    }

    fn finish(&mut self, now: Timestamp, query: QueryId, effects: &mut Vec<Effect>) {
        let Some(active) = self.queries.get(&query) else {
            return;
        };
        let Some(execution) = active.execution.as_ref() else {
            return;
        };
        let retry_after = self
            .admissions
            .get(&active.submission.service)
            .map_or(DEFAULT_RETRY_AFTER, |admission| admission.retry_after(active.policy.priority));
        let outcome = execution.finish(active.policy.price, retry_after);
        self.end(now, query, outcome, effects);
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
            self.cancel(now, execution.in_flight(), effects);
        }
        let mut decisions = Vec::new();
        if let Some(admission) = self.admissions.get_mut(&active.submission.service) {
            admission.finished(now, &mut decisions);
        }
        self.carry_out(now, decisions, effects);
    }

    fn cancel(
        &mut self,
        now: Timestamp,
        owed: Vec<crate::query::Sending>,
        effects: &mut Vec<Effect>,
    ) {
        for sending in owed {
            self.router.ended(now, sending.leaf, Observation::Cancelled);
            effects.push(Effect::Cancel { request: sending.request, leaf: sending.leaf });
        }
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
            if active.answer_by() <= now {
                self.finish(now, query, effects);
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
        self.router.reconfigure(&self.catalog);
        for (name, service) in self.catalog.services() {
            let limits = class_limits(service);
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

    fn execution(&mut self, query: QueryId) -> Option<&mut Execution> {
        self.queries.get_mut(&query)?.execution.as_mut()
    }

    fn forget(&mut self, query: QueryId) -> Option<ActiveQuery> {
        let active = self.queries.remove(&query)?;
        self.timers.remove(&(active.submission.deadline, query));
        self.timers.remove(&(active.answer_by(), query));
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

fn published<'catalog>(
    catalog: &'catalog Catalog,
    service: &ServiceName,
) -> Option<(Snapshot, &'catalog PartitionMap)> {
    let service = catalog.services().get(service)?;
    let snapshot = service.published()?;
    Some((snapshot, service.partition(snapshot.epoch)?))
}

fn observe(completion: &LeafCompletion, latency: Duration) -> Observation {
    match completion {
        LeafCompletion::Replied(LeafReply::Result { .. }) => Observation::Answered(latency),
        LeafCompletion::Replied(LeafReply::NotRun(NotRunReason::Cancelled)) => {
            Observation::Cancelled
        }
        LeafCompletion::Replied(LeafReply::NotRun(_)) => Observation::Refused,
        LeafCompletion::Failed(
            LeafFailure::NotSent | LeafFailure::Broken | LeafFailure::LeafError,
        ) => Observation::Failed,
    }
}
