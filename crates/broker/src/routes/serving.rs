//! Serves one request, from the route lookup to its outcome.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use gingerkeel_domain::crash_suspects::Caution;
use gingerkeel_domain::forwarding::{NoLeafReason, RequestFailure, promises_not_run};
use gingerkeel_domain::identifiers::ServiceName;
use gingerkeel_domain::routes::{Destination, Route, RouteLookup, RouteTable};
use gingerkeel_transport::http1::RequestHead;
use monoio::time::timeout;

use super::attempt::{ForwardedRequest, LeafReply};
use super::attempts::{FanOut, call_service};
use super::authentication::{CallerIdentity, UnknownKey, authenticate};
use super::gather::gather;
use super::record::RequestRecord;
use super::respond::{MergedAnswer, Refusal};
use super::state::RouteState;

/// Retry-after if no leaf accepted the request.
const BUSY_RETRY_AFTER: Duration = Duration::from_millis(150);
/// Retry-after if no leaf may serve the request under the current routes and leaves: about as long
/// as a change of either takes to be in force.
const LASTING_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Retry-after while no control process is reachable.
const OUT_OF_TOUCH_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Outcome of a request.
pub enum Served {
    /// Parts of several leaves, merged.
    Merged(MergedAnswer),
    /// The reply of one leaf.
    Relayed(Box<LeafReply>),
    /// A refusal of the broker's own.
    Refused(Refusal),
}

/// Serves one request. Dropping the future, as when the caller disconnects, cancels all its work.
/// The record must be kept until the answer is written: writing its log lines may take longer than
/// the answer.
pub async fn serve(
    state: &Rc<RouteState>,
    mut request: ForwardedRequest,
) -> (Served, RequestRecord) {
    state.wait_until_ready(request.deadline).await;
    let found = find_route(state, &request.head);
    if let Ok(found) = &found {
        request.identify(&state.dialect, &found.caller);
        let timeout_at = request.received + Duration::from_millis(found.route.timeout_ms);
        request.deadline = request.deadline.min(timeout_at);
    }
    if let Some(stop) = state.planned_stop() {
        let left = state.clock.until(stop.answers_by());
        request.deadline = request.deadline.min(Instant::now() + left);
    }
    let mut record = RequestRecord::new(state.clone(), request);
    let MatchedRequest { table, route, .. } = match found {
        Ok(found) => found,
        Err(refused) => return (record.refuse(refused.refusal, refused.reason), record),
    };
    record.set_route(&route);
    if !state.accepts(&route) {
        let refusal = Refusal::NotRun { retry_after: BUSY_RETRY_AFTER };
        return (record.refuse(refusal, "stopping"), record);
    }
    if let Some(left) = state.crashes.refusal_left(&route, record.request()) {
        return (refuse_crashing_request(state, &route, &mut record, left), record);
    }
    if let Err(retry_after) = record.charge_quota() {
        let refusal = Refusal::OverQuota { retry_after };
        return (record.refuse(refusal, refusal.outcome()), record);
    }
    let candidate = state.candidate(&table, &route, record.request());
    if let Err(retry_after) = state.admission.enter(&route, candidate).await {
        return (record.refuse(Refusal::NotRun { retry_after }, "leaves_overloaded"), record);
    }
    record.admitted(state.clock.now() >= candidate.in_time_until);
    // Findings that arrived while the request was queued count, too.
    let usual = state.crashes.default_caution(&route);
    let caution = state.crashes.caution(&route, record.request(), usual).await;
    let served = match caution {
        Ok(caution) => {
            record.request().trail.sent_with(caution);
            serve_route(state, &route, record.request(), caution).await
        }
        Err(left) => return (refuse_crashing_request(state, &route, &mut record, left), record),
    };
    record.end(&served);
    (served, record)
}

/// Refuses a request that has crashed leaves, with a retry-after at which a trial may be due.
fn refuse_crashing_request(
    state: &RouteState,
    route: &Route,
    record: &mut RequestRecord,
    left: Duration,
) -> Served {
    state.metrics.kept_from_leaves(&route.name);
    record.refuse(Refusal::NotRun { retry_after: left }, "crashes_leaves")
}

