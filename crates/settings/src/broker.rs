//! Settings of a broker.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Deserialize;

use crate::{Check, SettingsError, Validate};

/// Settings of a broker.
#[derive(Debug, Clone, PartialEq, Deserialize)]
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
    /// Whether control processes that the feed names are tried, too. Off where brokers reach them by
    /// other addresses than those that they know of themselves.
    #[serde(default)]
    pub learn_controls: bool,
    /// Most milliseconds before another control process is tried. Many brokers want a long time,
    /// so that those of a region that heals do not come at the same moment.
    #[serde(default = "default_control_pause_ms")]
    pub control_pause_ms: u32,
    /// Seed of the random choices; by default drawn from the operating system.
    #[serde(default)]
    pub seed: Option<u64>,
    /// Serving of routes; none when the broker answers queries only.
    #[serde(default)]
    pub routes: Option<RouteSettings>,
}

/// How a broker serves routes.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteSettings {
    /// Address on which callers of routes connect.
    pub listen: SocketAddr,
    /// Address on which readiness is asked for; none when nobody asks.
    #[serde(default)]
    pub readiness: Option<SocketAddr>,
    /// Address on which the metrics of routes are read; none by default.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// Of requests answered whole and in time, one in so many is logged; 0 logs none of them.
    #[serde(default = "default_log_sample")]
    pub log_sample: u64,
    /// Extra leaf requests (hedges and retries) as a share of requests, from 0 to 1.
    #[serde(default = "default_extra_ratio")]
    pub extra_ratio: f64,
    /// Milliseconds of the window in which extra leaf requests are counted.
    #[serde(default = "default_extra_window_ms")]
    pub extra_window_ms: u32,
    /// Extra leaf requests of all brokers together beyond the share.
    #[serde(default)]
    pub extra_slack: f64,
    /// Milliseconds after the end of a leaf from which on another one may have its address.
    #[serde(default = "default_address_reuse_ms")]
    pub address_reuse_ms: u32,
    /// Milliseconds for which the list of leaves goes on naming one that has ended, at most.
    #[serde(default = "default_list_lag_ms")]
    pub list_lag_ms: u32,
    /// Milliseconds before the target latency at which an answer with parts missing leaves at the
    /// latest: what the way to the caller takes.
    #[serde(default = "default_answer_margin_ms")]
    pub answer_margin_ms: u32,
    /// The same at the earliest, where this broker is observed to take long for its answers.
    #[serde(default = "default_longest_answer_margin_ms")]
    pub longest_answer_margin_ms: u32,
    /// Milliseconds that an answer is expected to take to leave while this broker has observed none.
    #[serde(default = "default_first_delivery_ms")]
    pub first_delivery_ms: u32,
    /// What is done with requests while no control process confirms the configuration.
    #[serde(default)]
    pub out_of_touch: DisconnectedPolicy,
    /// Region of each zone, by which leaves of the own region are preferred.
    #[serde(default)]
    pub zone_regions: BTreeMap<String, String>,
    /// Milliseconds that a broker takes from its start until it can serve, as callers are told.
    #[serde(default = "default_start_ms")]
    pub start_ms: u32,
    /// Milliseconds for which a request is held while the broker knows nothing yet, before it is
    /// refused; 0 refuses at once.
    #[serde(default = "default_start_wait_ms")]
    pub start_wait_ms: u32,
    /// Milliseconds that a planned stop may take.
    #[serde(default = "default_stop_ms")]
    pub stop_ms: u32,
    /// Milliseconds of the window in which the use of a tenant's quota is counted.
    #[serde(default = "default_quota_window_ms")]
    pub quota_window_ms: u32,
    /// Share by which the requests of a tenant at all brokers together may exceed its quota in a window.
    #[serde(default = "default_quota_overshoot")]
    pub quota_overshoot: f64,
    /// Requests by which they may exceed it besides.
    #[serde(default = "default_quota_slack")]
    pub quota_slack: f64,
}

/// What a broker does with requests of routes while no control process confirms what it has.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum DisconnectedPolicy {
    /// It refuses them as not run: an accepted configuration is in force wherever requests are served.
    #[default]
    Refuse,
    /// It serves by the newest configuration that it has, never by an older one.
    Serve,
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

/// Fifty rounds of 100 ms in which brokers tell what tenants use, so that what is admitted before news come is a small
/// part of a window.
fn default_quota_window_ms() -> u32 {
    5_000
}

/// What a tenant that sends several times its quota gets too much while the news of it are under way.
fn default_quota_overshoot() -> f64 {
    0.1
}

/// Two requests at each of five brokers that have not heard of the others.
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
