//! Detection of requests that crash leaves: what this broker knows of them and reports to others.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use gingerkeel_domain::crash_suspects::{
    AbandonedRequests, CanaryHeadroom, Caution, CrashFinding, CrashSuspects, InFlightAttempt,
    LeafEnd, RequestDigest, SendPolicy, Verdict,
};
use gingerkeel_domain::identifiers::LeafIdentity;
use gingerkeel_domain::routes::{Destination, Route};
use gingerkeel_domain::time::Timestamp;
use gingerkeel_transport::Clock;
use local_sync::mpsc::unbounded::Tx;
use local_sync::oneshot;
use monoio::time::timeout;
use rand::Rng;
use tracing::{info, warn};
use xxhash_rust::xxh3::Xxh3;

use super::attempt::ForwardedRequest;
use super::route_metrics::RouteMetrics;
use crate::route_reports::CrashReport;

/// Timeout of asking the control tier for a trial.
const TRIAL_LIMIT: Duration = Duration::from_secs(1);
/// Retry-after if no trial was granted.
const TRIAL_PAUSE: Duration = Duration::from_secs(30);
/// Upper limit of retry-after: an operator may release the request earlier than its refusal
/// expires.
const LONGEST_WAIT: Duration = Duration::from_secs(300);

/// Watches for requests that crash leaves.
pub struct CrashWatch {
    clock: Clock,
    suspects: RefCell<CrashSuspects>,
    /// Observed answer times of each route to many shards.
    rooms: RefCell<BTreeMap<String, CanaryHeadroom>>,
    /// Routes whose requests all go to canary leaves first, regardless of latency.
    canary_routes: RefCell<BTreeSet<String>>,
    findings: Tx<CrashReport>,
    /// Recently abandoned requests: their leaves may still end under them.
    given_up: RefCell<AbandonedRequests>,
    /// Requests that wait for a trial, by ticket.
    trials: RefCell<BTreeMap<u64, oneshot::Sender<bool>>>,
    /// Whether there is a link to a control process.
    linked: Cell<bool>,
}

impl CrashWatch {
    /// Creates a watch without suspects that sends its findings to `findings`.
    pub fn new(clock: Clock, findings: Tx<CrashReport>) -> Self {
        Self {
            clock,
            suspects: RefCell::default(),
            rooms: RefCell::default(),
            canary_routes: RefCell::default(),
            findings,
            given_up: RefCell::default(),
            trials: RefCell::default(),
            linked: Cell::default(),
        }
    }

    /// Caution for a request that is not suspected. One to many shards goes to canary leaves first
    /// if the target latency leaves time for it: that a request crashes leaves is not known until
    /// it has, and without canaries it would crash a leaf of each shard.
    pub fn default_caution(&self, route: &Route) -> Caution {
        let Destination::Shards(_) = route.destination else {
            return Caution::None;
        };
        let target = Duration::from_millis(route.target_latency_ms);
        let rooms = self.rooms.borrow();
        let unknown = CanaryHeadroom::default();
        match rooms.get(&route.name).unwrap_or(&unknown).is_enough(target) {
            true => Caution::Canary,
            false => Caution::None,
        }
    }

    /// Records how long after the request was sent to all shards its answer was complete enough to
    /// be sent.
    pub fn gathered(&self, route: &Route, took: Duration) {
        let mut rooms = self.rooms.borrow_mut();
        if !rooms.contains_key(&route.name) {
            rooms.insert(route.name.clone(), CanaryHeadroom::default());
        }
        if let Some(room) = rooms.get_mut(&route.name) {
            room.observe(took);
        }
    }

    /// How long a request is still refused; none if it may be sent or a trial is due.
    pub fn refusal_left(&self, route: &Route, request: &ForwardedRequest) -> Option<Duration> {
        let now = self.clock.now();
        match self.treatment(now, route, request) {
            SendPolicy::Refused { until } => Some(until.since(now).min(LONGEST_WAIT)),
            _ => None,
        }
    }

