//! Attempts at the leaves of one service until one replies: retries and hedges.

use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use gingerkeel_domain::directory::ListedLeaf;
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

/// Time until leaves are tried again to which this broker had no connection to spare.
const CONNECTION_WAIT: Duration = Duration::from_millis(4);
/// Part of the target latency for which a request waits for a connection at most.
const CONNECTION_WAIT_SHARE: f64 = 0.2;

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

/// Leaves that were asked for one request.
struct Asked<'state> {
    state: &'state Rc<RouteState>,
    service: &'state ServiceName,
    hedge_delay: Duration,
    open: Vec<(LeafIdentity, Instant)>,
}

impl Asked<'_> {
    /// The leaf that was asked last takes longer than expected; the ones before were late already.
    fn mark_newest_late(&self) {
        if let Some((leaf, _)) = self.open.last() {
            self.state.late(self.service, leaf);
        }
    }

    fn ended(&mut self, leaf: &LeafIdentity) {
        self.open.retain(|(open, _)| open != leaf);
    }
}

impl Drop for Asked<'_> {
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
/// latency of the route says that the first is late, or `overdue` does. A failure of a leaf that ran the request is a
/// reply of the last leaf asked only.
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
    let hedge_delay = hedge_delay(state, route);
    let mut asked = Asked { state, service, hedge_delay, open: Vec::new() };
    let mut tried: Vec<LeafIdentity> = Vec::new();
    let mut running = FuturesUnordered::new();
    let mut may_have_run = 0;
    let mut arrived = 0;
    let mut failure: Option<LeafReply> = None;
    let mut last_error = NoReply::NoLeaf;
    let mut told_overdue = false;
    // Leaves to which this broker had no connection to spare.
    let mut busy: Vec<LeafIdentity> = Vec::new();
    state.earn(service);
    loop {
        if running.is_empty() {
            let Some((leaf, sound)) =
                next_leaf(state, route, service, &tried, arrived, may_have_run)
            else {
                let waited = request.received.elapsed();
                if busy.is_empty() || failure.is_some() || waited > longest_wait(route) {
                    return failure.ok_or(last_error);
                }
                // A connection of this broker is soon free again.
                sleep(CONNECTION_WAIT).await;
                tried.retain(|leaf| !busy.contains(leaf));
                busy.clear();
                continue;
            };
            may_have_run += 1;
            let reason = if tried.is_empty() { AskReason::First } else { AskReason::Retry };
            note(state, request, service, &leaf, reason, sound);
            start(&mut asked, &mut tried, &leaf);
            running.push(run(state, route, service, leaf, request));
        }
        // Asking twice takes capacity from others where it is short.
        let can_hedge =
            route.repeatable && may_have_run < route.attempts.max(1) && !state.is_overloaded(route);
        let wait = if can_hedge { hedge_delay } else { Duration::from_secs(3600) };
        let (leaf, outcome) = monoio::select! {
            ended = running.next() => match ended {
                Some(ended) => ended,
                None => continue,
            },
            _ = hedge_due(wait, overdue, told_overdue) => {
                told_overdue = overdue.is_given();
                if can_hedge {
                    asked.mark_newest_late();
                }
                if let Some((leaf, sound)) = next_leaf(state, route, service, &tried, arrived + 1, may_have_run) {
                    note(state, request, service, &leaf, AskReason::Hedge, sound);
                    may_have_run += 1;
                    start(&mut asked, &mut tried, &leaf);
                    running.push(run(state, route, service, leaf, request));
                }
                continue;
            }
        };
        asked.ended(&leaf);
        let noted = outcome.as_ref().map(|reply| reply.head.status).map_err(|error| *error);
        request.trail.ended(&leaf, noted);
        match outcome {
            Ok(reply) if reply.head.status < 500 || !route.repeatable => return Ok(reply),
            Ok(reply) => {
                arrived += 1;
                failure = Some(reply);
                last_error = NoReply::Unknown;
            }
            Err(error) => {
                if error == AttemptError::NoConnection {
                    busy.push(leaf);
                }
                arrived += u32::from(error.arrived());
                if error.certainly_not_run() {
                    may_have_run -= 1;
                    if last_error == NoReply::NoLeaf && error == AttemptError::Rejected {
                        last_error = NoReply::Rejected;
                    }
                } else {
                    last_error = NoReply::Unknown;
                    if !route.repeatable {
                        return Err(NoReply::Unknown);
                    }
                }
            }
        }
    }
}

/// Ends after `wait`, or once the request is said to be overdue for the first time.
async fn hedge_due(wait: Duration, overdue: &StopSignal, told: bool) {
    if told {
        return sleep(wait).await;
    }
    monoio::select! {
        _ = sleep(wait) => {}
        _ = overdue.given() => {}
    }
}

/// How long a request waits for a connection; after that its caller is better told to come back.
fn longest_wait(route: &Route) -> Duration {
    Duration::from_millis(route.target_latency_ms).mul_f64(CONNECTION_WAIT_SHARE)
}

fn note(
    state: &RouteState,
    request: &ForwardedRequest,
    service: &ServiceName,
    leaf: &ListedLeaf,
    reason: AskReason,
    sound: bool,
) {
    request.trail.asked(service, &leaf.identity, reason, sound);
    state.metrics.leaf_asked(reason.as_str());
}

fn start(asked: &mut Asked<'_>, tried: &mut Vec<LeafIdentity>, leaf: &ListedLeaf) {
    asked.open.push((leaf.identity.clone(), Instant::now()));
    tried.push(leaf.identity.clone());
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

/// The leaf to ask next, if one may be asked: within the attempts of the route, and for every
/// one beyond the first that arrives within the budget of extra requests.
fn next_leaf(
    state: &RouteState,
    route: &Route,
    service: &ServiceName,
    tried: &[LeafIdentity],
    arrived: u32,
    may_have_run: u32,
) -> Option<(ListedLeaf, bool)> {
    if may_have_run >= route.attempts.max(1) {
        return None;
    }
    let choice = state.choose(service, tried)?;
    let leaf = state.leaf(&choice.leaf)?;
    if arrived > 0 && !state.take_extra(service) {
        return None;
    }
    Some((leaf, choice.sound))
}