/// The refusal of a request that its head decides, so that the body need not be read; none while
/// the broker is starting, since the request then waits.
pub fn refusal_by_head(state: &RouteState, head: &RequestHead) -> Option<RefusedByHead> {
    if !state.has_started() {
        return None;
    }
    find_route(state, head).err()
}

/// Refuses a request by its head.
pub fn refuse_unread(
    state: &Rc<RouteState>,
    request: ForwardedRequest,
    refused: RefusedByHead,
) -> Refusal {
    RequestRecord::new(state.clone(), request).refuse(refused.refusal, refused.reason);
    refused.refusal
}

/// Refusal decided by the head of a request, with the outcome for logs and metrics.
pub struct RefusedByHead {
    /// The refusal.
    pub refusal: Refusal,
    reason: &'static str,
}

/// Route and caller of a request.
struct MatchedRequest {
    table: Rc<RouteTable>,
    route: Arc<Route>,
    caller: CallerIdentity,
}

fn find_route(state: &RouteState, head: &RequestHead) -> Result<MatchedRequest, RefusedByHead> {
    let refused = |refusal, reason| RefusedByHead { refusal, reason };
    let Some(table) = state.table().filter(|_| state.leaves.is_listed()) else {
        let refusal = Refusal::NotRun { retry_after: state.startup_retry_after() };
        return Err(refused(refusal, "nothing_known_yet"));
    };
    if state.is_out_of_date() {
        let refusal = Refusal::NotRun { retry_after: OUT_OF_TOUCH_RETRY_AFTER };
        return Err(refused(refusal, "out_of_touch"));
    }
    let host = head.headers.text("host").unwrap_or_default();
    let RouteLookup::Found(route) = table.find(host, head.path()) else {
        return Err(refused(Refusal::NoRoute, "no_route"));
    };
    let caller = authenticate(&state.dialect, table.keys(), &route, head)
        .map_err(|UnknownKey| refused(Refusal::Unauthorized, "unauthorized"))?;
    Ok(MatchedRequest { table, route, caller })
}

async fn serve_route(
    state: &Rc<RouteState>,
    route: &Route,
    request: &ForwardedRequest,
    caution: Caution,
) -> Served {
    match &route.destination {
        Destination::Shards(shards) => match gather(state, route, shards, request, caution).await {
            Ok(answer) => Served::Merged(answer),
            Err(refusal) => Served::Refused(refusal),
        },
        Destination::Service(service) => forward(state, route, service, request, caution).await,
        Destination::Split(parts) => match state.next_of_split(route, parts) {
            Some(service) => forward(state, route, &service, request, caution).await,
            None => Served::Refused(Refusal::NotRun { retry_after: BUSY_RETRY_AFTER }),
        },
    }
}

async fn forward(
    state: &Rc<RouteState>,
    route: &Route,
    service: &ServiceName,
    request: &ForwardedRequest,
    caution: Caution,
) -> Served {
    let left = request.deadline.saturating_duration_since(Instant::now());
    let fan_out = FanOut::new(state, route, 0, caution);
    match timeout(left, call_service(state, route, service, request, &fan_out)).await {
        // The leaf does not say that it did not run the request, which its status would promise.
        Ok(Some(reply)) if !route.repeatable && promises_not_run(reply.head.status) => {
            Served::Refused(Refusal::NoReply)
        }
        Ok(Some(reply)) => Served::Relayed(Box::new(reply)),
        Ok(None) => Served::Refused(refusal_without_answer(request, false, BUSY_RETRY_AFTER)),
        Err(_) => Served::Refused(refusal_without_answer(request, true, BUSY_RETRY_AFTER)),
    }
}

/// The refusal of a request that got no answer. One that has not run may be retried after
/// `default_retry_after`, or later if the reason is lasting.
pub(super) fn refusal_without_answer(
    request: &ForwardedRequest,
    time_is_over: bool,
    default_retry_after: Duration,
) -> Refusal {
    match request.evidence.get().failure(time_is_over) {
        RequestFailure::NotRun => {
            let lasts = request.trail.no_leaf_reason().is_some_and(NoLeafReason::is_lasting);
            Refusal::NotRun {
                retry_after: if lasts { LASTING_RETRY_AFTER } else { default_retry_after },
            }
        }
        RequestFailure::TimedOut => Refusal::TimedOut,
        RequestFailure::NoAnswer => Refusal::NoReply,
    }
}
