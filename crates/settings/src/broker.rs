//! Settings of a broker.

use std::net::SocketAddr;

use serde::Deserialize;

use crate::{Check, SettingsError, Validate};

/// Settings of a broker.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BrokerSettings {
    /// Name of the broker, unique in the cluster.
    pub name: String,
    /// Region in which it runs.
    pub region: String,
    /// Zone in which it runs.
    pub zone: String,
    /// Address on which callers connect.
    pub listen: SocketAddr,
    /// Feed addresses of the control processes.
    pub control: Vec<SocketAddr>,
    /// Address on which metrics are read; none by default.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// Connections that callers may hold at the same time.
    #[serde(default = "default_caller_connections")]
    pub caller_connections: u32,
    /// Bytes of a caller's request body.
    #[serde(default = "default_body_bytes")]
    pub body_bytes: u32,
    /// Milliseconds from the first byte of a caller's request to its last.
    #[serde(default = "default_request_time_ms")]
    pub request_time_ms: u32,
    /// Milliseconds for which a caller's connection may lie idle between requests.
    #[serde(default = "default_idle_time_ms")]
    pub idle_time_ms: u32,
    /// Connections to one leaf.
    #[serde(default = "default_connections_per_leaf")]
    pub connections_per_leaf: u32,
    /// How queries are scheduled; `baseline` is for experiments.
    #[serde(default)]
    pub policy: PolicySetting,
    /// Seed of the random choices; by default drawn from the operating system.
    #[serde(default)]
    pub seed: Option<u64>,
}

/// How queries are scheduled.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum PolicySetting {
    /// Classes, measured replica choice, subsets and hedges.
    #[default]
    Standard,
    /// What experiments compare with: a random replica out of all, no hedge, no classes.
    Baseline,
}

fn default_caller_connections() -> u32 {
    4096
}

fn default_body_bytes() -> u32 {
    64 * 1024
}

fn default_request_time_ms() -> u32 {
    10_000
}

fn default_idle_time_ms() -> u32 {
    75_000
}

fn default_connections_per_leaf() -> u32 {
    16
}

impl Validate for BrokerSettings {
    fn validate(&self, check: &mut Check<'_>) -> Result<(), SettingsError> {
        check.name("name", &self.name)?;
        check.name("region", &self.region)?;
        check.name("zone", &self.zone)?;
        let control = format!("{:?}", self.control);
        let remedy = "name the feed address of at least one control process";
        check.field("control", control, !self.control.is_empty(), remedy)?;
        let connections = self.caller_connections;
        let remedy = "use a number from 1 to 100000";
        check.field(
            "caller_connections",
            connections,
            (1..=100_000).contains(&connections),
            remedy,
        )?;
        let accepted = (1..=16 * 1024 * 1024).contains(&self.body_bytes);
        check.field("body_bytes", self.body_bytes, accepted, "use a number from 1 to 16777216")?;
        let accepted = (1..=60_000).contains(&self.request_time_ms);
        let remedy = "use milliseconds from 1 to 60000";
        check.field("request_time_ms", self.request_time_ms, accepted, remedy)?;
        let accepted = (1..=3_600_000).contains(&self.idle_time_ms);
        let remedy = "use milliseconds from 1 to 3600000";
        check.field("idle_time_ms", self.idle_time_ms, accepted, remedy)?;
        if let Some(metrics) = self.metrics {
            let remedy = "use another address than that of callers";
            let distinct = metrics != self.listen || metrics.port() == 0;
            check.field("metrics", metrics, distinct, remedy)?;
        }
        let connections = self.connections_per_leaf;
        let accepted = (1..=1024).contains(&connections);
        check.field("connections_per_leaf", connections, accepted, "use a number from 1 to 1024")
    }
}
