//! Answers that are merged from one leaf of each shard.

use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use gingerkeel_domain::forwarding::GreatestRecords;
use gingerkeel_domain::routes::{Route, ShardSet};
use monoio::time::sleep;

use super::attempt::{ForwardedRequest, LeafReply};
use super::attempts::{NoReply, ask};
use super::respond::{MergedAnswer, Refusal};
use super::state::RouteState;
use crate::stop::StopSignal;

/// When a caller is asked to come back after too many shards could not be asked.
const RETRY_AFTER: Duration = Duration::from_millis(200);

/// Share of the parts that tells how long the others may take: those of one request take alike.
const MOST_PARTS: f64 = 0.6;
/// Part of the time until most parts were in that the others may take longer.
const OVERDUE_FACTOR: f64 = 0.3;
/// Time besides that the others may take longer.
const OVERDUE_TIME: Duration = Duration::from_millis(6);

/// The parts of one answer.
struct Parts {
    whole: usize,
    failed: usize,
    attestations: Vec<Vec<u8>>,
    records: GreatestRecords,
}

impl Parts {
    fn settled(&self) -> usize {
        self.attestations.len() + self.failed
    }

    fn most_are_in(&self) -> bool {
        self.attestations.len() as f64 >= self.whole as f64 * MOST_PARTS
    }

    fn reach(&self, shards: &ShardSet) -> bool {
        let count = self.attestations.len();
        count > 0 && shards.least_share.reached_by(count, self.whole)
    }

    /// Whether the least share can still be reached.
    fn can_reach(&self, shards: &ShardSet) -> bool {
        let most = self.whole - self.failed;
        most > 0 && shards.least_share.reached_by(most, self.whole)
    }

    fn take(&mut self, state: &RouteState, outcome: Result<LeafReply, NoReply>) {
        let Ok(reply) = outcome else {
            self.failed += 1;
            return;
        };
        let headers = &reply.head.headers;
        let attestation = headers.get(state.dialect.attestation);
        let whole = (200..=299).contains(&reply.head.status) && reply.rest.is_none();
        match attestation.filter(|attestation| whole && !attestation.is_empty()) {
            Some(attestation) => {
                self.attestations.push(attestation.to_vec());
                self.records.add(&reply.body);
            }
            None => self.failed += 1,
        }
    }
}

/// Asks one leaf of each shard and merges what comes. At the route's target latency the answer
/// leaves with the parts that are in, once they reach the least share; what is still on its way
/// is cancelled.
///
/// # Errors
/// A [`Refusal`] when the least share was not reached.
pub async fn gather(
    state: &Rc<RouteState>,
    route: &Route,
    shards: &ShardSet,
    request: &ForwardedRequest,
) -> Result<MergedAnswer, Refusal> {
    let mut parts = Parts {
        whole: shards.services.len(),
        failed: 0,
        attestations: Vec::new(),
        records: GreatestRecords::new(shards.greatest as usize),
    };
    request.trail.gathered(0, parts.whole);
    let overdue = StopSignal::new();
    let mut overdue_at: Option<Instant> = None;
    let mut running = FuturesUnordered::new();
    for service in &shards.services {
        running.push(ask(state, route, service, request, &overdue));
    }
    let margin = Duration::from_millis(state.settings.answer_margin_ms.into());
    let target = Duration::from_millis(route.target_latency_ms).saturating_sub(margin);
    let soft = (request.received + target).min(request.deadline);
    loop {
        let now = Instant::now();
        if now < soft {
            request.trail.gathered(parts.attestations.len(), parts.whole);
        }
        if parts.settled() == parts.whole || !parts.can_reach(shards) {
            break;
        }
        if now >= request.deadline || (now >= soft && parts.reach(shards)) {
            break;
        }
        if overdue_at.is_some_and(|at| now >= at) && !overdue.is_given() {
            overdue.give();
        }
        let pending = overdue_at.filter(|_| !overdue.is_given());
        let wake = if now >= soft { request.deadline } else { soft };
        let wake = pending.map_or(wake, |at| at.min(wake));
        monoio::select! {
            part = running.next() => if let Some(outcome) = part {
                parts.take(state, outcome);
                if overdue_at.is_none() && parts.most_are_in() {
                    overdue_at = Some(Instant::now() + request.received.elapsed().mul_f64(OVERDUE_FACTOR) + OVERDUE_TIME);
                }
            },
            _ = sleep(wake.saturating_duration_since(now)) => {}
        }
    }
    drop(running);
    finish(shards, parts, request)
}

fn finish(
    shards: &ShardSet,
    parts: Parts,
    request: &ForwardedRequest,
) -> Result<MergedAnswer, Refusal> {
    let missing = parts.whole - parts.attestations.len();
    if !parts.reach(shards) {
        // A repeatable request may be sent again, whatever has run of it.
        let over = Instant::now() >= request.deadline;
        return Err(match over {
            true => Refusal::TimedOut,
            false => Refusal::NotRun { retry_after: RETRY_AFTER },
        });
    }
    let records = parts.records.into_bytes();
    Ok(MergedAnswer { attestations: parts.attestations, missing, records })
}
