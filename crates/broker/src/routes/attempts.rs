//! Attempts at the leaves of one service until one replies, with retries and hedges.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use gingerkeel_domain::crash_suspects::{
    CanaryGate, Caution, InFlightAttempt, Permission, is_survived,
};
use gingerkeel_domain::directory::ListedLeaf;
use gingerkeel_domain::forwarding::{
    AfterAttempt, AttemptError, Choice, NoLeafReason, RequestAttempts, Selection, hedge_delay,
};
use gingerkeel_domain::identifiers::{LeafIdentity, ServiceName};
use gingerkeel_domain::rollout::RuleContext;
use gingerkeel_domain::routes::{Destination, Route};
use gingerkeel_domain::time::Timestamp;
use gingerkeel_transport::Latch;
use monoio::time::sleep;

use super::attempt::{ForwardedRequest, LeafReply, attempt};
use super::leaf_checks::{Liveness, probe_liveness};
use super::leaf_registry::RequestContext;
use super::rollouts::{Conclusion, ObservedAttempt};
use super::running::AttemptSet;
use super::state::RouteState;
use super::trail::{AttemptReason, TrailEntry, outcome_name};

/// Latency quantile after which a part of a gathered answer is hedged.
const PART_HEDGE_QUANTILE: f64 = 0.95;
/// Latency quantile after which a request to a single leaf is hedged.
const SINGLE_HEDGE_QUANTILE: f64 = 0.98;
/// Hedge delays without a reply after which an abandoned attempt counts as a failure.
const SILENT_AFTER_HEDGE_DELAYS: u32 = 3;

/// Time between two checks for a free connection.
const CONNECTION_WAIT: Duration = Duration::from_millis(4);
/// Longest wait for a connection to a leaf in time, as a share of the target latency, while a late
/// leaf could be asked at once.
const CONNECTION_WAIT_SHARE: f64 = 0.2;
/// Time between two checks whether the canary leaf of another part has replied or ended; either
/// takes a leaf some milliseconds.
pub const CANARY_WAIT: Duration = Duration::from_millis(4);
/// Time until leaves are tried again after all refused or were unavailable.
const REFUSAL_WAIT: Duration = Duration::from_millis(20);
/// Share of a request's time after which it no longer waits for an available leaf.
const REFUSAL_WAIT_SHARE: f64 = 0.7;

/// Next step of a service call.
enum NextStep {
    /// Send the request to this leaf.
    Send(ListedLeaf, TrailEntry),
    /// Look for a leaf again after this time.
    Wait(Duration),
    /// No leaf may be asked any more.
    NoLeaf,
}

/// State shared by the parts of one request.
pub struct FanOut {
    /// Given once the missing parts take longer than the others did.
    pub overdue: Latch,
    /// Time without a reply after which a part is hedged.
    hedge_delay: Duration,
    /// Number of further parts that may be missing from the answer.
    spare_parts: Cell<usize>,
    /// Limits the number of leaves that have the request in flight.
    gate: RefCell<CanaryGate>,
    /// Number of parts that have not been started.
    pending: Cell<usize>,
}

impl FanOut {
    /// State of a request of this route, of whose parts `spare_parts` may be missing.
    pub fn new(state: &RouteState, route: &Route, spare_parts: usize, caution: Caution) -> Self {
        Self {
            overdue: Latch::new(),
            hedge_delay: route_hedge_delay(state, route),
            spare_parts: Cell::new(spare_parts),
            gate: RefCell::new(CanaryGate::new(caution)),
            pending: Cell::new(0),
        }
    }

    /// Number of further parts that may start now; none means all.
    pub fn room(&self) -> Option<usize> {
        self.gate.borrow().available()
    }

    /// Sets the number of parts that have not been started and wait for the gate.
    pub fn set_pending(&self, parts: usize) {
        self.pending.set(parts);
    }

    /// Whether the request may be sent to one more leaf. Once it is suspected of crashing leaves,
    /// other shards come before a second leaf of the same shard: a shard has few leaves.
    fn permission(&self, reason: AttemptReason) -> Permission {
        let gate = self.gate.borrow();
        match gate.permission() {
            Permission::Send
                if gate.is_suspected()
                    && reason != AttemptReason::First
                    && self.pending.get() > 0 =>
            {
                Permission::Wait
            }
            permission => permission,
        }
    }

    /// Tells the gate that the canary leaves take longer than usual.
    pub fn canaries_are_late(&self) {
        self.gate.borrow_mut().allow_extra_canary();
    }

    /// Whether leaves have ended under the request and none has replied.
    pub fn is_suspected(&self) -> bool {
        self.gate.borrow().is_suspected()
    }

