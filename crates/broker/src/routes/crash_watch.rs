//! The requests under which leaves have ended, as this broker holds them, and what it tells others of them.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use gingerkeel_domain::crash_suspects::{
    CanaryRoom, Caution, CrashFinding, CrashSuspects, LeafEnd, RequestDigest, Treatment,
};
use gingerkeel_domain::identifiers::{LeafIdentity, ServiceName};
use gingerkeel_domain::routes::{Destination, Route};
use gingerkeel_domain::time::Timestamp;
use gingerkeel_transport::Clock;
use local_sync::mpsc::unbounded::Tx;
use tracing::{info, warn};
use xxhash_rust::xxh3::Xxh3;

use super::attempt::ForwardedRequest;
use super::route_metrics::RouteMetrics;
use crate::route_reports::FoundCrash;

/// A leaf that ended while a request was under way at it.
pub struct EndedLeaf<'end> {
    /// Its service.
    pub service: &'end ServiceName,
    /// The leaf.
    pub leaf: &'end LeafIdentity,
    /// When the request was sent to it.
    pub sent: Timestamp,
    /// Whether the request was under way at no other leaf meanwhile.
    pub alone: bool,
}

/// Watches for requests that crash leaves.
pub struct CrashWatch {
    clock: Clock,
    suspects: RefCell<CrashSuspects>,
    /// What the answers of each route to many shards usually take.
    rooms: RefCell<BTreeMap<String, CanaryRoom>>,
    /// Routes whose requests all go to few leaves first, however long they take.
    canary_routes: RefCell<BTreeSet<String>>,
    findings: Tx<FoundCrash>,
}

impl CrashWatch {
    /// Nothing is held of any request; what is found goes to `findings`.
    pub fn new(clock: Clock, findings: Tx<FoundCrash>) -> Self {
        Self {
            clock,
            suspects: RefCell::default(),
            rooms: RefCell::default(),
            canary_routes: RefCell::default(),
            findings,
        }
    }

    /// How carefully a request of a route is sent of which nothing speaks for caution. One to many shards goes to
    /// few leaves first, where there is time for it: nobody knows of a request that it crashes leaves until it
    /// has, and without this it takes a leaf of each shard with it.
    pub fn usual_caution(&self, route: &Route) -> Caution {
        let Destination::Shards(_) = route.destination else {
            return Caution::None;
        };
        let target = Duration::from_millis(route.target_latency_ms);
        let rooms = self.rooms.borrow();
        let unknown = CanaryRoom::default();
        match rooms.get(&route.name).unwrap_or(&unknown).is_enough(target) {
            true => Caution::Canary,
            false => Caution::None,
        }
    }

    /// An answer of a route was complete enough to leave so long after all its leaves had been asked.
    pub fn gathered(&self, route: &Route, took: Duration) {
        let mut rooms = self.rooms.borrow_mut();
        if !rooms.contains_key(&route.name) {
            rooms.insert(route.name.clone(), CanaryRoom::default());
        }
        if let Some(room) = rooms.get_mut(&route.name) {
            room.observe(took);
        }
    }

    /// How carefully a request is to be sent: as `usual`, unless leaves have ended under it or its like.
    ///
    /// # Errors
    /// The time until it may be sent again, while it is refused.
    pub fn caution(
        &self,
        route: &Route,
        request: &ForwardedRequest,
        usual: Caution,
    ) -> Result<Caution, Duration> {
        let suspects = self.suspects.borrow();
        if suspects.is_empty() {
            return Ok(usual);
        }
        let now = self.clock.now();
        match suspects.treatment(now, &route.name, request.digest()) {
            Treatment::Usual => Ok(usual),
            Treatment::Canary => Ok(Caution::Canary),
            Treatment::Suspected => Ok(Caution::OneAtATime),
            Treatment::Refused { until } => Err(until.since(now)),
        }
    }

    /// Whether a request is to be sent to nobody, as this or another broker found.
    pub fn is_refused(&self, request: &ForwardedRequest) -> bool {
        self.suspects.borrow().is_refused(self.clock.now(), request.digest())
    }

    /// A leaf has ended under a request.
    pub fn leaf_ended(
        &self,
        metrics: &RouteMetrics,
        route: &Route,
        request: &ForwardedRequest,
        end: &EndedLeaf<'_>,
    ) {
        let now = self.clock.now();
        let digest = request.digest();
        metrics.leaf_ended(&route.name);
        warn!(
            event = "leaf_ended_under_request",
            request = %String::from_utf8_lossy(&request.id),
            route = route.name,
            digest = %digest,
            service = %end.service,
            leaf = %end.leaf,
            alone = end.alone
        );
        let end = LeafEnd {
            digest,
            route: &route.name,
            leaf: end.leaf,
            sent: end.sent,
            alone: end.alone,
        };
        let finding = self.suspects.borrow_mut().leaf_ended(now, end);
        if let Some(finding) = finding {
            log_finding(&finding, "own");
            // The feed lives as long as the process.
            let _ = self.findings.send(FoundCrash { at: now, finding });
        }
    }

    /// A leaf has replied to a request.
    pub fn replied(&self, request: &ForwardedRequest) {
        let mut suspects = self.suspects.borrow_mut();
        if !suspects.is_empty() && suspects.replied(request.digest()) {
            info!(event = "crash_suspicion_cleared", digest = %request.digest());
        }
    }

    /// Other brokers' findings.
    pub fn told(&self, findings: &[CrashFinding], mut draw: impl FnMut() -> f64) {
        let now = self.clock.now();
        for finding in findings {
            if self.suspects.borrow_mut().told(now, finding, draw()) {
                log_finding(finding, "told");
            }
        }
    }

    /// Forgets what has ended, and logs which routes have begun or ceased to send each request to few leaves first
    /// because leaves have ended under their requests.
    pub fn look_at_routes(&self) {
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

    /// How many routes send each request to few leaves first because leaves have ended under their requests.
    pub fn canary_routes(&self) -> usize {
        self.canary_routes.borrow().len()
    }
}

/// What is the same in all tries of a request, whoever sends it: neither its id nor its other fields.
pub fn digest(method: &str, host: &str, target: &str, body: &[u8]) -> RequestDigest {
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
