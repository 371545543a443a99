//! Attempts at the leaves of one service until one replies: retries and hedges.

use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use gingerkeel_domain::directory::ListedLeaf;
use gingerkeel_domain::forwarding::{Choice, Selection};
use gingerkeel_domain::identifiers::{LeafIdentity, ServiceName};
use gingerkeel_domain::routes::{Destination, Route};
use monoio::time::sleep;

use super::attempt::{AttemptError, ForwardedRequest, LeafReply, attempt};
use super::state::RouteState;
use super::trail::AskReason;
use crate::stop::StopSignal;

/// Share of replies of a part that are waited for before another leaf is asked as well.
const PART_HEDGE_QUANTILE: f64 = 0.95;
/// The same of a request to a single leaf.
const SINGLE_HEDGE_QUANTILE: f64 = 0.98;
/// Latest moment of a hedge, as a share of the target latency.
const LATEST_HEDGE: f64 = 0.35;
/// Least time before a hedge.
const EARLIEST_HEDGE: Duration = Duration::from_millis(8);
/// Silence, in hedge delays, after which an attempt that is given up counts as a failure.
const SILENT_AFTER: u32 = 3;

/// Time until leaves are looked at again to which this broker has no connection to spare.
const CONNECTION_WAIT: Duration = Duration::from_millis(4);
/// Part of the target latency for which a request waits for a connection at most.
const CONNECTION_WAIT_SHARE: f64 = 0.2;

/// Least status that tells of a leaf's failure.
const FIRST_FAILURE: u16 = 500;

/// Why no leaf of a service replied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoReply {
    /// No leaf can be asked now; the request has not run.
    NoLeaf,
    /// Every leaf that was asked refused; the request has not run.
    Rejected,
    /// The request may have run.
    Unknown,
}

/// What is done next for a request that no leaf owes a reply.
enum Next {
    /// This leaf is asked.
    Ask(ListedLeaf),
    /// A connection is waited for.
    Wait,
    /// No leaf may be asked.
    Nobody,
}

/// One request at the leaves of one service.
struct Asking<'request> {
    state: &'request Rc<RouteState>,
    route: &'request Route,
    service: &'request ServiceName,
    request: &'request ForwardedRequest,
    hedge_delay: Duration,
    /// Leaves that owe a reply, and since when; the one asked last is the last.
    open: Vec<(LeafIdentity, Instant)>,
    /// Leaves that were asked.
    tried: Vec<LeafIdentity>,
    /// Leaves on which the request may have run.
    may_have_run: u32,
    /// Leaves at which the request arrived, whether they ran it or not.
    arrived: u32,
    failure: Option<LeafReply>,
    last_error: NoReply,
}

impl<'request> Asking<'request> {
    /// The leaf to ask next, if one may be asked: within the attempts of the route, and for every
    /// one beyond the first that arrives within the budget of extra requests.
    fn next(&mut self, reason: AskReason) -> Next {
        if self.may_have_run >= self.route.attempts.max(1) {
            return Next::Nobody;
        }
        let choice = match self.state.choose(self.service, &self.tried) {
            Selection::Ask(choice) => Some(choice),
            Selection::Wait { .. } if self.may_wait_for_connection(reason) => return Next::Wait,
            Selection::Wait { otherwise } => otherwise,
            Selection::Nobody => None,
        };
        choice.and_then(|choice| self.ask(&choice, reason)).map_or(Next::Nobody, Next::Ask)
    }

    fn ask(&mut self, choice: &Choice, reason: AskReason) -> Option<ListedLeaf> {
        let leaf = self.state.leaf(&choice.leaf)?;
        let is_extra = self.arrived > 0 || reason == AskReason::Hedge;
        if is_extra && !self.state.take_extra(self.service) {
            return None;
        }
        self.may_have_run += 1;
        self.request.trail.asked(self.service, &leaf.identity, reason, choice.sound);
        self.state.metrics.leaf_asked(reason.as_str());
        self.open.push((leaf.identity.clone(), Instant::now()));
        self.tried.push(leaf.identity.clone());
        Some(leaf)
    }

    /// Why the next leaf is asked when none owes a reply.
    fn reason(&self) -> AskReason {
        if self.tried.is_empty() { AskReason::First } else { AskReason::Retry }
    }

    /// Whether another leaf may be asked while one owes a reply: not where a second run would
    /// matter, and not where it takes capacity from others that is short.
    fn can_hedge(&self) -> bool {
        self.route.repeatable
            && self.may_have_run < self.route.attempts.max(1)
            && !self.state.is_overloaded(self.route)
    }

    /// The leaf that was asked last takes longer than expected; the ones before were late already.
    fn mark_newest_late(&self) {
        if let Some((leaf, _)) = self.open.last() {
            self.state.late(self.service, leaf);
        }
    }

    /// Whether it is worth waiting for a connection of this broker to be free again: while no leaf
    /// owes a reply, for a part of the target latency. After that the caller is better told to come
    /// back.
    fn may_wait_for_connection(&self, reason: AskReason) -> bool {
        let target = Duration::from_millis(self.route.target_latency_ms);
        let waited = self.request.received.elapsed();
        reason != AskReason::Hedge && waited <= target.mul_f64(CONNECTION_WAIT_SHARE)
    }

