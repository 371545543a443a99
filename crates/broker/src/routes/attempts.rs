//! Attempts at the leaves of one service until one replies: retries and hedges.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use gingerkeel_domain::crash_suspects::{CanaryGate, Caution, Permission, UnderWay, is_survived};
use gingerkeel_domain::directory::ListedLeaf;
use gingerkeel_domain::forwarding::{
    AfterAttempt, AttemptError, Choice, NobodyReason, RequestAttempts, Selection, hedge_delay,
};
use gingerkeel_domain::identifiers::{LeafIdentity, ServiceName};
use gingerkeel_domain::rollout::Standing;
use gingerkeel_domain::routes::{Destination, Route};
use gingerkeel_domain::time::Timestamp;
use monoio::time::sleep;

use super::attempt::{ForwardedRequest, LeafReply, attempt};
use super::leaf_checks::{Liveness, probe_liveness};
use super::leaf_registry::RequestContext;
use super::rollouts::{Conclusion, ObservedAttempt};
use super::running::AttemptSet;
use super::state::RouteState;
use super::trail::{AttemptReason, TrailEntry, outcome_name};
use crate::stop::StopSignal;

/// Share of replies of a part that are waited for before another leaf is asked as well.
const PART_HEDGE_QUANTILE: f64 = 0.95;
/// The same of a request to a single leaf.
const SINGLE_HEDGE_QUANTILE: f64 = 0.98;
/// Silence, in hedge delays, after which an attempt that is given up counts as a failure.
const SILENT_AFTER_HEDGE_DELAYS: u32 = 3;

/// Time until leaves are looked at again to which this broker has no connection to spare.
const CONNECTION_WAIT: Duration = Duration::from_millis(4);
/// Part of the target latency for which a request waits for a connection at most, where a late leaf
/// could be asked at once.
const CONNECTION_WAIT_SHARE: f64 = 0.2;
/// Time until a part looks again whether the leaf that was asked for another one has replied or ended; a leaf
/// needs some milliseconds for either.
pub const CANARY_WAIT: Duration = Duration::from_millis(4);
/// Time until leaves are asked again that refused, or of which none could be asked.
const REFUSAL_WAIT: Duration = Duration::from_millis(20);
/// Part of the time of a request after which leaves that cannot be asked are not waited for any more.
const REFUSAL_WAIT_SHARE: f64 = 0.7;

/// What is done next for a request that no leaf owes a reply.
enum NextStep {
    /// This leaf is asked.
    Send(ListedLeaf, TrailEntry),
    /// Leaves are looked at again after this time.
    Wait(Duration),
    /// No leaf may be asked.
    NoLeaf,
}

/// What the parts of one request tell each other.
pub struct FanOut {
    /// Given once the parts that are missing take longer than the others.
    pub overdue: StopSignal,
    /// When another leaf is asked as well for a part.
    hedge_delay: Duration,
    /// How many more parts the answer can do without.
    spare_parts: Cell<usize>,
    /// At how many leaves the request may be under way.
    gate: RefCell<CanaryGate>,
    /// How many parts have asked no leaf yet.
    pending: Cell<usize>,
}

impl FanOut {
    /// Parts of a request of this route, of which so many can be done without.
    pub fn new(state: &RouteState, route: &Route, spare_parts: usize, caution: Caution) -> Self {
        Self {
            overdue: StopSignal::new(),
            hedge_delay: route_hedge_delay(state, route),
            spare_parts: Cell::new(spare_parts),
            gate: RefCell::new(CanaryGate::new(caution)),
            pending: Cell::new(0),
        }
    }

    /// For how many more parts leaves may be asked now; none for all of them.
    pub fn room(&self) -> Option<usize> {
        self.gate.borrow().room()
    }

    /// So many parts have asked no leaf yet, and do once there is room.
    pub fn set_pending(&self, parts: usize) {
        self.pending.set(parts);
    }

    /// Whether the request may be sent to one more leaf. While leaves end under it, those of other shards are
    /// asked before a second one of the same: a shard has few.
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

    /// The leaves that were asked first take longer than usual.
    pub fn canaries_are_late(&self) {
        self.gate.borrow_mut().canaries_are_late();
    }

    /// Whether leaves have ended under the request, and none has replied.
    pub fn is_suspected(&self) -> bool {
        self.gate.borrow().is_suspected()
    }

    /// The answer has to do without one more.
    fn part_failed(&self) {
        self.spare_parts.set(self.spare_parts.get().saturating_sub(1));
    }
}

/// An attempt that has ended.
struct FinishedAttempt {
    leaf: LeafIdentity,
    entry: TrailEntry,
    outcome: Result<LeafReply, AttemptError>,
    /// When the request was sent to it.
    sent: Timestamp,
    /// Whether the leaf has ended, where it lost the connection.
    liveness: Liveness,
}

