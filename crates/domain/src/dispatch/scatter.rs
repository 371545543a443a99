//! Execution of one query on the leaves: scatter, retry, hedge, restart, gather.

use std::sync::Arc;
use std::time::Duration;

use super::{DEFAULT_RETRY_AFTER, Dispatcher, Effect, LeafCompletion};
use crate::admission::RefusalReason;
use crate::identifiers::{LeafId, LeafRequestId, QueryId, ServiceName, ShardId, Snapshot};
use crate::query::{
    Attempt, AttemptKind, Execution, InFlightRequest, LeafFailure, LeafReply, NotRunReason,
    Progress, QueryOutcome, SnapshotDirectory,
};
use crate::routing::{Exclusions, Observation, ShardTable};
use crate::tail::{TailControl, TailSettings};
use crate::time::Timestamp;

/// Per-service latency, retry and hedge budgets, and snapshot availability on the leaves.
#[derive(Debug)]
pub(super) struct ServiceView {
    pub(super) tail: TailControl,
    pub(super) snapshots: SnapshotDirectory,
}

impl ServiceView {
    pub(super) fn new(settings: TailSettings) -> Self {
        Self { tail: TailControl::new(settings), snapshots: SnapshotDirectory::default() }
    }
}

impl Dispatcher {
    /// Starts an admitted query on the newest usable snapshot.
    pub(super) fn start(&mut self, now: Timestamp, query: QueryId, effects: &mut Vec<Effect>) {
        let Some(active) = self.queries.get_mut(&query) else {
            return;
        };
        active.started = Some(now);
        self.timers.insert((active.answer_by(), query));
        let repeatable = active.submission.repeatable;
        let service = active.submission.service.clone();
        let snapshot =
            self.views.get(&service).and_then(|view| view.snapshots.choose(now, repeatable));
        let target = snapshot.and_then(|snapshot| self.target(&service, snapshot));
        // The freshness lease may have expired while the query was queued.
        if self.is_stale(now) {
            return self.refuse_started(now, query, RefusalReason::ConfigurationStale, effects);
        }
        let Some((snapshot, table)) = target else {
            return self.refuse_started(now, query, RefusalReason::NotServed, effects);
        };
        if let Some(active) = self.queries.get_mut(&query) {
            active.execution = Some(Execution::new(query, snapshot, table, repeatable));
        }
        self.scatter(now, query, effects);
    }

    /// Refuses an admitted query of which no request was sent.
    fn refuse_started(
        &mut self,
        now: Timestamp,
        query: QueryId,
        reason: RefusalReason,
        effects: &mut Vec<Effect>,
    ) {
        let outcome = QueryOutcome::NotRun { reason, retry_after: DEFAULT_RETRY_AFTER };
        self.end(now, query, outcome, effects);
    }

    fn target(
        &self,
        service: &ServiceName,
        snapshot: Snapshot,
    ) -> Option<(Snapshot, Arc<ShardTable>)> {
        Some((snapshot, self.router.table(service, snapshot.epoch)?))
    }

    fn scatter(&mut self, now: Timestamp, query: QueryId, effects: &mut Vec<Effect>) {
        let Some(execution) = self.execution(query) else {
            return;
        };
        let table = execution.table().clone();
        let mut progress = Progress::Waiting;
        for route in &table.shards {
            progress = self.attempt(now, query, route.shard, effects);
        }
        self.arm_hedge(now, query);
        self.handle_progress(now, query, progress, effects);
    }