    /// An attempt has ended; gives the outcome of the request when that settles it.
    fn settle(
        &mut self,
        leaf: LeafIdentity,
        outcome: Result<LeafReply, AttemptError>,
    ) -> Option<Result<LeafReply, NoReply>> {
        self.open.retain(|(open, _)| open != &leaf);
        let noted = outcome.as_ref().map(|reply| reply.head.status).map_err(|error| *error);
        self.request.trail.ended(&leaf, noted);
        match outcome {
            Ok(reply) if reply.head.status < FIRST_FAILURE || !self.route.repeatable => {
                Some(Ok(reply))
            }
            Ok(reply) => {
                self.arrived += 1;
                self.failure = Some(reply);
                self.last_error = NoReply::Unknown;
                None
            }
            Err(error) => self.failed(leaf, error),
        }
    }

    fn failed(
        &mut self,
        leaf: LeafIdentity,
        error: AttemptError,
    ) -> Option<Result<LeafReply, NoReply>> {
        if error == AttemptError::NoConnection {
            self.tried.retain(|tried| tried != &leaf);
        }
        self.arrived += u32::from(error.arrived());
        if error.certainly_not_run() {
            self.may_have_run -= 1;
            if self.last_error == NoReply::NoLeaf && error == AttemptError::Rejected {
                self.last_error = NoReply::Rejected;
            }
            return None;
        }
        self.last_error = NoReply::Unknown;
        (!self.route.repeatable).then_some(Err(NoReply::Unknown))
    }

    /// The outcome when no further leaf can be asked.
    fn give_up(&mut self) -> Result<LeafReply, NoReply> {
        self.failure.take().ok_or(self.last_error)
    }
}

impl Drop for Asking<'_> {
    /// Leaves that owe a reply for long when the request is given up are failing.
    fn drop(&mut self) {
        for (leaf, since) in &self.open {
            if since.elapsed() >= self.hedge_delay * SILENT_AFTER {
                self.state.silent(self.service, leaf);
            }
        }
    }
}

/// When another leaf is asked as well.
fn hedge_delay(state: &RouteState, route: &Route) -> Duration {
    let quantile = match route.destination {
        Destination::Shards(_) => PART_HEDGE_QUANTILE,
        _ => SINGLE_HEDGE_QUANTILE,
    };
    let latest = Duration::from_millis(route.target_latency_ms).mul_f64(LATEST_HEDGE);
    let latest = latest.max(EARLIEST_HEDGE);
    let measured = state.latency(route, quantile).unwrap_or(latest);
    measured.clamp(EARLIEST_HEDGE, latest)
}

/// Asks leaves of a service until one replies. Another leaf is asked as well once the measured
/// latency of the route says that the first is late, or `overdue` does. The failure of a leaf that
/// ran a repeatable request is the reply only when no other leaf can be asked.
///
/// # Errors
/// A [`NoReply`] that tells whether the request may have run.
pub async fn ask(
    state: &Rc<RouteState>,
    route: &Route,
    service: &ServiceName,
    request: &ForwardedRequest,
    overdue: &StopSignal,
) -> Result<LeafReply, NoReply> {
    let mut asking = Asking {
        state,
        route,
        service,
        request,
        hedge_delay: hedge_delay(state, route),
        open: Vec::new(),
        tried: Vec::new(),
        may_have_run: 0,
        arrived: 0,
        failure: None,
        last_error: NoReply::NoLeaf,
    };
    let mut running = FuturesUnordered::new();
    let mut told_overdue = false;
    state.earn(service);
    loop {
        if running.is_empty() {
            let reason = asking.reason();
            match asking.next(reason) {
                Next::Ask(leaf) => running.push(run(state, route, service, leaf, request)),
                Next::Wait => {
                    sleep(CONNECTION_WAIT).await;
                    continue;
                }
                Next::Nobody => return asking.give_up(),
            }
        }
        monoio::select! {
            ended = running.next() => {
                let settled = ended.and_then(|(leaf, outcome)| asking.settle(leaf, outcome));
                if let Some(settled) = settled {
                    return settled;
                }
            }
            () = hedge_due(&asking, overdue, told_overdue) => {
                told_overdue = overdue.is_given();
                asking.mark_newest_late();
                if let Next::Ask(leaf) = asking.next(AskReason::Hedge) {
                    running.push(run(state, route, service, leaf, request));
                }
            }
        }
    }
}

/// Ends when another leaf is to be asked: after the hedge delay, or once the request is said to be
/// overdue for the first time. Never while none may be asked.
async fn hedge_due(asking: &Asking<'_>, overdue: &StopSignal, told: bool) {
    if !asking.can_hedge() {
        return std::future::pending().await;
    }
    if told {
        return sleep(asking.hedge_delay).await;
    }
    monoio::select! {
        _ = sleep(asking.hedge_delay) => {}
        _ = overdue.given() => {}
    }
}

async fn run(
    state: &Rc<RouteState>,
    route: &Route,
    service: &ServiceName,
    leaf: ListedLeaf,
    request: &ForwardedRequest,
) -> (LeafIdentity, Result<LeafReply, AttemptError>) {
    let outcome = attempt(state, route, service, &leaf, request).await;
    (leaf.identity, outcome)
}
