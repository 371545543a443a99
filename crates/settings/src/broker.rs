//! Settings of a broker.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Deserialize;

use crate::process::{check_process_limits, default_memory_mb, default_open_files};
use crate::{Check, SettingsError, Validate};

/// Settings of a broker.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BrokerSettings {
    /// Broker name; unique in the cluster.
    pub name: String,
    /// Region of the broker.
    pub region: String,
    /// Zone of the broker.
    pub zone: String,
    /// Listen address for queries of callers.
    pub listen: SocketAddr,
    /// Feed addresses of the control processes.
    pub control: Vec<SocketAddr>,
    /// Listen address of the metrics endpoint. Disabled by default.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// Memory that the process may use, in MB. Half of it is for the connections of callers.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: u32,
    /// Descriptors that the process may have open. Three quarters of them are for the connections
    /// of callers.
    #[serde(default = "default_open_files")]
    pub open_files: u32,
    /// Maximum number of open caller connections.
    #[serde(default = "default_caller_connections")]
    pub caller_connections: u32,
    /// Maximum size of a request body, in bytes.
    #[serde(default = "default_body_bytes")]
    pub body_bytes: u32,
    /// Time limit for receiving a whole request, in milliseconds.
    #[serde(default = "default_request_time_ms")]
    pub request_time_ms: u32,
    /// Idle timeout of a caller connection between requests, in milliseconds.
    #[serde(default = "default_idle_time_ms")]
    pub idle_time_ms: u32,
    /// Maximum number of connections to one leaf.
    #[serde(default = "default_connections_per_leaf")]
    pub connections_per_leaf: u32,
    /// Scheduling policy of queries; `baseline` is for experiments.
    #[serde(default)]
    pub policy: PolicySetting,
    /// Whether to connect also to control processes that the feed lists. Disable this if brokers
    /// reach control processes at addresses other than those in the feed.
    #[serde(default)]
    pub learn_controls: bool,
    /// Maximum random delay before trying another control process, in milliseconds. Use a long
    /// delay with many brokers, so that those of a recovered region do not all reconnect at once.
    #[serde(default = "default_control_pause_ms")]
    pub control_pause_ms: u32,
    /// Seed of the random number generator. By default, the operating system provides a seed.
    #[serde(default)]
    pub seed: Option<u64>,
    /// Route settings. If missing, the broker serves queries only.
    #[serde(default)]
    pub routes: Option<RouteSettings>,
}

/// Settings for serving routes.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteSettings {
    /// Listen address for requests to routes.
    pub listen: SocketAddr,
    /// Listen address of the readiness endpoint. Disabled by default.
    #[serde(default)]
    pub readiness: Option<SocketAddr>,
    /// Listen address of the endpoint for route metrics. Disabled by default.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// One in this many requests with a complete answer in time is logged; 0 logs none of them.
    #[serde(default = "default_log_sample")]
    pub log_sample: u64,
    /// Maximum extra leaf requests (hedges and retries) as a fraction of requests, from 0 to 1.
    #[serde(default = "default_extra_ratio")]
    pub extra_ratio: f64,
    /// Window of the limit on extra leaf requests, in milliseconds.
    #[serde(default = "default_extra_window_ms")]
    pub extra_window_ms: u32,
    /// Extra leaf requests that all brokers together may send beyond that fraction.
    #[serde(default)]
    pub extra_slack: f64,
    /// Minimum time in milliseconds between the end of a leaf and the reuse of its address.
    #[serde(default = "default_address_reuse_ms")]
    pub address_reuse_ms: u32,
    /// Maximum time in milliseconds for which the directory still lists a leaf after its end.
    #[serde(default = "default_list_lag_ms")]
    pub list_lag_ms: u32,
    /// Minimum time in milliseconds between sending a partial answer and the target latency, to
    /// allow for the network delay to the caller.
    #[serde(default = "default_answer_margin_ms")]
    pub answer_margin_ms: u32,
    /// Maximum of the same margin, in milliseconds. The margin grows up to this value if the broker
    /// is slow to send its answers.
    #[serde(default = "default_longest_answer_margin_ms")]
    pub longest_answer_margin_ms: u32,
    /// Expected time in milliseconds to send an answer, until the broker has observations.
    #[serde(default = "default_first_delivery_ms")]
    pub first_delivery_ms: u32,
    /// Handling of requests while no control process confirms the configuration.
    #[serde(default)]
    pub out_of_touch: DisconnectedPolicy,
    /// Region of each zone. The broker prefers leaves in its own region.
    #[serde(default)]
    pub zone_regions: BTreeMap<String, String>,
    /// Expected time in milliseconds from the start until the broker is ready, reported to callers.
    #[serde(default = "default_start_ms")]
    pub start_ms: u32,
    /// Maximum time in milliseconds for which a request waits until the broker is ready; 0 refuses
    /// it immediately.
    #[serde(default = "default_start_wait_ms")]
    pub start_wait_ms: u32,
    /// Time limit for a graceful shutdown, in milliseconds.
    #[serde(default = "default_stop_ms")]
    pub stop_ms: u32,
    /// Window in which the requests of a tenant are counted against its quota, in milliseconds.
    #[serde(default = "default_quota_window_ms")]
    pub quota_window_ms: u32,
    /// Fraction by which a tenant's requests at all brokers together may exceed its quota in a
    /// window.
    #[serde(default = "default_quota_overshoot")]
    pub quota_overshoot: f64,
    /// Requests per window by which a tenant may exceed its quota in addition to that fraction.
    #[serde(default = "default_quota_slack")]
    pub quota_slack: f64,
}

