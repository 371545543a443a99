//! Reports of this process to the replicated state: itself, its brokers, polled leaves and charges.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use gingerkeel_domain::cluster::{
    BrokerChange, BrokerOverload, ChargeReport, ClusterState, CommandBody, ControlRenewal,
    LeafHealth, LeafHealthChange, assigned_poller,
};
use gingerkeel_domain::identifiers::{BrokerName, ControlName, LeafId, Revision};

use super::ConnectionId;
use super::subscribers::Subscriber;
use crate::leaf_polling::{PollPlan, PolledLeaf};

/// Interval between renewals of this process's own lease.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(2);
/// Grace period for a disconnected broker to reconnect, here or elsewhere, before it is reported as
/// gone.
const BROKER_GRACE_PERIOD: Duration = Duration::from_secs(5);
/// Time after which reports that are still being proposed no longer hold up new ones.
const REPORT_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum number of charge reports in one command.
const CHARGES_PER_COMMAND: usize = 256;

/// Identity and addresses of this process.
#[derive(Debug, Clone)]
pub struct OwnIdentity {
    /// Name from the settings.
    pub name: ControlName,
    /// Random number of this run of the process.
    pub run: u64,
    /// Address for operators.
    pub operators: SocketAddr,
    /// Address for brokers' feeds.
    pub feed: SocketAddr,
}

/// Inputs of the poll plan: leaves are divided among the control processes.
#[derive(Debug, Clone, PartialEq, Eq)]
struct PlanBasis {
    revision: Revision,
    controls: Vec<ControlName>,
}

/// Collects the reports of this process.
pub struct StateReporter {
    identity: OwnIdentity,
    renewed: Option<Instant>,
    reporting_since: Option<Instant>,
    missing_since: BTreeMap<BrokerName, Instant>,
    polled: BTreeMap<LeafId, LeafHealth>,
    charges: Vec<ChargeReport>,
    overload: Vec<BrokerOverload>,
    planned_for: Option<PlanBasis>,
    /// Connections of brokers that the replicated state has recorded as subscribed here.
    claimed: BTreeSet<ConnectionId>,
}

impl StateReporter {
    /// Creates a collector that has only the process itself to report.
    pub fn new(identity: OwnIdentity) -> Self {
        Self {
            identity,
            renewed: None,
            reporting_since: None,
            missing_since: BTreeMap::new(),
            polled: BTreeMap::new(),
            charges: Vec::new(),
            overload: Vec::new(),
            planned_for: None,
            claimed: BTreeSet::new(),
        }
    }

    /// Records the health of a polled leaf.
    pub fn leaf_polled(&mut self, leaf: LeafId, health: LeafHealth) {
        self.polled.insert(leaf, health);
    }

    /// Adds a broker's report of charges.
    pub fn add_charges(&mut self, report: Option<ChargeReport>) {
        self.charges.extend(report);
    }

    /// Adds a broker's report of load and refusals; it replaces the broker's older one of the
    /// service.
    pub fn add_overload(&mut self, report: Option<BrokerOverload>) {
        let Some(newer) = report else {
            return;
        };
        self.overload.retain(|older| {
            older.broker != newer.broker || older.report.service != newer.report.service
        });
        self.overload.push(newer);
    }

    /// The last reports were proposed or failed, so new ones may follow.
    pub fn reports_proposed(&mut self) {
        self.reporting_since = None;
    }

    /// The leaves that this process polls; none if the plan is unchanged.
    pub fn poll_plan(&mut self, state: &ClusterState) -> Option<PollPlan> {
        let controls: Vec<ControlName> = state.members().controls().keys().cloned().collect();
        let basis = PlanBasis { revision: state.catalog().revision(), controls };
        if self.planned_for.as_ref() == Some(&basis) {
            return None;
        }
        let own =
            |leaf: &LeafId| assigned_poller(*leaf, &basis.controls) == Some(&self.identity.name);
        let leaves = state.catalog().leaves().values().filter(|leaf| own(&leaf.id));
        let leaves = leaves.map(|leaf| PolledLeaf { leaf: leaf.id, address: leaf.address });
        let plan = PollPlan { leaves: leaves.collect() };
        self.planned_for = Some(basis);
        Some(plan)
    }

