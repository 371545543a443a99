//! Aggregation of the quota use of all brokers at a control process.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

use super::fleet_tenant::FleetTenant;
use super::peers::{OwnTotals, PeerTotals};
use super::source::{FleetFlow, Presumed, Source, SourceKind};
use super::usage::{PeerUsage, TenantLevel, UsageReport};
use crate::cluster::DEPARTED_RETENTION;
use crate::identifiers::{BrokerName, BrokerRun, ControlName, TenantName};
use crate::routes::TenantQuota;
use crate::time::Timestamp;

/// Minimum time after a start before levels are sent: brokers have to connect and report, and the
/// arrival rate needs two reports.
const MIN_LISTEN_TIME: Duration = Duration::from_millis(500);
/// Time after a start after which levels are sent even without messages from all other control
/// processes: they may be down, and until then brokers enforce shares, which refuses requests
/// within a quota.
const MAX_LISTEN_TIME: Duration = Duration::from_millis(1_500);
/// Time between two rounds from which on this process itself was suspended, so that missing
/// messages say nothing about the other processes.
const STALL_THRESHOLD: Duration = Duration::from_secs(1);
/// Maximum tenants per message to brokers: with names of 10 bytes this is 6 KB/s per broker, half
/// of the budget for control traffic. The most urgent come first, and urgency grows with waiting
/// time.
const MAX_LEVELS: usize = 32;

/// Identifies a source of usage reports.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum SourceId {
    Broker(BrokerName),
    Control(ControlName),
}

impl fmt::Display for SourceId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Broker(name) => name.fmt(formatter),
            Self::Control(name) => name.fmt(formatter),
        }
    }
}

/// The last report applied for a broker.
#[derive(Debug, Clone, Copy)]
struct Heard {
    run: BrokerRun,
    sequence: u64,
}

/// Shares of a quota held by silent brokers: by those fed here, and by all.
#[derive(Debug, Clone, Copy, Default)]
struct SilentShares {
    fed_here: f64,
    all: f64,
}

/// Aggregates quota use at one control process.
///
/// Designed for hundreds of brokers that each see a small part of a tenant's requests, and for
/// thousands of tenants of which few are near their quotas.
#[derive(Debug)]
pub struct UsageAggregator {
    own: OwnTotals,
    tenants: BTreeMap<TenantName, FleetTenant>,
    sources: BTreeMap<SourceId, Source>,
    /// The last report applied for each connected broker.
    heard: BTreeMap<BrokerName, Heard>,
    peers: BTreeMap<ControlName, PeerTotals>,
    /// Control processes that are expected to report.
    expected: BTreeSet<ControlName>,
    /// The control process that feeds each broker, by the replicated membership.
    fed_by: BTreeMap<BrokerName, ControlName>,
    /// Number of brokers that may be serving; none before the membership is known.
    serving: Option<usize>,
    started: Option<Timestamp>,
    updated: Option<Timestamp>,
}

impl UsageAggregator {
    /// The state after a start of the process; `run` is drawn at each start.
    pub fn new(run: u64) -> Self {
        Self {
            own: OwnTotals::new(run),
            tenants: BTreeMap::new(),
            sources: BTreeMap::new(),
            heard: BTreeMap::new(),
            peers: BTreeMap::new(),
            expected: BTreeSet::new(),
            fed_by: BTreeMap::new(),
            serving: None,
            started: None,
            updated: None,
        }
    }

    /// Replaces the list of tenants. Tenants that remain keep their counts.
    pub fn configure(
        &mut self,
        now: Timestamp,
        tenants: impl Iterator<Item = (TenantName, TenantQuota)>,
    ) {
        let informed = self.is_informed(now);
        self.started.get_or_insert(now);
        let mut former = std::mem::take(&mut self.tenants);
        for (name, quota) in tenants.filter(|(_, quota)| quota.is_limited()) {
            let tenant = former.remove(&name);
            let mut tenant = tenant.unwrap_or_else(|| FleetTenant::new(now, quota, informed));
            tenant.configure(now, quota);
            self.tenants.insert(name, tenant);
        }
    }

