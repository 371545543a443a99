//! Quota usage: aggregates reports of brokers and other control processes, and publishes the
//! result.
//!
//! Usage is not replicated. It is published more often than reports are proposed to the log,
//! because a tenant can exceed its quota by what it sends between two ticks.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use gingerkeel_domain::cluster::ClusterState;
use gingerkeel_domain::identifiers::{BrokerName, BrokerRun, ControlName, TenantName};
use gingerkeel_domain::quota::{PeerUsage, TenantLevel, UsageAggregator, UsageReport};
use gingerkeel_domain::routes::RouteVersion;
use gingerkeel_domain::time::Timestamp;
use local_sync::mpsc::unbounded::Tx;
use tracing::info;

use super::{ClusterMessage, ClusterTask, SubscriberIdentity};
use crate::replication::PeerUsageReport;

/// Interval between usage ticks. A tenant above its quota can exceed it by what it sends in about
/// two intervals.
const USAGE_INTERVAL: Duration = Duration::from_millis(100);

/// Time for which operators are shown the level of a tenant after it was last sent to brokers.
/// While a tenant is near its quota, its level is sent again within a second.
const DISPLAY_PERIOD: Duration = Duration::from_secs(2);

/// What this process knows about the usage of quotas.
pub struct QuotaUsage {
    own_name: ControlName,
    fold: UsageAggregator,
    /// The latest reporting run of each broker.
    runs: BTreeMap<BrokerName, BrokerRun>,
    /// Version of the route configuration whose quotas are in force.
    version: Option<RouteVersion>,
    /// Whether any tenant has a quota.
    has_quotas: bool,
    /// Levels to publish until the next tick.
    levels: Vec<TenantLevel>,
    /// The level last published for each tenant, with the time.
    shown_levels: BTreeMap<TenantName, (Timestamp, TenantLevel)>,
    /// Silent brokers and control processes, as logged last.
    silent: BTreeSet<String>,
}

impl QuotaUsage {
    /// Creates an empty aggregate; `run` is a random number for each start of the process.
    pub fn new(own_name: ControlName, run: u64) -> Self {
        Self {
            own_name,
            fold: UsageAggregator::new(run),
            runs: BTreeMap::new(),
            version: None,
            has_quotas: false,
            levels: Vec::new(),
            shown_levels: BTreeMap::new(),
            silent: BTreeSet::new(),
        }
    }

    /// Adopts the quotas of the replicated route configuration if it is newer than the one in
    /// force.
    pub fn update_quotas(&mut self, now: Timestamp, state: &ClusterState) {
        let Some(accepted) = state.routes().current() else {
            return;
        };
        let configuration = &accepted.configuration;
        if self.version >= Some(configuration.version) {
            return;
        }
        self.version = Some(configuration.version);
        let tenants = &configuration.tenants;
        self.has_quotas = tenants.iter().any(|tenant| tenant.quota.is_limited());
        let quotas = tenants.iter().map(|tenant| (tenant.name.clone(), tenant.quota));
        self.fold.configure(now, quotas);
    }

    /// Updates which brokers may be serving, and which control process each is subscribed to.
    pub fn update_members(&mut self, now: Timestamp, state: &ClusterState) {
        let members = state.members();
        let serving = members.brokers().len() + members.departed().len();
        let brokers = members.brokers().iter();
        let fed_by = brokers.map(|(broker, record)| (broker.clone(), record.control.clone()));
        self.fold.set_members(now, serving, fed_by);
        let others = members.controls().keys().filter(|control| **control != self.own_name);
        self.fold.set_peers(now, others.cloned());
    }

    /// Adds a report of a broker that is subscribed here.
    pub fn add_broker_report(
        &mut self,
        now: Timestamp,
        broker: &SubscriberIdentity,
        report: &UsageReport,
    ) {
        let run = BrokerRun(broker.run);
        self.runs.insert(broker.broker.clone(), run);
        self.fold.record_report(now, &broker.broker, run, report);
    }

    /// Handles the end of a broker's connection: closed by the broker, or lost.
    pub fn broker_left(&mut self, now: Timestamp, broker: &BrokerName, closed_by_broker: bool) {
        self.runs.remove(broker);
        if closed_by_broker {
            self.fold.broker_stopped(now, broker);
        } else {
            self.fold.broker_lost(now, broker);
        }
    }

    /// Adds the totals of another control process.
    pub fn add_peer_report(&mut self, now: Timestamp, report: &PeerUsageReport) {
        self.fold.record_peer_usage(now, &report.control, &report.usage);
    }

    /// The totals for the other control processes; none if no tenant has a quota.
    pub fn for_peers(&mut self, now: Timestamp) -> Option<PeerUsage> {
        let usage = self.fold.peer_message(now);
        self.has_quotas.then_some(usage)
    }

    /// Logs the brokers and control processes whose use begins or ceases to be presumed.
    fn log_silent_sources(&mut self) {
        let silent = self.fold.silent_sources();
        for source in silent.difference(&self.silent) {
            info!(event = "usage_presumed", source);
        }
        for source in self.silent.difference(&silent) {
            info!(event = "usage_not_presumed", source);
        }
        self.silent = silent;
    }

    /// Computes the levels to publish until the next tick.
    pub fn begin_tick(&mut self, now: Timestamp) {
        self.levels = self.fold.broker_levels(now);
        if self.has_quotas {
            self.log_silent_sources();
        }
        self.shown_levels.retain(|_, (at, _)| now.since(*at) < DISPLAY_PERIOD);
        for level in &self.levels {
            self.shown_levels.insert(level.tenant.clone(), (now, level.clone()));
        }
    }

    /// The level of a tenant's quota; none while the tenant is far from it.
    pub fn level(&self, tenant: &TenantName) -> Option<&TenantLevel> {
        self.shown_levels.get(tenant).map(|(_, level)| level)
    }

    /// The levels to publish.
    pub fn levels(&self) -> &[TenantLevel] {
        &self.levels
    }

    /// Whether levels can be published: quotas exist, and this process is informed about their usage.
    pub fn can_publish(&self, now: Timestamp) -> bool {
        self.has_quotas && self.fold.is_informed(now)
    }

    /// Sequence number of the broker's last report that the levels include; 0 for none.
    pub fn heard(&self, broker: &SubscriberIdentity) -> u64 {
        let reported = self.runs.get(&broker.broker) == Some(&BrokerRun(broker.run));
        if reported { self.fold.last_sequence(&broker.broker) } else { 0 }
    }
}

/// Sends usage ticks to the task for the life of the process.
pub async fn send_ticks(messages: Tx<ClusterMessage>) {
    while messages.send(ClusterMessage::UsageTick).is_ok() {
        monoio::time::sleep(USAGE_INTERVAL).await;
    }
}

impl ClusterTask {
    /// Sends usage and leaf warnings to the other control processes and to the brokers subscribed
    /// here.
    pub(super) fn usage_tick(&mut self) {
        let now = self.clock.now();
        if let Some(usage) = self.quota_usage.for_peers(now) {
            self.replication.broadcast_usage(usage);
        }
        let warnings = self.subscribers.publish_warnings();
        if !warnings.is_empty() {
            self.replication.broadcast_warnings(warnings);
        }
        self.quota_usage.begin_tick(now);
        if self.quota_usage.can_publish(now) {
            self.subscribers.publish_usage(now, &self.quota_usage);
        }
    }
}