    /// Commands that correct the replicated state where it differs from what this process observes;
    /// none while earlier ones are being proposed.
    pub fn reports<'a>(
        &mut self,
        state: &ClusterState,
        subscribers: impl Iterator<Item = (ConnectionId, &'a Subscriber)>,
    ) -> Vec<CommandBody> {
        let now = Instant::now();
        let waits = |since: Instant| now.duration_since(since) < REPORT_TIMEOUT;
        if self.reporting_since.is_some_and(waits) {
            return Vec::new();
        }
        let mut commands = Vec::new();
        self.report_self(now, &mut commands);
        self.report_brokers(now, state, subscribers, &mut commands);
        self.report_leaves(state, &mut commands);
        self.report_charges(&mut commands);
        if !self.overload.is_empty() {
            commands.push(CommandBody::ReportOverload(std::mem::take(&mut self.overload)));
        }
        self.reporting_since = (!commands.is_empty()).then_some(now);
        commands
    }

    fn report_self(&mut self, now: Instant, commands: &mut Vec<CommandBody>) {
        let due = |renewed: Instant| now.duration_since(renewed) >= RENEWAL_INTERVAL;
        if !self.renewed.is_none_or(due) {
            return;
        }
        self.renewed = Some(now);
        commands.push(CommandBody::RenewControl(ControlRenewal {
            control: self.identity.name.clone(),
            run: self.identity.run,
            operators: self.identity.operators,
            feed: self.identity.feed,
        }));
    }

    fn report_brokers<'a>(
        &mut self,
        now: Instant,
        state: &ClusterState,
        subscribers: impl Iterator<Item = (ConnectionId, &'a Subscriber)>,
        commands: &mut Vec<CommandBody>,
    ) {
        let subscribed: BTreeMap<ConnectionId, &Subscriber> = subscribers.collect();
        self.claimed.retain(|connection| subscribed.contains_key(connection));
        let subscribers: BTreeSet<&BrokerName> =
            subscribed.values().map(|subscriber| &subscriber.identity.broker).collect();
        let mut changes: Vec<BrokerChange> = subscribed
            .iter()
            .filter(|(connection, subscriber)| !self.is_recorded(state, **connection, subscriber))
            .map(|(_, subscriber)| BrokerChange::Follows {
                broker: subscriber.identity.broker.clone(),
                run: subscriber.identity.run,
                placement: subscriber.identity.placement.clone(),
                in_force: subscriber.in_force,
            })
            .collect();
        let recorded = state.members().brokers().iter();
        let own = recorded.filter(|(_, broker)| broker.control == self.identity.name);
        let missing: BTreeMap<&BrokerName, u64> = own
            .filter(|(name, _)| !subscribers.contains(name))
            .map(|(name, broker)| (name, broker.run))
            .collect();
        self.missing_since.retain(|name, _| missing.contains_key(name));
        for (name, run) in missing {
            let since = self.missing_since.entry(name.clone()).or_insert(now);
            if now.duration_since(*since) >= BROKER_GRACE_PERIOD {
                changes.push(BrokerChange::Left { broker: name.clone(), run });
            }
        }
        if !changes.is_empty() {
            let control = self.identity.name.clone();
            commands.push(CommandBody::ReportBrokers { control, changes });
        }
    }

    /// Whether the replicated state matches this subscription. A broker that another control
    /// process has reported since has moved there, and its connection here is dead.
    fn is_recorded(
        &mut self,
        state: &ClusterState,
        connection: ConnectionId,
        subscriber: &Subscriber,
    ) -> bool {
        let Some(recorded) = state.members().brokers().get(&subscriber.identity.broker) else {
            return false;
        };
        if recorded.control != self.identity.name {
            return self.claimed.contains(&connection);
        }
        if recorded.run == subscriber.identity.run {
            self.claimed.insert(connection);
        }
        recorded.run == subscriber.identity.run
            && recorded.placement == subscriber.identity.placement
            && recorded.in_force >= subscriber.in_force
    }

    fn report_leaves(&mut self, state: &ClusterState, commands: &mut Vec<CommandBody>) {
        let known = state.catalog().leaves();
        self.polled.retain(|leaf, _| known.contains_key(leaf));
        let polled = std::mem::take(&mut self.polled);
        let differs = |leaf: LeafId, health| state.leaf_hints().health(leaf) != health;
        let changes: Vec<LeafHealthChange> = polled
            .into_iter()
            .filter(|(leaf, health)| differs(*leaf, *health))
            .map(|(leaf, health)| LeafHealthChange { leaf, health })
            .collect();
        if !changes.is_empty() {
            let control = self.identity.name.clone();
            commands.push(CommandBody::ReportLeaves { control, changes });
        }
    }

    /// Proposes charges in batches. A lost report is not acknowledged, so the broker resends it.
    fn report_charges(&mut self, commands: &mut Vec<CommandBody>) {
        let reports = std::mem::take(&mut self.charges);
        let batches = reports.chunks(CHARGES_PER_COMMAND);
        commands.extend(batches.map(|batch| CommandBody::ReportCharges(batch.to_vec())));
    }
}
