//! Scatter-gather: answers merged from the replies of one leaf of each shard.

use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use gingerkeel_domain::crash_suspects::Caution;
use gingerkeel_domain::forwarding::{GatherStep, GatherTimes, Gathering, GreatestRecords};
use gingerkeel_domain::identifiers::ServiceName;
use gingerkeel_domain::routes::{Route, ShardSet};
use gingerkeel_domain::time::Timestamp;
use monoio::time::sleep;

use super::attempt::{ForwardedRequest, LeafReply};
use super::attempts::{CANARY_WAIT, FanOut, call_service};
use super::respond::{MergedAnswer, Refusal};
use super::serving::refusal_without_answer;
use super::state::RouteState;

/// Retry-after of a request for which too many shards could not be reached.
const RETRY_AFTER: Duration = Duration::from_millis(200);

/// Latency quantile of a part for which the other parts wait for the canary leaves.
const CANARY_QUANTILE: f64 = 0.98;
/// Longest wait for the canary leaves, as a share of the target latency: the other parts need up to
/// half of it, and merging the rest.
const LONGEST_CANARY_SHARE: f64 = 0.4;

/// The parts of one answer received so far.
struct GatherState {
    /// When the answer is sent with the parts received by then.
    soft_deadline: Timestamp,
    /// Whether too few parts had arrived by the soft deadline.
    soft_deadline_passed: bool,
    gathering: Gathering,
    attestations: Vec<Vec<u8>>,
    records: GreatestRecords,
}

impl GatherState {
    fn new(
        state: &RouteState,
        route: &Route,
        shards: &ShardSet,
        request: &ForwardedRequest,
    ) -> Self {
        let target = Duration::from_millis(route.target_latency_ms);
        let received = state.clock.at(request.received);
        let deadline = state.clock.at(request.deadline);
        let soft = state.soft_deadline(received, target);
        let times = GatherTimes { received, soft: soft.min(deadline), deadline };
        Self {
            soft_deadline: soft,
            soft_deadline_passed: false,
            gathering: Gathering::new(shards.services.len(), shards.least_share, times),
            attestations: Vec::new(),
            records: GreatestRecords::new(shards.greatest as usize),
        }
    }

    fn add_part(&mut self, state: &RouteState, outcome: Option<LeafReply>) {
        let attested = outcome.and_then(|reply| Some((attestation(state, &reply)?, reply)));
        self.gathering.record_part(state.clock.now(), attested.is_some());
        if let Some((attestation, reply)) = attested {
            self.attestations.push(attestation);
            self.records.add(&reply.body);
        }
    }

    fn finish(
        self,
        now: Timestamp,
        request: &ForwardedRequest,
        is_suspected: bool,
    ) -> Result<MergedAnswer, Refusal> {
        if !self.gathering.reaches_least_share() {
            let time_is_over = Instant::now() >= request.deadline;
            return Err(match refusal_without_answer(request, time_is_over, RETRY_AFTER) {
                // The request has run on leaves that ended; a retry would crash further leaves.
                Refusal::NotRun { .. } if is_suspected => Refusal::NoReply,
                refusal => refusal,
            });
        }
        let missing = self.gathering.missing();
        let records = self.records.into_bytes();
        // Timer delay after the soft deadline counts as delivery time.
        let due = if self.soft_deadline_passed { now } else { now.min(self.soft_deadline) };
        Ok(MergedAnswer { attestations: self.attestations, missing, records, due })
    }
}

/// How long the canary leaves may take before another one is asked as well.
fn canary_time(state: &RouteState, route: &Route) -> Duration {
    let longest = Duration::from_millis(route.target_latency_ms).mul_f64(LONGEST_CANARY_SHARE);
    state.latency(route, CANARY_QUANTILE).map_or(longest, |usual| usual.min(longest))
}

/// All services, starting at the one selected by `draw` in 0..1, so that canary requests are spread
/// over the shards.
fn rotated(services: &[ServiceName], draw: f64) -> impl ExactSizeIterator<Item = &ServiceName> {
    let first = (draw * services.len() as f64) as usize;
    (0..services.len()).map(move |place| &services[(first + place) % services.len()])
}

/// The attestation of a complete, successful reply; none for any other reply.
fn attestation(state: &RouteState, reply: &LeafReply) -> Option<Vec<u8>> {
    let whole = (200..=299).contains(&reply.head.status) && reply.rest.is_none();
    let attestation = reply.head.headers.get(state.dialect.attestation);
    attestation.filter(|attestation| whole && !attestation.is_empty()).map(<[u8]>::to_vec)
}

/// Sends the request to one leaf of each shard and merges the replies. At the soft deadline the
/// answer is sent with the parts received, once they reach the least share; outstanding attempts
/// are cancelled.
///
/// # Errors
/// A [`Refusal`] when the least share was not reached.
pub async fn gather(
    state: &Rc<RouteState>,
    route: &Route,
    shards: &ShardSet,
    request: &ForwardedRequest,
    caution: Caution,
) -> Result<MergedAnswer, Refusal> {
    let mut gathered = GatherState::new(state, route, shards, request);
    let fan_out = FanOut::new(state, route, gathered.gathering.spare(), caution);
    let mut running = FuturesUnordered::new();
    let mut waiting = rotated(&shards.services, state.draw());
    // When the request had been sent to all shards.
    let mut all_asked = None;
    let canary_time = canary_time(state, route);
    let mut canaries_until = state.clock.now().after(canary_time);
    let ask_for = |service| call_service(state, route, service, request, &fan_out);
    loop {
        // A request that may crash leaves is sent to a few canary leaves first.
        let now = state.clock.now();
        if now >= canaries_until && fan_out.room().is_some() {
            fan_out.canaries_are_late();
            canaries_until = now.after(canary_time);
        }
        if fan_out.room().is_none() {
            all_asked.get_or_insert(now);
        }
        let more = waiting.by_ref().take(fan_out.room().unwrap_or(usize::MAX));
        running.extend(more.map(ask_for));
        fan_out.set_pending(waiting.len());
        let (in_time, whole) = gathered.gathering.in_time();
        request.trail.gathered(in_time, whole);
        let GatherStep::WaitUntil(wake) = gathered.gathering.step(now) else {
            break;
        };
        let wake = match fan_out.room() {
            None => wake,
            Some(_) if fan_out.is_suspected() => wake.min(now.after(CANARY_WAIT)),
            Some(_) => wake.min(canaries_until),
        };
        gathered.soft_deadline_passed |= now >= gathered.soft_deadline;
        if gathered.gathering.is_overdue(now) && !fan_out.overdue.is_set() {
            fan_out.overdue.set();
        }
        monoio::select! {
            part = running.next() => if let Some(outcome) = part {
                gathered.add_part(state, outcome);
            },
            _ = sleep(state.clock.until(wake)) => {}
        }
    }
    let now = state.clock.now();
    drop(running);
    if let Some(asked) = all_asked.filter(|_| gathered.gathering.reaches_least_share()) {
        state.crashes.gathered(route, now.since(asked));
    }
    gathered.finish(now, request, fan_out.is_suspected())
}