    /// Applies a report of a broker that this process feeds, from run `run` of the broker.
    /// Duplicate reports are ignored.
    pub fn record_report(
        &mut self,
        now: Timestamp,
        broker: &BrokerName,
        run: BrokerRun,
        report: &UsageReport,
    ) {
        let known = self.heard.get(broker).filter(|known| known.run == run);
        if known.is_some_and(|known| report.sequence <= known.sequence) {
            return;
        }
        // The reports before this one may be lost on a link that was cut for a moment; their requests
        // stay presumed.
        let is_complete = known.is_none_or(|known| report.sequence == known.sequence + 1);
        self.heard.insert(broker.clone(), Heard { run, sequence: report.sequence });
        let source = source_of(&mut self.sources, now, SourceId::Broker(broker.clone()));
        source.hear(now);
        for used in &report.uses {
            let (arrived, admitted) = (f64::from(used.arrived), f64::from(used.admitted));
            let presumed = source.count(now, &used.tenant, arrived);
            let Some(tenant) = self.tenants.get_mut(&used.tenant) else {
                continue;
            };
            // Presumed requests are returned first, since a full bucket credits none of them.
            let presumed = if is_complete { presumed } else { 0.0 };
            let given_back = tenant.give_back(now, presumed);
            tenant.count(now, arrived, admitted);
            self.own.add(&used.tenant, used.arrived, admitted - given_back);
        }
    }

    /// Applies the totals of another control process.
    pub fn record_peer_usage(&mut self, now: Timestamp, control: &ControlName, usage: &PeerUsage) {
        let totals = self.peers.entry(control.clone());
        let totals = totals.or_insert_with(|| PeerTotals::new(now, usage.run));
        totals.enter(usage.run);
        let source = source_of(&mut self.sources, now, SourceId::Control(control.clone()));
        source.hear(now);
        for total in &usage.totals {
            let grown = totals.grow(now, total);
            let matters = source.unrefilled_fraction_of(&total.tenant);
            let (arrived, admitted) = (grown.arrived * matters, grown.admitted * matters);
            let presumed = source.count(now, &total.tenant, arrived);
            if let Some(tenant) = self.tenants.get_mut(&total.tenant) {
                tenant.give_back(now, presumed);
                tenant.count(now, arrived, admitted);
            }
        }
    }

    /// Handles a broker link that timed out: the broker may still be serving, so its use is
    /// presumed to continue.
    pub fn broker_lost(&mut self, now: Timestamp, broker: &BrokerName) {
        self.heard.remove(broker);
        self.mark_silent(now, &SourceId::Broker(broker.clone()));
    }

    /// Handles a broker that ended or moved to another control process, by its own message or by
    /// closing the connection. No use is presumed for it.
    pub fn broker_stopped(&mut self, now: Timestamp, broker: &BrokerName) {
        self.heard.remove(broker);
        self.drop_source(now, &SourceId::Broker(broker.clone()));
    }

    /// Sets the control process that feeds each broker, by the replicated membership; called on
    /// each change of the membership.
    ///
    /// `serving` counts live brokers and recently departed ones that may be partitioned.
    pub fn set_members(
        &mut self,
        now: Timestamp,
        serving: usize,
        fed_by: impl Iterator<Item = (BrokerName, ControlName)>,
    ) {
        self.serving = Some(serving.max(1));
        self.fed_by = fed_by.collect();
        self.release_moved(now);
    }

    /// Sets the other control processes; called on each change.
    pub fn set_peers(&mut self, now: Timestamp, controls: impl Iterator<Item = ControlName>) {
        self.started.get_or_insert(now);
        self.expected = controls.collect();
        for control in &self.expected {
            source_of(&mut self.sources, now, SourceId::Control(control.clone()));
        }
        let (expected, sources) = (&self.expected, &self.sources);
        let is_heard = |control: &ControlName| {
            let source = sources.get(&SourceId::Control(control.clone()));
            source.is_some_and(|source| !source.is_silent())
        };
        self.peers.retain(|control, _| expected.contains(control) || is_heard(control));
    }

    /// The message to the other control processes, built every 100 ms; an empty message serves as a
    /// heartbeat.
    pub fn peer_message(&mut self, now: Timestamp) -> PeerUsage {
        self.update_silent(now);
        self.own.message()
    }

