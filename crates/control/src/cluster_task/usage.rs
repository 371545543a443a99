//! The use of quotas: what brokers and other control processes report, and what is told of it.
//!
//! Nothing of it is replicated. It has rounds of its own, shorter than those of reports to the log:
//! what tenants send within a round can be too much once.

use std::collections::BTreeMap;
use std::time::Duration;

use gingerkeel_domain::cluster::ClusterState;
use gingerkeel_domain::identifiers::{BrokerName, BrokerRun, ControlName, TenantName};
use gingerkeel_domain::quota::{PeerUsage, TenantLevel, UsageFold, UsageReport};
use gingerkeel_domain::routes::RouteVersion;
use gingerkeel_domain::time::Timestamp;
use local_sync::mpsc::unbounded::Tx;

use super::{ClusterMessage, ClusterTask, SubscriberIdentity};
use crate::replication::PeerUsageReport;

/// Time between two rounds. A tenant that sends more than its quota has it exceeded by what it
/// sends in about two of them.
const USAGE_INTERVAL: Duration = Duration::from_millis(100);

/// Time for which operators are shown what brokers were told of a tenant: they are told again
/// within a second while it is near its quota.
const SHOWN_FOR: Duration = Duration::from_secs(2);

/// What this process knows of the use of quotas.
pub struct QuotaUse {
    own_name: ControlName,
    fold: UsageFold,
    /// The run of each broker that reported last.
    runs: BTreeMap<BrokerName, BrokerRun>,
    /// The version of the configuration whose quotas count.
    version: Option<RouteVersion>,
    /// Whether any tenant has a quota.
    has_quotas: bool,
    /// What brokers were told with the last round.
    levels: Vec<TenantLevel>,
    /// What they were told last of each tenant, and when.
    told: BTreeMap<TenantName, (Timestamp, TenantLevel)>,
}

impl QuotaUse {
    /// Nothing is known yet; `run` is drawn for each start of a process.
    pub fn new(own_name: ControlName, run: u64) -> Self {
        Self {
            own_name,
            fold: UsageFold::new(run),
            runs: BTreeMap::new(),
            version: None,
            has_quotas: false,
            levels: Vec::new(),
            told: BTreeMap::new(),
        }
    }

    /// Takes over the quotas of the replicated configuration, where it is newer than the one that
    /// counts.
    pub fn follow_quotas(&mut self, now: Timestamp, state: &ClusterState) {
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

    /// Takes over which brokers may be serving, and which control process feeds each.
    pub fn follow_members(&mut self, now: Timestamp, state: &ClusterState) {
        let members = state.members();
        let serving = members.brokers().len() + members.departed().len();
        let brokers = members.brokers().iter();
        let fed_by = brokers.map(|(broker, record)| (broker.clone(), record.control.clone()));
        self.fold.members(now, serving, fed_by);
        let others = members.controls().keys().filter(|control| **control != self.own_name);
        self.fold.set_peers(now, others.cloned());
    }

    /// A broker that is fed here reported.
    pub fn broker_used(
        &mut self,
        now: Timestamp,
        broker: &SubscriberIdentity,
        report: &UsageReport,
    ) {
        let run = BrokerRun(broker.run);
        self.runs.insert(broker.broker.clone(), run);
        self.fold.report(now, &broker.broker, run, report);
    }

    /// The link to a broker is lost, or its side closed it.
    pub fn broker_left(&mut self, now: Timestamp, broker: &BrokerName, closed_by_it: bool) {
        self.runs.remove(broker);
        if closed_by_it {
            self.fold.broker_stopped(now, broker);
        } else {
            self.fold.broker_gone(now, broker);
        }
    }

    /// Another control process told its totals.
    pub fn peer_used(&mut self, now: Timestamp, used: &PeerUsageReport) {
        self.fold.peer(now, &used.control, &used.usage);
    }

    /// What the other control processes are to be told.
    pub fn for_peers(&mut self, now: Timestamp) -> Option<PeerUsage> {
        let usage = self.fold.for_peers(now);
        self.has_quotas.then_some(usage)
    }

    /// Takes stock of what brokers are to be told until the next round.
    pub fn begin_round(&mut self, now: Timestamp) {
        self.levels = self.fold.for_brokers(now);
        self.told.retain(|_, (at, _)| now.since(*at) < SHOWN_FOR);
        for level in &self.levels {
            self.told.insert(level.tenant.clone(), (now, level.clone()));
        }
    }

    /// How the quota of a tenant stands; none while it is far from used up.
    pub fn level(&self, tenant: &TenantName) -> Option<&TenantLevel> {
        self.told.get(tenant).map(|(_, level)| level)
    }

    /// What brokers are told.
    pub fn levels(&self) -> &[TenantLevel] {
        &self.levels
    }

    /// Whether there is anything to tell: there are quotas, and this process knows how they stand.
    pub fn can_tell(&self, now: Timestamp) -> bool {
        self.has_quotas && self.fold.is_informed(now)
    }

    /// The last report of a broker's run that is contained in what is told; 0 for none.
    pub fn heard(&self, broker: &SubscriberIdentity) -> u64 {
        let reported = self.runs.get(&broker.broker) == Some(&BrokerRun(broker.run));
        if reported { self.fold.heard(&broker.broker) } else { 0 }
    }
}

/// Sends the task its rounds for ever.
pub async fn send_rounds(messages: Tx<ClusterMessage>) {
    while messages.send(ClusterMessage::UsageRound).is_ok() {
        monoio::time::sleep(USAGE_INTERVAL).await;
    }
}

impl ClusterTask {
    /// Tells the other control processes and the brokers that are fed here what tenants used, and
    /// which leaves to avoid.
    pub(super) fn usage_round(&mut self) {
        let now = self.clock.now();
        if let Some(usage) = self.quota_use.for_peers(now) {
            self.replication.broadcast_usage(usage);
        }
        let warnings = self.subscribers.publish_warnings();
        if !warnings.is_empty() {
            self.replication.broadcast_warnings(warnings);
        }
        self.quota_use.begin_round(now);
        if self.quota_use.can_tell(now) {
            self.subscribers.publish_usage(now, &self.quota_use);
        }
    }
}
