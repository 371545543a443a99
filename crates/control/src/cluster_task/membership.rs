//! What this process reports to the replicated state.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use gingerkeel_domain::cluster::{
    BrokerChange, BrokerOverload, ChargeReport, ClusterState, CommandBody, ControlRenewal,
    LeafHealth, LeafHealthChange, assigned_poller,
};
use gingerkeel_domain::identifiers::{BrokerName, ControlName, LeafId, Revision};

use super::ConnectionId;
use super::subscribers::Follower;
use crate::leaf_polling::{PollPlan, PolledLeaf};

/// Time between renewals of this process's own lease.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(2);
/// Time that a broker has to come back, here or elsewhere, before it counts as gone.
const RETURN_TIME: Duration = Duration::from_secs(5);
/// Time that the log has to take the reports of a round, before the next round reports again.
const REPORT_LIMIT: Duration = Duration::from_secs(10);
/// Reports of charges in one command.
const CHARGES_PER_COMMAND: usize = 256;

/// Who this process is.
#[derive(Debug, Clone)]
pub struct OwnIdentity {
    /// Its name.
    pub name: ControlName,
    /// Number of its run, drawn at start.
    pub run: u64,
    /// Where operators reach it.
    pub operators: SocketAddr,
    /// Where brokers reach it.
    pub feed: SocketAddr,
}

/// What the choice of leaves to poll depends on.
#[derive(Debug, Clone, PartialEq, Eq)]
struct PlanBasis {
    revision: Revision,
    controls: Vec<ControlName>,
}

/// What this process has to report.
pub struct Membership {
    identity: OwnIdentity,
    renewed: Option<Instant>,
    reporting_since: Option<Instant>,
    gone_since: BTreeMap<BrokerName, Instant>,
    polled: BTreeMap<LeafId, LeafHealth>,
    charges: Vec<ChargeReport>,
    overload: Vec<BrokerOverload>,
    planned_for: Option<PlanBasis>,
    /// Connections of brokers that were recorded as fed here.
    claimed: BTreeSet<ConnectionId>,
}

impl Membership {
    /// Nothing to report but the process itself.
    pub fn new(identity: OwnIdentity) -> Self {
        Self {
            identity,
            renewed: None,
            reporting_since: None,
            gone_since: BTreeMap::new(),
            polled: BTreeMap::new(),
            charges: Vec::new(),
            overload: Vec::new(),
            planned_for: None,
            claimed: BTreeSet::new(),
        }
    }

    /// A leaf was polled.
    pub fn leaf_polled(&mut self, leaf: LeafId, health: LeafHealth) {
        self.polled.insert(leaf, health);
    }

    /// A broker reported charges.
    pub fn charged(&mut self, report: Option<ChargeReport>) {
        self.charges.extend(report);
    }

    /// A broker reported load and refusals; only its newest report of a service counts.
    pub fn overloaded(&mut self, report: Option<BrokerOverload>) {
        let Some(newer) = report else {
            return;
        };
        self.overload.retain(|older| {
            older.broker != newer.broker || older.report.service != newer.report.service
        });
        self.overload.push(newer);
    }

    /// The reports of the last round are taken, or given up.
    pub fn reports_taken(&mut self) {
        self.reporting_since = None;
    }

    /// The leaves that this process polls; none when they are as before.
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

    /// The commands of this round: where the replicated state differs from what is seen here.
    pub fn reports<'a>(
        &mut self,
        state: &ClusterState,
        followers: impl Iterator<Item = (ConnectionId, &'a Follower)>,
    ) -> Vec<CommandBody> {
        let now = Instant::now();
        let waits = |since: Instant| now.duration_since(since) < REPORT_LIMIT;
        if self.reporting_since.is_some_and(waits) {
            return Vec::new();
        }
        let mut commands = Vec::new();
        self.report_self(now, &mut commands);
        self.report_brokers(now, state, followers, &mut commands);
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
        followers: impl Iterator<Item = (ConnectionId, &'a Follower)>,
        commands: &mut Vec<CommandBody>,
    ) {
        let fed: BTreeMap<ConnectionId, &Follower> = followers.collect();
        self.claimed.retain(|connection| fed.contains_key(connection));
        let followers: BTreeSet<&BrokerName> =
            fed.values().map(|follower| &follower.identity.broker).collect();
        let mut changes: Vec<BrokerChange> = fed
            .iter()
            .filter(|(connection, follower)| !self.is_recorded(state, **connection, follower))
            .map(|(_, follower)| BrokerChange::Follows {
                broker: follower.identity.broker.clone(),
                run: follower.identity.run,
                placement: follower.identity.placement.clone(),
                in_force: follower.in_force,
            })
            .collect();
        let recorded = state.members().brokers().iter();
        let own = recorded.filter(|(_, broker)| broker.control == self.identity.name);
        let missing: BTreeMap<&BrokerName, u64> = own
            .filter(|(name, _)| !followers.contains(name))
            .map(|(name, broker)| (name, broker.run))
            .collect();
        self.gone_since.retain(|name, _| missing.contains_key(name));
        for (name, run) in missing {
            let since = self.gone_since.entry(name.clone()).or_insert(now);
            if now.duration_since(*since) >= RETURN_TIME {
                changes.push(BrokerChange::Left { broker: name.clone(), run });
            }
        }
        if !changes.is_empty() {
            let control = self.identity.name.clone();
            commands.push(CommandBody::ReportBrokers { control, changes });
        }
    }

    /// Whether the replicated state says what is seen here. A broker that another control process
    /// claimed since has moved there, and its connection here is about to be found dead.
    fn is_recorded(
        &mut self,
        state: &ClusterState,
        connection: ConnectionId,
        follower: &Follower,
    ) -> bool {
        let Some(recorded) = state.members().brokers().get(&follower.identity.broker) else {
            return false;
        };
        if recorded.control != self.identity.name {
            return self.claimed.contains(&connection);
        }
        if recorded.run == follower.identity.run {
            self.claimed.insert(connection);
        }
        recorded.run == follower.identity.run
            && recorded.placement == follower.identity.placement
            && recorded.in_force >= follower.in_force
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

    /// A report that is lost here was not acknowledged, and the broker sends it again.
    fn report_charges(&mut self, commands: &mut Vec<CommandBody>) {
        let reports = std::mem::take(&mut self.charges);
        let batches = reports.chunks(CHARGES_PER_COMMAND);
        commands.extend(batches.map(|batch| CommandBody::ReportCharges(batch.to_vec())));
    }
}