    /// Counts a part that stays missing.
    fn part_failed(&self) {
        self.spare_parts.set(self.spare_parts.get().saturating_sub(1));
    }
}

/// An attempt that has ended.
struct FinishedAttempt {
    leaf: LeafIdentity,
    entry: TrailEntry,
    outcome: Result<LeafReply, AttemptError>,
    /// When the request was sent to the leaf.
    sent: Timestamp,
    /// Whether the leaf is alive; probed only after a lost connection.
    liveness: Liveness,
}

/// One request at the leaves of one service.
struct ServiceCall<'request> {
    state: &'request Rc<RouteState>,
    route: &'request Route,
    service: &'request ServiceName,
    request: &'request ForwardedRequest,
    fan_out: &'request FanOut,
    /// When the call started.
    began: Instant,
    attempts: RequestAttempts,
    /// Failed reply of a leaf, used if no other leaf gives a better one.
    failure: Option<LeafReply>,
    /// Why the last selection found no leaf.
    no_leaf_reason: Option<NoLeafReason>,
    /// Drawn once per call, so that waiting does not change which versions the request may go to.
    version_draw: f64,
}

impl<'request> ServiceCall<'request> {
    fn new(
        state: &'request Rc<RouteState>,
        route: &'request Route,
        service: &'request ServiceName,
        request: &'request ForwardedRequest,
        fan_out: &'request FanOut,
    ) -> Self {
        Self {
            state,
            route,
            service,
            request,
            fan_out,
            began: Instant::now(),
            attempts: RequestAttempts::new(route.repeatable, route.attempts),
            failure: None,
            no_leaf_reason: None,
            version_draw: state.draw(),
        }
    }

    /// Selects the next leaf within the route's limit of attempts. Each attempt after the first
    /// that arrived also needs room in the budget of extra requests.
    fn next_step(&mut self, reason: AttemptReason) -> NextStep {
        if !self.attempts.may_ask() {
            return NextStep::NoLeaf;
        }
        let is_trial = self.fan_out.gate.borrow().is_trial();
        if !is_trial && self.state.crashes.is_refused(self.request) {
            self.fan_out.gate.borrow_mut().refuse();
        }
        match self.fan_out.permission(reason) {
            Permission::Send => {}
            Permission::Wait => return NextStep::Wait(CANARY_WAIT),
            Permission::Never => return NextStep::NoLeaf,
        }
        self.no_leaf_reason = None;
        let limits = self.state.service_limits(self.service);
        let leaves = &self.state.leaves;
        let tenant = self.request.tenant.as_deref();
        let tried = self.attempts.tried();
        let standing = RuleContext {
            is_first: self.attempts.is_first(),
            draw: self.version_draw,
            is_fresh: self.state.is_fresh(),
        };
        let versions = self.state.rollouts.rules(self.service, standing);
        let asker = RequestContext { route: self.route, tenant, service: self.service };
        let choice = match leaves.choose(&asker, &versions, limits, tried) {
            Selection::Ask(choice) => Some(choice),
            Selection::Wait { .. } if self.may_wait_for_connection(reason) => {
                return NextStep::Wait(CONNECTION_WAIT);
            }
            Selection::Wait { otherwise } => otherwise,
            Selection::NoLeaf(reason) => {
                self.no_leaf_reason = Some(reason);
                None
            }
        };
        // A hedge to a leaf that is itself late is hardly ever the first to answer.
        let choice = choice.filter(|choice| choice.sound || reason != AttemptReason::Hedge);
        match choice.and_then(|choice| self.start_attempt(&choice, reason)) {
            Some((leaf, entry)) => NextStep::Send(leaf, entry),
            None if self.may_wait_for_leaves(reason) => {
                self.attempts.forget_refusals();
                NextStep::Wait(REFUSAL_WAIT)
            }
            None => NextStep::NoLeaf,
        }
    }

    fn start_attempt(
        &mut self,
        choice: &Choice,
        reason: AttemptReason,
    ) -> Option<(ListedLeaf, TrailEntry)> {
        let leaf = self.state.leaves.leaf(&choice.leaf)?;
        if self.attempts.next_is_extra() && !self.state.leaves.take_extra(self.service) {
            self.state.metrics.extra_refused();
            return None;
        }
        self.state.rollouts.sent(&leaf);
        if self.state.rollouts.is_on_trial(&leaf) {
            self.state.metrics.sent_on_trial();
        }
        self.state.leaves.request_sent(&leaf, self.state.service_limits(self.service));
        let load = self.state.leaves.reported_load(self.service, &leaf.identity);
        let trail = &self.request.trail;
        let entry = trail.attempt_started(self.service, &leaf.identity, reason, choice.sound, load);
        self.state.metrics.attempt_started(reason);
        self.attempts.asked(self.state.clock.now(), leaf.identity.clone());
        self.fan_out.gate.borrow_mut().sent();
        Some((leaf, entry))
    }

