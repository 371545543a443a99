//! Settings of a process of stand-in leaves.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use gingerkeel_settings::{Check, SettingsError, Validate};
use serde::{Deserialize, Serialize};

/// Settings of a process.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeafProcessSettings {
    /// File to which each request that runs is appended; none for stand-in leaves.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub journal: Option<PathBuf>,
    /// Seed of service times and of the choice of disturbed replies.
    #[serde(default)]
    pub seed: u64,
    /// One-way delay to brokers that `broker_delay_ms` does not name.
    #[serde(default)]
    pub delay_ms: f64,
    /// One-way delay by broker name.
    #[serde(default)]
    pub broker_delay_ms: BTreeMap<String, f64>,
    /// The leaves.
    pub leaves: Vec<LeafSettings>,
}

/// Settings of one leaf.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeafSettings {
    /// Number in the catalog.
    pub id: u32,
    /// Address on which requests are taken.
    pub listen: SocketAddr,
    /// Requests that run at the same time.
    #[serde(default = "default_slots")]
    pub slots: usize,
    /// Requests that wait for a slot; more are shed.
    #[serde(default = "default_queue")]
    pub queue: usize,
    /// Connections that are held; more are closed at once.
    #[serde(default = "default_connections")]
    pub connections: usize,
    /// Median of the service time.
    #[serde(default = "default_service_ms")]
    pub service_ms: f64,
    /// Standard deviation of the logarithm of the service time.
    #[serde(default = "default_sigma")]
    pub sigma: f64,
    /// Share of requests whose service time comes from the Pareto tail.
    #[serde(default = "default_tail_share")]
    pub tail_share: f64,
    /// Shape of the Pareto tail; smaller is heavier.
    #[serde(default = "default_tail_shape")]
    pub tail_shape: f64,
    /// Requests after the start that are slow.
    #[serde(default)]
    pub cold_requests: u64,
    /// How many times slower they are.
    #[serde(default = "default_cold_factor")]
    pub cold_factor: f64,
    /// Index versions that are held; all when absent.
    #[serde(default)]
    pub versions: Option<Vec<u64>>,
    /// Partition epochs that are held; all when absent.
    #[serde(default)]
    pub epochs: Option<Vec<u64>>,
    /// Age up to which the health endpoint repeats what it said before.
    #[serde(default)]
    pub health_lag_ms: u64,
}

impl LeafSettings {
    /// A leaf with the defaults of a settings file.
    pub fn new(id: u32, listen: SocketAddr) -> Self {
        Self {
            id,
            listen,
            slots: default_slots(),
            queue: default_queue(),
            connections: default_connections(),
            service_ms: default_service_ms(),
            sigma: default_sigma(),
            tail_share: default_tail_share(),
            tail_shape: default_tail_shape(),
            cold_requests: 0,
            cold_factor: default_cold_factor(),
            versions: None,
            epochs: None,
            health_lag_ms: 0,
        }
    }
}

fn default_slots() -> usize {
    5
}

fn default_queue() -> usize {
    20
}

fn default_connections() -> usize {
    75
}

fn default_service_ms() -> f64 {
    5.0
}

fn default_sigma() -> f64 {
    0.4
}

fn default_tail_share() -> f64 {
    0.01
}

fn default_tail_shape() -> f64 {
    1.5
}

fn default_cold_factor() -> f64 {
    3.0
}

/// One-way delays between this process and brokers.
#[derive(Debug, Clone)]
pub struct Delays {
    default: Duration,
    by_broker: BTreeMap<String, Duration>,
}

impl Delays {
    /// The delay to the broker that made a request identifier: `{broker}-{run}-{query}-{shard}-{attempt}`.
    pub fn of_request(&self, request: &str) -> Duration {
        let broker = request.rsplitn(5, '-').last().unwrap_or_default();
        self.by_broker.get(broker).copied().unwrap_or(self.default)
    }
}

impl LeafProcessSettings {
    /// A process without delays.
    pub fn new(journal: Option<PathBuf>, leaves: Vec<LeafSettings>) -> Self {
        Self { journal, seed: 0, delay_ms: 0.0, broker_delay_ms: BTreeMap::new(), leaves }
    }

    /// The delays to brokers.
    pub fn delays(&self) -> Delays {
        let by_broker = self
            .broker_delay_ms
            .iter()
            .map(|(broker, delay)| (broker.clone(), milliseconds(*delay)))
            .collect();
        Delays { default: milliseconds(self.delay_ms), by_broker }
    }
}

/// A span of milliseconds that may be a fraction.
pub fn milliseconds(milliseconds: f64) -> Duration {
    Duration::try_from_secs_f64(milliseconds / 1000.0).unwrap_or_default()
}

impl Validate for LeafProcessSettings {
    fn validate(&self, check: &mut Check<'_>) -> Result<(), SettingsError> {
        let remedy = "use milliseconds from 0 to 10000";
        check.field("delay_ms", self.delay_ms, is_delay(self.delay_ms), remedy)?;
        for (broker, delay) in &self.broker_delay_ms {
            let field = format!("broker_delay_ms.{broker}");
            check.field(&field, delay, is_delay(*delay), remedy)?;
        }
        check.field("leaves", "[]", !self.leaves.is_empty(), "name at least one leaf")?;
        self.leaves.iter().try_for_each(|leaf| leaf.validate(check))
    }
}

impl Validate for LeafSettings {
    fn validate(&self, check: &mut Check<'_>) -> Result<(), SettingsError> {
        check.field("slots", self.slots, self.slots > 0, "use a number from 1")?;
        check.field(
            "connections",
            self.connections,
            self.connections > 0,
            "use a number from 1",
        )?;
        let service_ms = self.service_ms;
        let remedy = "use milliseconds above 0, at most 10000";
        check.field("service_ms", service_ms, service_ms > 0.0 && is_delay(service_ms), remedy)?;
        let accepted = (0.0..=5.0).contains(&self.sigma);
        check.field("sigma", self.sigma, accepted, "use a number from 0 to 5")?;
        let accepted = (0.0..=1.0).contains(&self.tail_share);
        check.field("tail_share", self.tail_share, accepted, "use a share from 0 to 1")?;
        let accepted = self.tail_shape > 0.0 && self.tail_shape.is_finite();
        check.field("tail_shape", self.tail_shape, accepted, "use a number above 0")?;
        let accepted = (1.0..=1000.0).contains(&self.cold_factor);
        check.field("cold_factor", self.cold_factor, accepted, "use a number from 1 to 1000")
    }
}

fn is_delay(milliseconds: f64) -> bool {
    (0.0..=10_000.0).contains(&milliseconds)
}
