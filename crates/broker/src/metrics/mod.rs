//! Metrics of a broker and the endpoint that serves them.

mod endpoint;
mod labels;

use std::time::Duration;

use gingerkeel_domain::dispatch::Dispatcher;
use gingerkeel_domain::query::{AttemptKind, QueryOutcome};
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

pub use endpoint::serve;
pub use labels::ClassLabels;
use labels::{AttemptLabels, OutcomeLabels, WaitingLabels, attempt_kind, outcome_name};

/// Upper bound of the first latency bucket, in seconds.
const FIRST_BUCKET: f64 = 0.001;
/// Number of latency buckets; each bound is twice the previous one, up to 65 seconds.
const BUCKETS: u16 = 17;

/// Metrics of a broker, owned by its engine.
pub struct Metrics {
    registry: Registry,
    queries: Family<OutcomeLabels, Counter>,
    latency: Family<ClassLabels, Histogram>,
    leaf_requests: Family<AttemptLabels, Counter>,
    in_flight: Gauge,
    waiting: Family<WaitingLabels, Gauge>,
    ejections: Counter,
    revision: Gauge,
}

fn new_histogram() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BUCKET, 2.0, BUCKETS))
}

impl Metrics {
    /// Creates metrics with all values at zero.
    pub fn new() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("gingerkeel_broker"),
            queries: Family::default(),
            latency: Family::new_with_constructor(new_histogram),
            leaf_requests: Family::default(),
            in_flight: Gauge::default(),
            waiting: Family::default(),
            ejections: Counter::default(),
            revision: Gauge::default(),
        };
        metrics.register();
        metrics
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        let help = "Queries by service, class and outcome";
        registry.register("queries", help, self.queries.clone());
        let help = "Seconds from the arrival of a query to its outcome";
        registry.register("query_seconds", help, self.latency.clone());
        let help = "Requests to leaves, by what they were sent for";
        registry.register("leaf_requests", help, self.leaf_requests.clone());
        let help = "Queries that wait or run";
        registry.register("queries_in_flight", help, self.in_flight.clone());
        let help = "Queries that wait for admission, by service and priority";
        registry.register("queries_waiting", help, self.waiting.clone());
        let help = "Times that a replica was left out for doing badly";
        registry.register("ejections", help, self.ejections.clone());
        let help = "Revision of the configuration in force";
        registry.register("configuration_revision", help, self.revision.clone());
    }

    /// Counts a query by its outcome and observes its latency.
    pub fn query_ended(&self, labels: &ClassLabels, outcome: &QueryOutcome, latency: Duration) {
        let outcome = OutcomeLabels::new(labels, outcome_name(outcome));
        self.queries.get_or_create(&outcome).inc();
        self.latency.get_or_create(labels).observe(latency.as_secs_f64());
    }

    /// Counts a query whose caller disconnected.
    pub fn query_cancelled(&self, labels: &ClassLabels) {
        self.queries.get_or_create(&OutcomeLabels::new(labels, "cancelled")).inc();
    }

    /// Counts a request to a leaf.
    pub fn leaf_request(&self, kind: AttemptKind) {
        self.leaf_requests.get_or_create(&AttemptLabels { kind: attempt_kind(kind) }).inc();
    }

    /// Updates the gauges from the dispatcher and encodes all metrics in the OpenMetrics text
    /// format.
    pub fn render(&self, dispatcher: &Dispatcher) -> String {
        self.observe(dispatcher);
        let mut text = String::new();
        // Writing to a `String` cannot fail.
        let _ = encode(&mut text, &self.registry);
        text
    }

    fn observe(&self, dispatcher: &Dispatcher) {
        self.in_flight.set(gauge_value(dispatcher.active()));
        let revision = dispatcher.catalog().revision().0;
        self.revision.set(i64::try_from(revision).unwrap_or(i64::MAX));
        self.ejections.inc_by(dispatcher.ejections().saturating_sub(self.ejections.get()));
        for report in dispatcher.overload() {
            for class in report.classes {
                let service = report.service.to_string();
                let labels = WaitingLabels { service, priority: u32::from(class.priority) };
                self.waiting.get_or_create(&labels).set(i64::from(class.waiting));
            }
        }
    }
}

fn gauge_value(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}
