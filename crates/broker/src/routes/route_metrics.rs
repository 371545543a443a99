//! Metrics of route serving, in bounded memory, and their HTTP endpoint.

use gingerkeel_domain::forwarding::{LoadReport, NOMINAL_PACE_PERCENT};
use std::time::Duration;

use bytes::Bytes;
use gingerkeel_domain::memory::CHECK_LIMITS;
use gingerkeel_transport::{
    ConnectionMemory, HttpRequest, HttpResponse, Limits, RequestHandler, RequestServer,
    text_response,
};
use http::{HeaderValue, StatusCode, header};
use monoio::net::TcpListener;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;
use std::rc::Rc;

use super::connection_metrics::ConnectionMetrics;
use super::state::RouteState;
use super::tenant_metrics::TenantMetrics;
use super::trail::AttemptReason;

/// Path of the metrics endpoint.
const PATH: &str = "/metrics";
/// Content type of the OpenMetrics text format.
const OPEN_METRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
/// Upper bound of the first latency bucket, in seconds.
const FIRST_BUCKET: f64 = 0.004;
/// Number of latency buckets; the bounds double, up to 16 seconds.
const BUCKETS: u16 = 13;

/// Labels by outcome of requests, or of attempts at leaves.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabels {
    outcome: &'static str,
}

/// Labels by reason of attempts.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReasonLabels {
    reason: &'static str,
}

/// Labels by load that leaves reported.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct LoadLabels {
    load: &'static str,
}

/// Labels by route.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RouteLabels {
    route: String,
}

/// Metrics of route serving.
pub struct RouteMetrics {
    registry: Registry,
    requests: Family<OutcomeLabels, Counter>,
    seconds: Histogram,
    missing_parts: Counter,
    leaf_requests: Family<ReasonLabels, Counter>,
    leaf_attempts: Family<OutcomeLabels, Counter>,
    extra_refused: Counter,
    slow_leaves: Counter,
    leaf_warnings: Counter,
    leaves_ended_under_requests: Family<RouteLabels, Counter>,
    requests_kept_from_leaves: Family<RouteLabels, Counter>,
    refused_requests: Gauge,
    canary_routes: Gauge,
    routes_version: Gauge,
    directory_version: Gauge,
    evacuated_zones: Gauge,
    rollouts: Gauge,
    trial_requests: Counter,
    cold_leaves: Gauge,
    load_reports: Family<LoadLabels, Counter>,
    tenants: TenantMetrics,
    connections: ConnectionMetrics,
}

impl Default for RouteMetrics {
    fn default() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("gingerkeel_routes"),
            requests: Family::default(),
            seconds: Histogram::new(exponential_buckets(FIRST_BUCKET, 2.0, BUCKETS)),
            missing_parts: Counter::default(),
            leaf_requests: Family::default(),
            leaf_attempts: Family::default(),
            extra_refused: Counter::default(),
            slow_leaves: Counter::default(),
            leaf_warnings: Counter::default(),
            leaves_ended_under_requests: Family::default(),
            requests_kept_from_leaves: Family::default(),
            refused_requests: Gauge::default(),
            canary_routes: Gauge::default(),
            routes_version: Gauge::default(),
            directory_version: Gauge::default(),
            evacuated_zones: Gauge::default(),
            rollouts: Gauge::default(),
            trial_requests: Counter::default(),
            cold_leaves: Gauge::default(),
            load_reports: Family::default(),
            tenants: TenantMetrics::default(),
            connections: ConnectionMetrics::default(),
        };
        metrics.register();
        metrics
    }
}