    /// Caution with which a request is to be sent: `default`, unless leaves have ended under it or
    /// requests like it. If a trial is due, waits for the decision of the control tier.
    ///
    /// # Errors
    /// The retry-after of a refused request.
    pub async fn caution(
        &self,
        route: &Route,
        request: &ForwardedRequest,
        default: Caution,
    ) -> Result<Caution, Duration> {
        let now = self.clock.now();
        match self.treatment(now, route, request) {
            SendPolicy::Unrestricted => Ok(default),
            SendPolicy::Canary => Ok(Caution::Canary),
            SendPolicy::Suspected => Ok(Caution::OneAtATime),
            SendPolicy::Refused { until } => Err(until.since(now).min(LONGEST_WAIT)),
            SendPolicy::TrialDue if self.is_trial_granted(request).await => Ok(Caution::Trial),
            SendPolicy::TrialDue => Err(self.refusal_left(route, request).unwrap_or(TRIAL_PAUSE)),
        }
    }

    fn treatment(&self, now: Timestamp, route: &Route, request: &ForwardedRequest) -> SendPolicy {
        let query =
            |suspects: &mut CrashSuspects, digest| suspects.send_policy(now, &route.name, digest);
        self.with_suspects(request, query).unwrap_or(SendPolicy::Unrestricted)
    }

    /// Queries the suspects for a request. None while there are no suspects, which saves the cost
    /// of the digest.
    fn with_suspects<T>(
        &self,
        request: &ForwardedRequest,
        query: impl FnOnce(&mut CrashSuspects, RequestDigest) -> T,
    ) -> Option<T> {
        let mut suspects = self.suspects.borrow_mut();
        (!suspects.is_empty()).then(|| query(&mut suspects, request.digest()))
    }

    /// Reports a finding, or asks for a trial with this number.
    fn report(&self, finding: CrashFinding, trial: Option<u64>) {
        // The feed lives as long as the process.
        let _ = self.findings.send(CrashReport { at: self.clock.now(), finding, trial });
    }

    /// Asks the control tier for a trial.
    async fn is_trial_granted(&self, request: &ForwardedRequest) -> bool {
        let now = self.clock.now();
        let Some(finding) = self.suspects.borrow().refusal(now, request.digest()) else {
            return false;
        };
        // The report expires with its finding, which is as long as the answer is waited for.
        let finding = CrashFinding { for_ms: TRIAL_LIMIT.as_millis() as u32, ..finding };
        let ticket = rand::rng().random();
        let (answer, answered) = oneshot::channel();
        self.trials.borrow_mut().insert(ticket, answer);
        self.report(finding.clone(), Some(ticket));
        let granted = timeout(TRIAL_LIMIT, answered).await;
        self.trials.borrow_mut().remove(&ticket);
        let granted = matches!(granted, Ok(Ok(true)));
        info!(event = "crash_trial_asked", route = finding.route, digest = %finding.digest, granted);
        granted
    }

    /// Delivers the control tier's decision on a trial.
    pub fn trial_answered(&self, ticket: u64, granted: bool) {
        if let Some(waiting) = self.trials.borrow_mut().remove(&ticket) {
            // The caller may have left.
            let _ = waiting.send(granted);
        }
    }

    /// Applies findings of the control tier's replicated state.
    pub fn apply_recorded_findings(&self, findings: &[CrashFinding], is_whole: bool) {
        let now = self.clock.now();
        if self.suspects.borrow_mut().recorded(now, findings, is_whole) {
            findings.iter().for_each(|finding| log_finding(finding, "control"));
        }
    }

    /// Reports unrecorded refusals on a new link to a control process.
    pub fn link_up(&self) {
        self.linked.set(true);
        self.report_unrecorded();
    }

    /// Handles the loss of the link to the control process.
    pub fn link_down(&self) {
        self.linked.set(false);
    }

    /// Reports again the refusals that the control tier has not recorded. A control process may
    /// have ended, or may have found no leader for too long, before it had a report recorded.
    pub fn report_unrecorded(&self) {
        if !self.linked.get() {
            return;
        }
        let unrecorded = self.suspects.borrow().unrecorded(self.clock.now());
        unrecorded.into_iter().for_each(|finding| self.report(finding, None));
    }