    /// Reason of the next attempt while none is in flight.
    fn reason(&self) -> AttemptReason {
        if self.attempts.is_first() { AttemptReason::First } else { AttemptReason::Retry }
    }

    /// Whether a hedge is allowed: not if the request may run only once, nor while the leaves are
    /// overloaded.
    fn can_hedge(&self) -> bool {
        self.attempts.may_hedge() && !self.state.admission.is_overrun(self.route)
    }

    /// Marks the leaf of the newest attempt as late; earlier ones have been marked already.
    fn mark_newest_late(&self) {
        if let Some(leaf) = self.attempts.newest_open() {
            self.state.leaves.attempt_late(self.service, leaf);
        }
    }

    /// Whether to wait for a free connection: only while no attempt is in flight, and for a share
    /// of the target latency. After that the caller is told to retry.
    fn may_wait_for_connection(&self, reason: AttemptReason) -> bool {
        let target = Duration::from_millis(self.route.target_latency_ms);
        let waited = self.began.elapsed();
        reason != AttemptReason::Hedge && waited <= target.mul_f64(CONNECTION_WAIT_SHARE)
    }

    /// Whether to wait for an available leaf: the part is required, there is no failed reply to
    /// return, the reason for the lack of leaves is temporary, and enough of the request's time is
    /// left.
    fn may_wait_for_leaves(&self, reason: AttemptReason) -> bool {
        let whole = self.request.deadline.saturating_duration_since(self.request.received);
        let waited = self.request.received.elapsed();
        reason != AttemptReason::Hedge
            && !self.state.admission.is_overrun(self.route)
            && self.fan_out.spare_parts.get() == 0
            && self.failure.is_none()
            && !self.no_leaf_reason.is_some_and(NoLeafReason::is_lasting)
            && waited <= whole.mul_f64(REFUSAL_WAIT_SHARE)
    }

    /// Takes the result of an attempt; returns the outcome of the call if that decides it.
    fn settle(&mut self, ended: FinishedAttempt) -> Option<Option<LeafReply>> {
        self.update_canary_gate(&ended);
        let FinishedAttempt { leaf, entry, outcome, .. } = ended;
        let status = outcome.as_ref().map(|reply| reply.head.status).map_err(|error| *error);
        self.request.trail.attempt_ended(entry, status);
        self.state.metrics.attempt_ended(outcome_name(status));
        match (self.attempts.ended(&leaf, status), outcome) {
            (AfterAttempt::Reply, Ok(reply)) => return Some(Some(reply)),
            (AfterAttempt::NoReply, _) => return Some(None),
            (AfterAttempt::AskAnother { keep_reply: true }, Ok(reply)) => {
                self.failure = Some(reply);
            }
            _ => {}
        }
        None
    }

    /// Updates the canary gate and the crash watch with the result of an attempt.
    fn update_canary_gate(&self, ended: &FinishedAttempt) {
        let mut gate = self.fan_out.gate.borrow_mut();
        if ended.outcome.as_ref().is_ok_and(|reply| is_survived(reply.head.status)) {
            gate.replied();
            self.state.crashes.replied(self.request);
        } else if ended.liveness.has_ended(gate.in_flight_limit() == Some(1)) {
            let alone = gate.leaf_ended();
            let end = self.attempt_under_way(&ended.leaf, ended.sent, alone);
            self.state.crashes.leaf_ended(&self.state.metrics, &end);
            self.request.trail.leaf_ended();
        } else {
            gate.over();
        }
    }

    fn attempt_under_way(
        &self,
        leaf: &LeafIdentity,
        sent: Timestamp,
        alone: bool,
    ) -> InFlightAttempt {
        InFlightAttempt {
            request: String::from_utf8_lossy(&self.request.id).into_owned(),
            digest: self.request.digest(),
            route: self.route.name.clone(),
            service: self.service.clone(),
            leaf: leaf.clone(),
            sent,
            alone,
        }
    }

    /// Outcome of the call when no further leaf can be asked.
    fn give_up(&mut self) -> Option<LeafReply> {
        if let Some(reason) = self.no_leaf_reason {
            self.request.trail.set_no_leaf_reason(reason);
        }
        self.failure.take()
    }
}