    /// The levels for the brokers that this process feeds, built every 100 ms, most urgent first.
    /// Empty lists are sent as heartbeats, since a broker without messages considers itself
    /// partitioned. Nothing is sent before [`Self::is_informed`].
    pub fn broker_levels(&mut self, now: Timestamp) -> Vec<TenantLevel> {
        self.update_silent(now);
        let due = self.tenants.iter_mut().filter_map(|(name, tenant)| {
            let urgency = tenant.urgency(now)?;
            Some((urgency, name.clone()))
        });
        let mut due: Vec<(f64, TenantName)> = due.collect();
        due.sort_by(|(one, a), (other, b)| other.total_cmp(one).then_with(|| a.cmp(b)));
        due.truncate(MAX_LEVELS);
        let level = |(_, name): (f64, TenantName)| {
            let tenant = self.tenants.get_mut(&name)?;
            Some(tenant.take_level(now, name))
        };
        due.into_iter().filter_map(level).collect()
    }

    /// Sequence number of the last report applied for `broker`; 0 for none.
    pub fn last_sequence(&self, broker: &BrokerName) -> u64 {
        self.heard.get(broker).map_or(0, |heard| heard.sequence)
    }

    /// Whether this process knows enough to send levels: the membership, and the use at other
    /// brokers.
    pub fn is_informed(&self, now: Timestamp) -> bool {
        if self.serving.is_none() {
            return false;
        }
        let listened = self.started.map_or(Duration::ZERO, |started| now.since(started));
        let all_heard = self.expected.iter().all(|control| self.peers.contains_key(control));
        listened >= MAX_LISTEN_TIME || (listened >= MIN_LISTEN_TIME && all_heard)
    }

    /// Names of the brokers and control processes that are silent, whose use is presumed.
    pub fn silent_sources(&self) -> BTreeSet<String> {
        let silent = self.sources.iter().filter(|(_, source)| source.is_silent());
        silent.map(|(id, _)| id.to_string()).collect()
    }

    /// Detects silent sources, and takes their presumed use from the quotas.
    fn update_silent(&mut self, now: Timestamp) {
        let passed = self.updated.map_or(Duration::ZERO, |updated| now.since(updated));
        self.updated = Some(now);
        if passed >= STALL_THRESHOLD {
            return self.resume(now);
        }
        self.sources.retain(|_, source| source.silence(now) < DEPARTED_RETENTION);
        let fallen =
            |(id, source): (&SourceId, &Source)| source.has_fallen_silent(now).then(|| id.clone());
        let fallen: Vec<SourceId> = self.sources.iter().filter_map(fallen).collect();
        fallen.iter().for_each(|id| self.mark_silent(now, id));
        let silent = self.sources.iter().filter(|(_, source)| source.is_silent());
        let silent: Vec<SourceId> = silent.map(|(id, _)| id.clone()).collect();
        silent.iter().for_each(|id| self.presume(now, id, passed.as_secs_f64(), 0.0));
        self.reserve_bursts(now, &silent);
        self.sources.values_mut().for_each(|source| source.forget(now));
    }

    /// Reserves the bursts that silent brokers may use. The other control processes learn of silent
    /// brokers that were fed here through the totals of this process.
    fn reserve_bursts(&mut self, now: Timestamp, silent: &[SourceId]) {
        let serving = self.serving();
        let mut shares: BTreeMap<TenantName, SilentShares> = BTreeMap::new();
        for id in silent {
            let Some(source) = self.sources.get_mut(id) else {
                continue;
            };
            for Presumed { tenant, share } in presumed_use(&self.tenants, source, now, serving) {
                let known = shares.entry(tenant).or_default();
                known.all += share;
                if matches!(id, SourceId::Broker(_)) {
                    known.fed_here += share;
                }
            }
        }
        for (name, tenant) in &mut self.tenants {
            let share = shares.get(name).copied().unwrap_or_default();
            let reserved = tenant.reserve(now, share.fed_here);
            tenant.reserve(now, share.all);
            if reserved > 0.0 {
                self.own.add(name, 0, reserved);
            }
        }
    }

    /// Restarts the listening phase after this process was suspended.
    fn resume(&mut self, now: Timestamp) {
        self.started = Some(now);
        let heard = self.sources.values_mut().filter(|source| !source.is_silent());
        heard.for_each(|source| source.hear(now));
    }