impl RouteMetrics {
    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register("requests", "Requests by outcome", self.requests.clone());
        let help = "Seconds from the arrival of a request to its answer";
        registry.register("request_seconds", help, self.seconds.clone());
        let help = "Parts that answers went out without";
        registry.register("missing_parts", help, self.missing_parts.clone());
        let help = "Requests to leaves, by why they were sent";
        registry.register("leaf_requests", help, self.leaf_requests.clone());
        let help = "Attempts at leaves that have ended, by outcome";
        registry.register("leaf_attempts", help, self.leaf_attempts.clone());
        let help =
            "Hedges and retries that were not sent because the budget of their service was spent";
        registry.register("extra_requests_refused", help, self.extra_refused.clone());
        let help = "Leaves that were reported to control as slow";
        registry.register("slow_leaves", help, self.slow_leaves.clone());
        let help = "Warnings of leaves that other brokers find slow";
        registry.register("leaf_warnings", help, self.leaf_warnings.clone());
        let help = "Leaves that ended while a request of the route was under way at them";
        let ended = self.leaves_ended_under_requests.clone();
        registry.register("leaves_ended_under_requests", help, ended);
        let help = "Requests that were refused because leaves had ended under their like";
        let kept = self.requests_kept_from_leaves.clone();
        registry.register("requests_kept_from_leaves", help, kept);
        let help = "Requests that are sent to no leaf because leaves have ended under them";
        registry.register("refused_requests", help, self.refused_requests.clone());
        let help =
            "Routes whose requests go to few leaves first because leaves have ended under them";
        registry.register("canary_routes", help, self.canary_routes.clone());
        let help = "Version of the configuration of routes in force";
        registry.register("routes_version", help, self.routes_version.clone());
        let help = "Version of the list of leaves in force";
        registry.register("directory_version", help, self.directory_version.clone());
        let help = "Zones that are evacuated";
        registry.register("evacuated_zones", help, self.evacuated_zones.clone());
        let help = "Roll-outs under way";
        registry.register("rollouts_under_way", help, self.rollouts.clone());
        let help = "Requests to leaves of versions that are rolled out and not known to be sound";
        registry.register("trial_requests", help, self.trial_requests.clone());
        let help = "Leaves that are cold";
        registry.register("cold_leaves", help, self.cold_leaves.clone());
        let help = "Reports of leaves about their load, by what they say";
        registry.register("load_reports", help, self.load_reports.clone());
        self.tenants.register(registry);
        self.connections.register(registry);
    }

    /// Counts a request that has ended, with the time it was held and its missing parts.
    pub fn request_ended(&self, outcome: &'static str, held: Duration, missing: usize) {
        self.requests.get_or_create(&OutcomeLabels { outcome }).inc();
        self.seconds.observe(held.as_secs_f64());
        self.missing_parts.inc_by(missing as u64);
    }

    /// Counts slow leaves that were reported to control.
    pub fn slow_leaves_reported(&self, leaves: usize) {
        self.slow_leaves.inc_by(leaves as u64);
    }

    /// Counts leaf warnings that were received from control.
    pub fn leaf_warnings_received(&self, warnings: usize) {
        self.leaf_warnings.inc_by(warnings as u64);
    }

    /// Counts a leaf that ended while it had a request of this route in flight.
    pub fn leaf_ended(&self, route: &str) {
        let labels = RouteLabels { route: route.to_owned() };
        self.leaves_ended_under_requests.get_or_create(&labels).inc();
    }

    /// Counts a request that was refused because leaves had ended under requests like it.
    pub fn kept_from_leaves(&self, route: &str) {
        let labels = RouteLabels { route: route.to_owned() };
        self.requests_kept_from_leaves.get_or_create(&labels).inc();
    }

    /// Counts a request sent to a leaf whose version is on trial.
    pub fn sent_on_trial(&self) {
        self.trial_requests.inc();
    }

    /// Counts a load report of a leaf.
    pub fn load_reported(&self, report: LoadReport) {
        let load = match report {
            LoadReport { waiting: 1.., .. } => "queued",
            LoadReport { pace_percent, .. } if pace_percent > NOMINAL_PACE_PERCENT => "disturbed",
            _ => "usual",
        };
        self.load_reports.get_or_create(&LoadLabels { load }).inc();
    }

    /// Counts the start of an attempt.
    pub fn attempt_started(&self, reason: AttemptReason) {
        let reason = reason.as_str();
        self.leaf_requests.get_or_create(&ReasonLabels { reason }).inc();
    }

    /// Counts a hedge or retry that the budget of its service did not allow.
    pub fn extra_refused(&self) {
        self.extra_refused.inc();
    }

    /// Counts the outcome of an attempt.
    pub fn attempt_ended(&self, outcome: &'static str) {
        self.leaf_attempts.get_or_create(&OutcomeLabels { outcome }).inc();
    }

    fn render(&self, state: &RouteState) -> String {
        let version = state.table().map_or(0, |table| table.version().0);
        self.routes_version.set(version as i64);
        self.directory_version.set(state.leaves.version() as i64);
        self.evacuated_zones.set(state.leaves.evacuated_zones() as i64);
        self.rollouts.set(state.rollouts.under_way() as i64);
        self.refused_requests.set(state.crashes.refused() as i64);
        self.canary_routes.set(state.crashes.canary_routes() as i64);
        self.cold_leaves.set(state.leaves.cold_leaves() as i64);
        self.tenants.set(&state.quotas.counts());
        self.connections.set(&state.memory.usage());
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}

/// Serves the metrics; never returns.
pub async fn serve(listener: TcpListener, state: Rc<RouteState>) {
    let memory = ConnectionMemory::new("route_metrics", state.clock, CHECK_LIMITS);
    let server = RequestServer::new("route_metrics", Limits::default(), memory);
    server.serve(listener, MetricsHandler { state }).await;
}

struct MetricsHandler {
    state: Rc<RouteState>,
}

impl RequestHandler for MetricsHandler {
    async fn answer(&self, request: HttpRequest) -> HttpResponse {
        if request.uri().path() != PATH {
            return text_response(StatusCode::NOT_FOUND, "unknown path: GET /metrics\n");
        }
        let mut response = HttpResponse::new(Bytes::from(self.state.metrics.render(&self.state)));
        let kind = HeaderValue::from_static(OPEN_METRICS);
        response.headers_mut().insert(header::CONTENT_TYPE, kind);
        response
    }
}