    /// Whether a request must not be sent to any leaf, as this or another broker found.
    pub fn is_refused(&self, request: &ForwardedRequest) -> bool {
        let now = self.clock.now();
        self.with_suspects(request, |suspects, digest| suspects.is_refused(now, digest))
            .unwrap_or(false)
    }

    /// Records an attempt that was abandoned while in flight.
    pub fn given_up(&self, under_way: InFlightAttempt) {
        self.given_up.borrow_mut().add(self.clock.now(), under_way);
    }

    /// Takes the leaves to probe, at which unanswered requests were abandoned.
    pub fn take_due_checks(&self) -> BTreeSet<LeafIdentity> {
        self.given_up.borrow_mut().take_due_checks(self.clock.now())
    }

    /// Records that nothing listens at the address of a leaf: it has ended under the requests
    /// recently abandoned there.
    pub fn leaf_is_gone(&self, metrics: &RouteMetrics, leaf: &LeafIdentity) {
        let ended = self.given_up.borrow_mut().take_at(self.clock.now(), leaf);
        ended.iter().for_each(|under_way| self.leaf_ended(metrics, under_way));
    }

    /// Records that a leaf has ended under a request.
    pub fn leaf_ended(&self, metrics: &RouteMetrics, end: &InFlightAttempt) {
        let now = self.clock.now();
        metrics.leaf_ended(&end.route);
        warn!(
            event = "leaf_ended_under_request",
            request = end.request,
            route = end.route,
            digest = %end.digest,
            service = %end.service,
            leaf = %end.leaf,
            alone = end.alone
        );
        let end = LeafEnd {
            digest: end.digest,
            route: &end.route,
            leaf: &end.leaf,
            sent: end.sent,
            alone: end.alone,
        };
        let finding = self.suspects.borrow_mut().leaf_ended(now, end);
        if let Some(finding) = finding {
            log_finding(&finding, "own");
            self.report(finding, None);
        }
    }

    /// Records that a leaf has replied to a request, which clears its suspicion.
    pub fn replied(&self, request: &ForwardedRequest) {
        let Some(held) = self.with_suspects(request, CrashSuspects::replied).flatten() else {
            return;
        };
        info!(event = "crash_suspicion_cleared", digest = %held.digest);
        if held.verdict == Verdict::Cleared {
            self.report(held, None);
        }
    }

    /// Applies findings of other brokers.
    pub fn apply_peer_findings(&self, findings: &[CrashFinding]) {
        let now = self.clock.now();
        for finding in findings {
            if self.suspects.borrow_mut().apply_finding(now, finding) {
                log_finding(finding, "told");
            }
        }
    }

    /// Updates the routes that send each request to canary leaves first because leaves have ended
    /// under their requests, and logs the changes.
    pub fn refresh_canary_routes(&self) {
        let current = self.suspects.borrow_mut().canary_routes(self.clock.now());
        let mut known = self.canary_routes.borrow_mut();
        for route in current.difference(&known) {
            warn!(event = "canaries_begin", route);
        }
        for route in known.difference(&current) {
            info!(event = "canaries_end", route);
        }
        *known = current;
    }

    /// Number of requests that are sent to no leaf.
    pub fn refused(&self) -> usize {
        self.suspects.borrow().refused()
    }

    /// Number of routes that send each request to canary leaves first because leaves have ended
    /// under their requests.
    pub fn canary_routes(&self) -> usize {
        self.canary_routes.borrow().len()
    }
}

/// Digest of method, host, target and body: equal in all retries of a request by any caller. The id
/// and the other header fields are left out.
pub fn request_digest(method: &str, host: &str, target: &str, body: &[u8]) -> RequestDigest {
    let mut hasher = Xxh3::new();
    for part in [method.as_bytes(), host.as_bytes(), target.as_bytes(), body] {
        hasher.update(&(part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    RequestDigest(hasher.digest())
}

fn log_finding(finding: &CrashFinding, source: &'static str) {
    warn!(
        event = "request_crashes_leaves",
        source,
        route = finding.route,
        digest = %finding.digest,
        leaves = finding.leaves,
        verdict = finding.verdict.as_str(),
        for_ms = finding.for_ms
    );
}