    /// Sends one more request for the shard, or gives the shard up when no leaf or budget is left.
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
        let (Some(execution), Some(view)) =
            (active.execution.as_mut(), self.views.get_mut(&active.submission.service))
        else {
            return Progress::Waiting;
        };
        let kind = execution.next_attempt(shard).filter(|kind| take_budget(*kind, &mut view.tail));
        let Some(kind) = kind else {
            return execution.give_up(shard);
        };
        let refused = view.snapshots.refusing(now, execution.snapshot());
        let leaf = execution.route(shard).and_then(|route| {
            let tried = execution.tried(shard);
            let fresh = Exclusions { tried: &tried, refused: &refused };
            let random = self.random.as_mut();
            self.router.choose(now, route, fresh, random).or_else(|| {
                let excluded_from_retry = execution.excluded_from_retry(shard);
                let again = Exclusions { tried: &excluded_from_retry, refused: &refused };
                self.router.choose(now, route, again, random)
            })
        });
        let Some(sending) = leaf.and_then(|leaf| execution.send(now, shard, leaf, kind)) else {
            return_budget(kind, &mut view.tail);
            return execution.give_up(shard);
        };
        if kind == AttemptKind::Primary {
            view.tail.primary_sent();
        }
        self.router.sent(sending.leaf);
        effects.push(Effect::Send { sending, time_left: deadline.since(now) });
        Progress::Waiting
    }

    /// Handles the end of a leaf request. A late or duplicate reply matches no attempt in flight;
    /// only its draining mark is used.
    pub(super) fn leaf_completed(
        &mut self,
        now: Timestamp,
        leaf: LeafId,
        request: LeafRequestId,
        completion: LeafCompletion,
        draining: Option<bool>,
        effects: &mut Vec<Effect>,
    ) {
        let attempt = self
            .execution(request.query)
            .and_then(|execution| execution.attempt_in_flight(request));
        if let Some(draining) = draining {
            let sent = attempt.map_or(Timestamp::ZERO, |attempt| attempt.sent);
            self.router.mark_draining(now, leaf, sent, draining);
        }
        let Some(attempt) = attempt else {
            return;
        };
        self.record_completion(now, request, attempt, &completion);
        let Some(execution) = self.execution(request.query) else {
            return;
        };
        let progress = match completion {
            LeafCompletion::Replied(reply) => execution.replied(request, reply),
            LeafCompletion::Failed(failure) => execution.failed(request, failure),
        };
        if progress == Progress::Waiting {
            self.cancel_other_attempts(now, request, effects);
        }
        self.handle_progress(now, request.query, progress, effects);
    }

    /// Updates the statistics of the leaf, the service and the snapshot from a completed request.
    fn record_completion(
        &mut self,
        now: Timestamp,
        request: LeafRequestId,
        attempt: Attempt,
        completion: &LeafCompletion,
    ) {
        let waited = now.since(attempt.sent);
        let Some(active) = self.queries.get(&request.query) else {
            return;
        };
        let (Some(execution), Some(view)) =
            (&active.execution, self.views.get_mut(&active.submission.service))
        else {
            return;
        };
        let pinned = execution.snapshot();
        let observation = match completion {
            LeafCompletion::Replied(LeafReply::Result { snapshot, .. }) if *snapshot == pinned => {
                view.tail.answered(now, waited);
                view.snapshots.served(pinned, request.shard, attempt.leaf);
                Observation::Answered(waited)
            }
            LeafCompletion::Replied(LeafReply::NotRun(reason)) => {
                if *reason == NotRunReason::Shedding {
                    view.tail.shed();
                }
                if *reason == NotRunReason::SnapshotUnavailable
                    && let Some(route) = execution.route(request.shard)
                {
                    let router = &self.router;
                    let live = route.replicas().filter(|leaf| router.takes_new_work(*leaf));
                    view.snapshots.refused(now, pinned, attempt.leaf, live);
                }
                refusal(*reason, waited)
            }
            LeafCompletion::Replied(LeafReply::Result { .. }) => Observation::Failed(waited),
            LeafCompletion::Failed(
                LeafFailure::NotSent | LeafFailure::Broken | LeafFailure::LeafError,
            ) => Observation::Failed(waited),
        };
        self.router.ended(now, attempt.leaf, observation);
    }

    /// Cancels the remaining requests of a shard once the shard is settled.
    fn cancel_other_attempts(
        &mut self,
        now: Timestamp,
        request: LeafRequestId,
        effects: &mut Vec<Effect>,
    ) {
        let Some(execution) = self.execution(request.query) else {
            return;
        };
        if !execution.is_settled(request.shard) {
            return;
        }
        let in_flight = execution.withdraw(request.shard);
        self.cancel(now, request.query, &in_flight, effects);
    }

    pub(super) fn handle_progress(
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

    /// Handles a replica that does not hold the pinned snapshot. In this order: restart on a newer
    /// snapshot if the query may restart; retry on another replica of the shard; restart on an
    /// older snapshot; report the shard as missing.
    fn snapshot_lost(
        &mut self,
        now: Timestamp,
        query: QueryId,
        shard: ShardId,
        effects: &mut Vec<Effect>,
    ) {
        let Some(active) = self.queries.get(&query) else {
            return;
        };
        let service = &active.submission.service;
        let (Some(execution), Some(view)) = (&active.execution, self.views.get(service)) else {
            return;
        };
        let lost = execution.snapshot();
        let may_restart = execution.may_restart();
        let other = view.snapshots.newer(now, lost).or_else(|| {
            let exhausted = !self.has_other_replica(now, execution, view, shard);
            exhausted.then(|| view.snapshots.alternative(now, lost)).flatten()
        });
        let target = other.filter(|_| may_restart).and_then(|other| self.target(service, other));
        match target {
            Some((snapshot, table)) => self.restart(now, query, snapshot, table, effects),
            None => self.handle_progress(now, query, Progress::Retry(shard), effects),
        }
    }

    fn has_other_replica(
        &self,
        now: Timestamp,
        execution: &Execution,
        view: &ServiceView,
        shard: ShardId,
    ) -> bool {
        let refused = view.snapshots.refusing(now, execution.snapshot());
        let tried = execution.tried(shard);
        let open = |leaf: LeafId| {
            !refused.contains(&leaf) && !tried.contains(&leaf) && self.router.takes_new_work(leaf)
        };
        execution.next_attempt(shard).is_some()
            && execution.route(shard).is_some_and(|route| route.replicas().any(open))
    }

    fn restart(
        &mut self,
        now: Timestamp,
        query: QueryId,
        snapshot: Snapshot,
        table: Arc<ShardTable>,
        effects: &mut Vec<Effect>,
    ) {
        let Some(execution) = self.execution(query) else {
            return;
        };
        let in_flight = execution.in_flight();
        execution.restart(snapshot, table);
        self.cancel(now, query, &in_flight, effects);
        self.scatter(now, query, effects);
    }

    /// Schedules the time after which shards without a reply are hedged.
    fn arm_hedge(&mut self, now: Timestamp, query: QueryId) {
        let Some(active) = self.queries.get_mut(&query) else {
            return;
        };
        let delay =
            self.views.get(&active.submission.service).and_then(|view| view.tail.hedge_delay());
        let (Some(delay), true) = (delay, active.submission.repeatable) else {
            return;
        };
        if let Some(former) = active.hedge_at.take() {
            self.timers.remove(&(former, query));
        }
        let due = now.after(delay);
        active.hedge_at = Some(due);
        self.timers.insert((due, query));
    }

    /// Hedges the late shards as far as the budget allows.
    pub(super) fn hedge(&mut self, now: Timestamp, query: QueryId, effects: &mut Vec<Effect>) {
        let Some(execution) = self.execution(query) else {
            return;
        };
        let late = execution.late_shards();
        if late.is_empty() {
            return;
        }
        for shard in late {
            self.hedge_shard(now, query, shard, effects);
        }
        self.arm_hedge(now, query);
    }

    fn hedge_shard(
        &mut self,
        now: Timestamp,
        query: QueryId,
        shard: ShardId,
        effects: &mut Vec<Effect>,
    ) {
        let Some(active) = self.queries.get_mut(&query) else {
            return;
        };
        let deadline = active.submission.deadline;
        let (Some(execution), Some(view)) =
            (active.execution.as_mut(), self.views.get_mut(&active.submission.service))
        else {
            return;
        };
        if !take_budget(AttemptKind::Hedge, &mut view.tail) {
            return;
        }
        let refused = view.snapshots.refusing(now, execution.snapshot());
        let tried = execution.tried(shard);
        let exclusions = Exclusions { tried: &tried, refused: &refused };
        let leaf = execution
            .route(shard)
            .and_then(|route| self.router.choose(now, route, exclusions, self.random.as_mut()));
        let Some(sending) =
            leaf.and_then(|leaf| execution.send(now, shard, leaf, AttemptKind::Hedge))
        else {
            return_budget(AttemptKind::Hedge, &mut view.tail);
            return;
        };
        self.router.sent(sending.leaf);
        effects.push(Effect::Send { sending, time_left: deadline.since(now) });
    }

    pub(super) fn finish(&mut self, now: Timestamp, query: QueryId, effects: &mut Vec<Effect>) {
        let Some(active) = self.queries.get(&query) else {
            return;
        };
        let Some(execution) = active.execution.as_ref() else {
            return;
        };
        let retry_after = self
            .admissions
            .get(&active.submission.service)
            .map_or(DEFAULT_RETRY_AFTER, |admission| {
                admission.retry_after(active.scheduled_priority)
            });
        let outcome = execution.finish(active.policy.price, retry_after);
        self.end(now, query, outcome, effects);
    }

    /// Cancels requests of a query; see [`Self::cancel_requests`].
    pub(super) fn cancel(
        &mut self,
        now: Timestamp,
        query: QueryId,
        in_flight: &[InFlightRequest],
        effects: &mut Vec<Effect>,
    ) {
        let service = self.queries.get(&query).map(|active| &active.submission.service);
        let late = service
            .and_then(|service| self.views.get(service))
            .and_then(|view| view.tail.late_after());
        self.cancel_requests(now, late, in_flight, effects);
    }

    /// Cancels requests. A request that was in flight for at least `late` counts as a failure of
    /// its leaf: a leaf that never answers is ejected even though hedges always complete first.
    pub(super) fn cancel_requests(
        &mut self,
        now: Timestamp,
        late: Option<Duration>,
        in_flight: &[InFlightRequest],
        effects: &mut Vec<Effect>,
    ) {
        for in_flight in in_flight {
            let waited = now.since(in_flight.sent);
            let observation = match late {
                Some(late) if waited >= late => Observation::Failed(waited),
                _ => Observation::Cancelled(waited),
            };
            self.router.ended(now, in_flight.leaf, observation);
            effects.push(Effect::Cancel { request: in_flight.request, leaf: in_flight.leaf });
        }
    }

    fn execution(&mut self, query: QueryId) -> Option<&mut Execution> {
        self.queries.get_mut(&query)?.execution.as_mut()
    }
}

fn take_budget(kind: AttemptKind, tail: &mut TailControl) -> bool {
    match kind {
        AttemptKind::Primary => true,
        AttemptKind::Retry => tail.take_retry(),
        AttemptKind::Hedge => tail.take_hedge(),
    }
}

fn return_budget(kind: AttemptKind, tail: &mut TailControl) {
    match kind {
        AttemptKind::Primary => {}
        AttemptKind::Retry => tail.give_back_retry(),
        AttemptKind::Hedge => tail.give_back_hedge(),
    }
}

fn refusal(reason: NotRunReason, waited: Duration) -> Observation {
    match reason {
        NotRunReason::Cancelled => Observation::Cancelled(waited),
        NotRunReason::Shedding
        | NotRunReason::Draining
        | NotRunReason::SnapshotUnavailable
        | NotRunReason::DeadlinePassed => Observation::Refused,
    }
}
