//! Metrics of the callers' connections and of the memory that they hold.

use gingerkeel_transport::MemoryUsage;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Metrics of the callers' connections.
#[derive(Default)]
pub struct ConnectionMetrics {
    open: Gauge,
    charged: Gauge,
    limit: Gauge,
    evicted: Counter,
    refused: Counter,
}

impl ConnectionMetrics {
    /// Registers all of them.
    pub fn register(&self, registry: &mut Registry) {
        registry.register("open_connections", "Open connections of callers", self.open.clone());
        let help = "Bytes charged for the connections of callers";
        registry.register("connection_memory_bytes", help, self.charged.clone());
        let help = "Maximum of the bytes charged for the connections of callers";
        registry.register("connection_memory_limit_bytes", help, self.limit.clone());
        let help = "Connections of callers closed to make room for others";
        registry.register("connections_evicted", help, self.evicted.clone());
        let help = "Messages and connections of callers refused for lack of room";
        registry.register("connection_memory_refusals", help, self.refused.clone());
    }

    /// Sets all of them.
    pub fn set(&self, usage: &MemoryUsage) {
        self.open.set(usage.open as i64);
        self.charged.set(usage.charged as i64);
        self.limit.set(usage.limit as i64);
        self.evicted.inc_by(usage.evicted.saturating_sub(self.evicted.get()));
        self.refused.inc_by(usage.refused.saturating_sub(self.refused.get()));
    }
}