impl Drop for ServiceCall<'_> {
    /// Marks leaves as silent that have not replied for long. Each leaf with an attempt in flight
    /// may still end under the request, so that the crash watch is told of all.
    fn drop(&mut self) {
        let now = self.state.clock.now();
        let gate = self.fan_out.gate.borrow();
        if !gate.is_answered() {
            for (leaf, sent) in self.attempts.open() {
                let attempt_under_way = self.attempt_under_way(leaf, sent, gate.is_alone());
                self.state.crashes.given_up(attempt_under_way);
            }
        }
        for leaf in
            self.attempts.open_for(now, self.fan_out.hedge_delay * SILENT_AFTER_HEDGE_DELAYS)
        {
            self.state.leaves.attempt_silent(self.service, leaf);
        }
    }
}

/// Hedge delay of a route, from its observed latency.
fn route_hedge_delay(state: &RouteState, route: &Route) -> Duration {
    let quantile = match route.destination {
        Destination::Shards(_) => PART_HEDGE_QUANTILE,
        _ => SINGLE_HEDGE_QUANTILE,
    };
    let target = Duration::from_millis(route.target_latency_ms);
    hedge_delay(state.latency(route, quantile), target)
}

/// Sends a request to leaves of a service until one replies. It is hedged once the first leaf is
/// late by the observed latency of the route, or by that of the other parts in `fan_out`. A failed
/// reply to a repeatable request is returned only if no other leaf can be asked. Without a reply,
/// the request's evidence tells whether it may have run.
pub async fn call_service(
    state: &Rc<RouteState>,
    route: &Route,
    service: &ServiceName,
    request: &ForwardedRequest,
    fan_out: &FanOut,
) -> Option<LeafReply> {
    let outcome = call_until_settled(state, route, service, request, fan_out).await;
    if outcome.is_none() {
        fan_out.part_failed();
    }
    outcome
}

async fn call_until_settled(
    state: &Rc<RouteState>,
    route: &Route,
    service: &ServiceName,
    request: &ForwardedRequest,
    fan_out: &FanOut,
) -> Option<LeafReply> {
    let mut call = ServiceCall::new(state, route, service, request, fan_out);
    let mut running = AttemptSet::new();
    let mut overdue_seen = false;
    state.leaves.count_first_request(service);
    state.rollouts.requested(service);
    loop {
        if running.is_empty() {
            let reason = call.reason();
            match call.next_step(reason) {
                NextStep::Send(leaf, entry) => {
                    running.push(run_attempt(state, route, service, leaf, entry, request));
                }
                NextStep::Wait(pause) => {
                    sleep(pause).await;
                    continue;
                }
                NextStep::NoLeaf => return call.give_up(),
            }
        }
        monoio::select! {
            ended = running.next() => if let Some(settled) = call.settle(ended) {
                return settled;
            },
            () = hedge_due(&call, overdue_seen) => {
                overdue_seen = fan_out.overdue.is_set();
                call.mark_newest_late();
                if let NextStep::Send(leaf, entry) = call.next_step(AttemptReason::Hedge) {
                    running.push(run_attempt(state, route, service, leaf, entry, request));
                }
            }
        }
    }
}

/// Completes when a hedge is due: after the hedge delay, or the first time that the part is
/// overdue. Never completes while no hedge is allowed.
async fn hedge_due(call: &ServiceCall<'_>, overdue_seen: bool) {
    if !call.can_hedge() {
        return std::future::pending().await;
    }
    if overdue_seen {
        return sleep(call.fan_out.hedge_delay).await;
    }
    monoio::select! {
        _ = sleep(call.fan_out.hedge_delay) => {}
        _ = call.fan_out.overdue.wait() => {}
    }
}

async fn run_attempt(
    state: &Rc<RouteState>,
    route: &Route,
    service: &ServiceName,
    leaf: ListedLeaf,
    entry: TrailEntry,
    request: &ForwardedRequest,
) -> FinishedAttempt {
    let sent = state.clock.now();
    let distance = state.leaves.distance(&leaf);
    let observed = ObservedAttempt::begin(&state.rollouts, &route.name, &leaf, distance);
    let outcome = attempt(state, route, service, &leaf, request).await;
    observed.conclude(match &outcome {
        Ok(reply) => Conclusion::Answered(reply.head.status),
        Err(error) => Conclusion::Unanswered(*error),
    });
    let liveness = match outcome {
        Err(AttemptError::Lost) => probe_liveness(state, &leaf).await,
        _ => Liveness::Alive,
    };
    FinishedAttempt { leaf: leaf.identity, entry, outcome, sent, liveness }
}