/// Handling of route requests while no control process confirms the configuration.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum DisconnectedPolicy {
    /// Refuse requests as not executed, so that none is served by an outdated configuration.
    #[default]
    Refuse,
    /// Serve requests by the latest configuration received, never by an earlier one.
    Serve,
}

/// Scheduling policy of queries.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum PolicySetting {
    /// Priority classes, replica selection by measured latency, subsetting and hedging.
    #[default]
    Standard,
    /// Baseline of experiments: random replica selection, without subsetting, hedging and classes.
    Baseline,
}

fn default_control_pause_ms() -> u32 {
    2_000
}

fn default_start_ms() -> u32 {
    1_000
}

fn default_log_sample() -> u64 {
    64
}

fn default_extra_ratio() -> f64 {
    0.1
}

fn default_extra_window_ms() -> u32 {
    10_000
}

fn default_address_reuse_ms() -> u32 {
    2_000
}

fn default_list_lag_ms() -> u32 {
    10_000
}

fn default_answer_margin_ms() -> u32 {
    15
}

fn default_longest_answer_margin_ms() -> u32 {
    60
}

fn default_first_delivery_ms() -> u32 {
    1
}

fn default_start_wait_ms() -> u32 {
    1_000
}

fn default_stop_ms() -> u32 {
    6_000
}

/// Fifty intervals of 100 ms at which brokers report quota usage, so that the requests admitted
/// before a report arrives are a small part of the window.
fn default_quota_window_ms() -> u32 {
    5_000
}

/// Allows for requests admitted during the reporting delay to a tenant that sends several times its
/// quota.
fn default_quota_overshoot() -> f64 {
    0.1
}

/// Two requests at each of five brokers without reports from each other.
fn default_quota_slack() -> f64 {
    10.0
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
        check_process_limits(check, self.memory_mb, self.open_files)?;
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
        let remedy = "use at most a sixth of memory_mb, so that there is room for a whole body";
        let memory_bytes = u64::from(self.memory_mb) * 1024 * 1024;
        let fits = u64::from(self.body_bytes) * 6 <= memory_bytes;
        check.field("body_bytes", self.body_bytes, fits, remedy)?;
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
        let pause = self.control_pause_ms;
        let accepted = (1..=600_000).contains(&pause);
        check.field("control_pause_ms", pause, accepted, "use milliseconds from 1 to 600000")?;
        let accepted = (1..=1024).contains(&connections);
        check.field(
            "connections_per_leaf",
            connections,
            accepted,
            "use a number from 1 to 1024",
        )?;
        self.routes.as_ref().map_or(Ok(()), |routes| routes.validate(check))
    }
}

impl Validate for RouteSettings {
    fn validate(&self, check: &mut Check<'_>) -> Result<(), SettingsError> {
        let accepted = (0.0..=1.0).contains(&self.extra_ratio);
        check.field("routes.extra_ratio", self.extra_ratio, accepted, "use a share from 0 to 1")?;
        let accepted = (100..=600_000).contains(&self.extra_window_ms);
        let remedy = "use milliseconds from 100 to 600000";
        check.field("routes.extra_window_ms", self.extra_window_ms, accepted, remedy)?;
        let accepted = self.extra_slack >= 0.0 && self.extra_slack.is_finite();
        check.field("routes.extra_slack", self.extra_slack, accepted, "use a number from 0")?;
        let accepted = (1..=600_000).contains(&self.address_reuse_ms);
        let remedy = "use milliseconds from 1 to 600000";
        check.field("routes.address_reuse_ms", self.address_reuse_ms, accepted, remedy)?;
        let accepted = (self.address_reuse_ms..=600_000).contains(&self.list_lag_ms);
        let remedy = "use milliseconds from routes.address_reuse_ms to 600000";
        check.field("routes.list_lag_ms", self.list_lag_ms, accepted, remedy)?;
        let accepted = self.answer_margin_ms <= 10_000;
        let remedy = "use milliseconds up to 10000";
        check.field("routes.answer_margin_ms", self.answer_margin_ms, accepted, remedy)?;
        let longest = self.longest_answer_margin_ms;
        let accepted = (self.answer_margin_ms..=10_000).contains(&longest);
        let remedy = "use milliseconds from routes.answer_margin_ms to 10000";
        check.field("routes.longest_answer_margin_ms", longest, accepted, remedy)?;
        let first = self.first_delivery_ms;
        let accepted = first <= longest;
        let remedy = "use milliseconds up to routes.longest_answer_margin_ms";
        check.field("routes.first_delivery_ms", first, accepted, remedy)?;
        let accepted = self.start_ms <= 600_000;
        let remedy = "use milliseconds up to 600000";
        check.field("routes.start_ms", self.start_ms, accepted, remedy)?;
        let accepted = self.start_wait_ms <= 60_000;
        let remedy = "use milliseconds up to 60000";
        check.field("routes.start_wait_ms", self.start_wait_ms, accepted, remedy)?;
        let accepted = (100..=600_000).contains(&self.stop_ms);
        let remedy = "use milliseconds from 100 to 600000";
        check.field("routes.stop_ms", self.stop_ms, accepted, remedy)?;
        let accepted = (100..=600_000).contains(&self.quota_window_ms);
        let remedy = "use milliseconds from 100 to 600000";
        check.field("routes.quota_window_ms", self.quota_window_ms, accepted, remedy)?;
        let accepted = (0.0..=10.0).contains(&self.quota_overshoot);
        let remedy = "use a share from 0 to 10";
        check.field("routes.quota_overshoot", self.quota_overshoot, accepted, remedy)?;
        let accepted = self.quota_slack >= 0.0 && self.quota_slack.is_finite();
        check.field("routes.quota_slack", self.quota_slack, accepted, "use a number from 0")
    }
}