/// One request at the leaves of one service.
struct ServiceCall<'request> {
    state: &'request Rc<RouteState>,
    route: &'request Route,
    service: &'request ServiceName,
    request: &'request ForwardedRequest,
    fan_out: &'request FanOut,
    /// When the first leaf was to be asked.
    began: Instant,
    attempts: RequestAttempts,
    /// The reply of a leaf that failed, for want of a better one.
    failure: Option<LeafReply>,
    /// Why no leaf was chosen when one was looked for last.
    no_leaf_reason: Option<NobodyReason>,
    /// Drawn once, so that waiting does not change which versions the request may go to.
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

    /// The leaf to ask next, if one may be asked: within the attempts of the route, and for every
    /// one beyond the first that arrives within the budget of extra requests.
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
        let standing = Standing {
            is_first: self.attempts.is_first(),
            lot: self.version_draw,
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
            Selection::Nobody(reason) => {
                self.no_leaf_reason = Some(reason);
                None
            }
        };
        // A hedge to a leaf that is late itself is hardly ever the first to answer.
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

    /// Why the next leaf is asked when none owes a reply.
    fn reason(&self) -> AttemptReason {
        if self.attempts.is_first() { AttemptReason::First } else { AttemptReason::Retry }
    }

    /// Whether another leaf may be asked while one owes a reply: not where a second run would
    /// matter, and not where it takes capacity from others that is short.
    fn can_hedge(&self) -> bool {
        self.attempts.may_hedge() && !self.state.admission.is_overrun(self.route)
    }

    /// The leaf that was asked last takes longer than expected; the ones before were late already.
    fn mark_newest_late(&self) {
        if let Some(leaf) = self.attempts.newest_open() {
            self.state.leaves.attempt_late(self.service, leaf);
        }
    }

    /// Whether it is worth waiting for a connection of this broker to be free again: while no leaf
    /// owes a reply, for a part of the target latency. After that the caller is better told to come
    /// back.
    fn may_wait_for_connection(&self, reason: AttemptReason) -> bool {
        let target = Duration::from_millis(self.route.target_latency_ms);
        let waited = self.began.elapsed();
        reason != AttemptReason::Hedge && waited <= target.mul_f64(CONNECTION_WAIT_SHARE)
    }

    /// Whether it is worth waiting until a leaf can be asked: the answer cannot do without this part, no
    /// other outcome than a refusal is in sight, a leaf may be there in time, and there is time to
    /// be served yet.
    fn may_wait_for_leaves(&self, reason: AttemptReason) -> bool {
        let whole = self.request.deadline.saturating_duration_since(self.request.received);
        let waited = self.request.received.elapsed();
        reason != AttemptReason::Hedge
            && !self.state.admission.is_overrun(self.route)
            && self.fan_out.spare_parts.get() == 0
            && self.failure.is_none()
            && !self.no_leaf_reason.is_some_and(NobodyReason::is_lasting)
            && waited <= whole.mul_f64(REFUSAL_WAIT_SHARE)
    }

    /// An attempt has ended; gives the outcome of the request when that settles it.
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

    /// What the end of an attempt says of whether the request crashes leaves.
    fn update_canary_gate(&self, ended: &FinishedAttempt) {
        let mut gate = self.fan_out.gate.borrow_mut();
        if ended.outcome.as_ref().is_ok_and(|reply| is_survived(reply.head.status)) {
            gate.replied();
            self.state.crashes.replied(self.request);
        } else if ended.liveness.has_ended(gate.most_open() == Some(1)) {
            let alone = gate.leaf_ended();
            let end = self.attempt_under_way(&ended.leaf, ended.sent, alone);
            self.state.crashes.leaf_ended(&self.state.metrics, &end);
            self.request.trail.leaf_ended();
        } else {
            gate.over();
        }
    }

    fn attempt_under_way(&self, leaf: &LeafIdentity, sent: Timestamp, alone: bool) -> UnderWay {
        UnderWay {
            request: String::from_utf8_lossy(&self.request.id).into_owned(),
            digest: self.request.digest(),
            route: self.route.name.clone(),
            service: self.service.clone(),
            leaf: leaf.clone(),
            sent,
            alone,
        }
    }

    /// The outcome when no further leaf can be asked.
    fn give_up(&mut self) -> Option<LeafReply> {
        if let Some(reason) = self.no_leaf_reason {
            self.request.trail.set_no_leaf_reason(reason);
        }
        self.failure.take()
    }
}

impl Drop for ServiceCall<'_> {
    /// Leaves that owe a reply for long when the request is given up are failing. Any of them may end under it yet.
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

/// When another leaf is asked as well.
fn route_hedge_delay(state: &RouteState, route: &Route) -> Duration {
    let quantile = match route.destination {
        Destination::Shards(_) => PART_HEDGE_QUANTILE,
        _ => SINGLE_HEDGE_QUANTILE,
    };
    let target = Duration::from_millis(route.target_latency_ms);
    hedge_delay(state.latency(route, quantile), target)
}

/// Asks leaves of a service until one replies. Another leaf is asked as well once the measured
/// latency of the route says that the first is late, or the other `parts` do. The failure of a leaf that
/// ran a repeatable request is the reply only when no other leaf can be asked. Without a reply, the request's
/// evidence tells whether it may have run.
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
                overdue_seen = fan_out.overdue.is_given();
                call.mark_newest_late();
                if let NextStep::Send(leaf, entry) = call.next_step(AttemptReason::Hedge) {
                    running.push(run_attempt(state, route, service, leaf, entry, request));
                }
            }
        }
    }
}

/// Ends when another leaf is to be asked: after the hedge delay, or once the request is said to be
/// overdue for the first time. Never while none may be asked.
async fn hedge_due(call: &ServiceCall<'_>, overdue_seen: bool) {
    if !call.can_hedge() {
        return std::future::pending().await;
    }
    if overdue_seen {
        return sleep(call.fan_out.hedge_delay).await;
    }
    monoio::select! {
        _ = sleep(call.fan_out.hedge_delay) => {}
        _ = call.fan_out.overdue.given() => {}
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