    fn mark_silent(&mut self, now: Timestamp, id: &SourceId) {
        let brokers = self.brokers_behind(id);
        let serving = self.serving();
        let tenants = &mut self.tenants;
        let unknown = FleetFlow { sum: 0.0, earlier_sum: 0.0, unreported_rate: 1.0 };
        let fleet = |name: &TenantName| {
            tenants.get_mut(name).map_or(unknown, |tenant| tenant.fleet_flow(now))
        };
        let Some(source) = self.sources.get_mut(id).filter(|source| !source.is_silent()) else {
            return;
        };
        source.fall_silent(now, brokers, serving, fleet);
        let span = source.silence(now);
        self.presume(now, id, span.as_secs_f64(), 1.0);
    }

    /// Takes the presumed use of a silent source from the quotas: its share of `seconds` of the
    /// rate and of `bursts` bursts. The presumed use of brokers fed here is sent to the other
    /// control processes, which detect silent control processes but not silent brokers.
    fn presume(&mut self, now: Timestamp, id: &SourceId, seconds: f64, bursts: f64) {
        let serving = self.serving();
        let Some(source) = self.sources.get_mut(id) else {
            return;
        };
        let presumed = presumed_use(&self.tenants, source, now, serving);
        for Presumed { tenant: name, share } in presumed {
            let Some(tenant) = self.tenants.get_mut(&name) else {
                continue;
            };
            let requests = share * tenant.allowance(seconds, bursts);
            tenant.take(now, requests);
            source.note_presumed(now, &name, requests);
            if matches!(id, SourceId::Broker(_)) {
                self.own.add(&name, 0, requests);
            }
        }
    }

    fn serving(&self) -> usize {
        self.serving.unwrap_or(1)
    }

    fn brokers_behind(&self, id: &SourceId) -> BTreeSet<BrokerName> {
        match id {
            SourceId::Broker(broker) => BTreeSet::from([broker.clone()]),
            SourceId::Control(control) => {
                let fed = self.fed_by.iter().filter(|(_, by)| *by == control);
                fed.map(|(broker, _)| broker.clone()).collect()
            }
        }
    }

    /// Stops presuming use for silent brokers that are fed elsewhere now.
    fn release_moved(&mut self, now: Timestamp) {
        let sources = &self.sources;
        let is_heard = |id: SourceId| sources.get(&id).is_some_and(|source| !source.is_silent());
        let fed = self.fed_by.iter().filter(|(broker, control)| {
            is_heard(SourceId::Control((*control).clone()))
                || is_heard(SourceId::Broker((*broker).clone()))
        });
        let moved: BTreeSet<BrokerName> = fed.map(|(broker, _)| broker.clone()).collect();
        let mut ended = Vec::new();
        for (id, source) in self.sources.iter_mut().filter(|(_, source)| source.is_silent()) {
            source.leave_out(|broker| moved.contains(broker));
            if matches!(id, SourceId::Broker(broker) if moved.contains(broker)) {
                ended.push(id.clone());
            }
        }
        ended.iter().for_each(|id| self.drop_source(now, id));
    }

    fn drop_source(&mut self, now: Timestamp, id: &SourceId) {
        let Some(mut source) = self.sources.remove(id) else {
            return;
        };
        for (name, presumed) in source.take_presumed(now) {
            let Some(tenant) = self.tenants.get_mut(&name) else {
                continue;
            };
            let given_back = tenant.give_back(now, presumed);
            if matches!(id, SourceId::Broker(_)) {
                self.own.add(&name, 0, -given_back);
            }
        }
    }
}

/// Presumed use of each quota by a silent source.
fn presumed_use(
    tenants: &BTreeMap<TenantName, FleetTenant>,
    source: &mut Source,
    now: Timestamp,
    serving: usize,
) -> Vec<Presumed> {
    let share = source.unknown_share(serving);
    if share > 0.0 {
        return tenants.keys().map(|tenant| Presumed { tenant: tenant.clone(), share }).collect();
    }
    source.presume(now, serving).collect()
}

fn source_of(
    sources: &mut BTreeMap<SourceId, Source>,
    now: Timestamp,
    id: SourceId,
) -> &mut Source {
    let kind = match id {
        SourceId::Broker(_) => SourceKind::Broker,
        SourceId::Control(_) => SourceKind::Control,
    };
    sources.entry(id).or_insert_with(|| Source::new(now, kind))
}
