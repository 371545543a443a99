//! How much of the quotas all brokers use together, as a control process knows it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::fleet_tenant::FleetTenant;
use super::peers::{OwnTotals, PeerTotals};
use super::source::{Presumed, SILENCE_OF_BROKER, SILENCE_OF_CONTROL, Source};
use super::usage::{PeerUsage, TenantLevel, UsageReport};
use crate::cluster::DEPARTED_RETENTION;
use crate::identifiers::{BrokerName, BrokerRun, ControlName, TenantName};
use crate::routes::TenantQuota;
use crate::time::Timestamp;

/// Time for which a control process that started listens at least before it tells levels: its brokers come
/// and report, and it takes two reports to know how much arrives.
const LISTENS_AT_LEAST: Duration = Duration::from_millis(500);
/// Time after which it tells levels though it has not heard of all the others: they may be down, and its
/// brokers go on by shares meanwhile, which refuses requests within a quota.
const LISTENS_AT_MOST: Duration = Duration::from_millis(1_500);
/// Time between two rounds after which the process itself stood still: what it did not hear is no sign of
/// others.
const STOOD_STILL: Duration = Duration::from_secs(1);
/// Most tenants of a message to brokers: with names of 10 bytes 6 KB/s to each broker, half of
/// what control may cost one. The most pressing come first, and each one's turn comes.
const MOST_LEVELS: usize = 32;

/// A broker or another control process.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum SourceId {
    Broker(BrokerName),
    Control(ControlName),
}

/// The last report that was taken of a broker.
#[derive(Debug, Clone, Copy)]
struct Heard {
    run: BrokerRun,
    sequence: u64,
}

/// The share of a quota that silent brokers have: of those that this process fed, and of all.
#[derive(Debug, Clone, Copy, Default)]
struct SilentShares {
    fed_here: f64,
    all: f64,
}

/// The use of quotas at one control process.
///
/// Load it answers: hundreds of brokers that each see a small part of a tenant's requests, and tenants by
/// the thousand of which few come near their quotas.
#[derive(Debug)]
pub struct UsageAggregator {
    own: OwnTotals,
    tenants: BTreeMap<TenantName, FleetTenant>,
    sources: BTreeMap<SourceId, Source>,
    /// The last report that was taken of each broker with a link.
    heard: BTreeMap<BrokerName, Heard>,
    peers: BTreeMap<ControlName, PeerTotals>,
    /// Control processes that should be heard.
    expected: BTreeSet<ControlName>,
    /// Brokers and the control process that feeds each, by the replicated list.
    fed_by: BTreeMap<BrokerName, ControlName>,
    /// Brokers that may be serving; none before the list of members is known.
    serving: Option<usize>,
    started: Option<Timestamp>,
    looked: Option<Timestamp>,
}

impl UsageAggregator {
    /// A control process that has just started; `run` is drawn for each start.
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
            looked: None,
        }
    }

    /// Takes over the whole list of tenants. One that stays keeps its counts.
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

    /// A broker that this process feeds reports, in this run of its process. A report that comes twice counts
    /// once.
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
        self.heard.insert(broker.clone(), Heard { run, sequence: report.sequence });
        let source = source_of(&mut self.sources, now, SourceId::Broker(broker.clone()));
        source.hear(now);
        for used in &report.uses {
            let (arrived, admitted) = (f64::from(used.arrived), f64::from(used.admitted));
            let presumed = source.count(now, &used.tenant, arrived);
            let Some(tenant) = self.tenants.get_mut(&used.tenant) else {
                continue;
            };
            // What was presumed is given back first: a bucket that is full keeps none of it.
            let given_back = tenant.give_back(now, presumed);
            tenant.count(now, arrived, admitted);
            self.own.add(&used.tenant, used.arrived, admitted - given_back);
        }
    }

    /// Another control process tells its totals.
    pub fn record_peer_usage(&mut self, now: Timestamp, control: &ControlName, usage: &PeerUsage) {
        let totals = self.peers.entry(control.clone());
        let totals = totals.or_insert_with(|| PeerTotals::new(now, usage.run));
        totals.enter(usage.run);
        let source = source_of(&mut self.sources, now, SourceId::Control(control.clone()));
        source.hear(now);
        for total in &usage.totals {
            let grown = totals.grow(now, total);
            let matters = source.unrefilled_part_of(&total.tenant);
            let (arrived, admitted) = (grown.arrived * matters, grown.admitted * matters);
            let presumed = source.count(now, &total.tenant, arrived);
            if let Some(tenant) = self.tenants.get_mut(&total.tenant) {
                tenant.give_back(now, presumed);
                tenant.count(now, arrived, admitted);
            }
        }
    }

    /// The link to a broker is lost without a word (a time-out): it may be serving, and is presumed to
    /// go on.
    pub fn broker_lost(&mut self, now: Timestamp, broker: &BrokerName) {
        self.heard.remove(broker);
        self.presume_silent(now, &SourceId::Broker(broker.clone()));
    }

    /// A broker has ended or turned to another control process: it said so, or its side closed the
    /// connection. Nothing is presumed of it.
    pub fn broker_stopped(&mut self, now: Timestamp, broker: &BrokerName) {
        self.heard.remove(broker);
        self.drop_source(now, &SourceId::Broker(broker.clone()));
    }

    /// The brokers of the replicated list of members, each with the control process that feeds it; called whenever the list has changed.
    ///
    /// `serving` is the number of brokers alive and of those that left lately and may be cut off.
    pub fn set_members(
        &mut self,
        now: Timestamp,
        serving: usize,
        fed_by: impl Iterator<Item = (BrokerName, ControlName)>,
    ) {
        self.serving = Some(serving.max(1));
        self.fed_by = fed_by.collect();
        self.settle_moved(now);
    }

    /// The other control processes; called whenever they have changed.
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

    /// What the other control processes are to be told, each 100 ms; an empty message tells them that
    /// this process is there.
    pub fn peer_message(&mut self, now: Timestamp) -> PeerUsage {
        self.look(now);
        self.own.message()
    }

    /// What the brokers that this process feeds are to be told, asked for each 100 ms, the most pressing first.
    /// An empty list is sent as well, now and then: a broker that hears nothing takes itself for cut off. Nothing
    /// is sent to brokers before [`Self::is_informed`].
    pub fn broker_levels(&mut self, now: Timestamp) -> Vec<TenantLevel> {
        self.look(now);
        let due = self.tenants.iter_mut().filter_map(|(name, tenant)| {
            let urgency = tenant.urgency(now)?;
            Some((urgency, name.clone()))
        });
        let mut due: Vec<(f64, TenantName)> = due.collect();
        due.sort_by(|(one, a), (other, b)| other.total_cmp(one).then_with(|| a.cmp(b)));
        due.truncate(MOST_LEVELS);
        let level = |(_, name): (f64, TenantName)| {
            let tenant = self.tenants.get_mut(&name)?;
            Some(tenant.tell(now, name))
        };
        due.into_iter().filter_map(level).collect()
    }

    /// The last report of `broker` that is contained; 0 for none.
    pub fn last_sequence(&self, broker: &BrokerName) -> u64 {
        self.heard.get(broker).map_or(0, |heard| heard.sequence)
    }

    /// Whether this process knows enough of the other brokers to tell levels: who there is, and what they use.
    pub fn is_informed(&self, now: Timestamp) -> bool {
        if self.serving.is_none() {
            return false;
        }
        let listened = self.started.map_or(Duration::ZERO, |started| now.since(started));
        let all_heard = self.expected.iter().all(|control| self.peers.contains_key(control));
        listened >= LISTENS_AT_MOST || (listened >= LISTENS_AT_LEAST && all_heard)
    }

    /// Notices who has fallen silent, and takes from the quotas what they are presumed to use.
    fn look(&mut self, now: Timestamp) {
        let passed = self.looked.map_or(Duration::ZERO, |looked| now.since(looked));
        self.looked = Some(now);
        if passed >= STOOD_STILL {
            return self.resume(now);
        }
        self.sources.retain(|_, source| source.silence(now) < DEPARTED_RETENTION);
        let fallen =
            |(id, source): (&SourceId, &Source)| source.has_fallen_silent(now).then(|| id.clone());
        let fallen: Vec<SourceId> = self.sources.iter().filter_map(fallen).collect();
        fallen.iter().for_each(|id| self.presume_silent(now, id));
        let silent = self.sources.iter().filter(|(_, source)| source.is_silent());
        let silent: Vec<SourceId> = silent.map(|(id, _)| id.clone()).collect();
        silent.iter().for_each(|id| self.presume(now, id, passed.as_secs_f64(), 0.0));
        self.reserve_bursts(now, &silent);
        self.sources.values_mut().for_each(|source| source.forget(now));
    }

    /// Keeps the part of each quota that silent brokers may use at once. Those that this process fed are unknown
    /// to the others, which learn of it by its totals.
    fn reserve_bursts(&mut self, now: Timestamp, silent: &[SourceId]) {
        let serving = self.serving();
        let mut shares: BTreeMap<TenantName, SilentShares> = BTreeMap::new();
        for id in silent {
            let Some(source) = self.sources.get_mut(id) else {
                continue;
            };
            for Presumed { tenant, share } in all_presumed(&self.tenants, source, now, serving) {
                let known = shares.entry(tenant).or_default();
                known.all += share;
                if matches!(id, SourceId::Broker(_)) {
                    known.fed_here += share;
                }
            }
        }
        for (name, tenant) in &mut self.tenants {
            let share = shares.get(name).copied().unwrap_or_default();
            let told = tenant.reserve(now, share.fed_here);
            tenant.reserve(now, share.all);
            if told > 0.0 {
                self.own.add(name, 0, told);
            }
        }
    }

    /// This process stood still itself: it listens first, as after a start.
    fn resume(&mut self, now: Timestamp) {
        self.started = Some(now);
        let heard = self.sources.values_mut().filter(|source| !source.is_silent());
        heard.for_each(|source| source.hear(now));
    }

    fn presume_silent(&mut self, now: Timestamp, id: &SourceId) {
        let brokers = self.brokers_behind(id);
        let serving = self.serving();
        let tenants = &self.tenants;
        let fleet =
            |name: &TenantName| tenants.get(name).map_or((0.0, 1.0), |tenant| tenant.flow(now));
        let Some(source) = self.sources.get_mut(id).filter(|source| !source.is_silent()) else {
            return;
        };
        source.fall_silent(now, brokers, serving, fleet);
        let span = source.silence(now);
        self.presume(now, id, span.as_secs_f64(), 1.0);
    }

    /// Takes from the quotas what a silent source is presumed to have used: its share of so many seconds of the
    /// rate and of so many bursts. What brokers of this
    /// process are presumed to use is told to the others, who do not know of the silence; each of them
    /// notices that of a control process.
    fn presume(&mut self, now: Timestamp, id: &SourceId, seconds: f64, bursts: f64) {
        let serving = self.serving();
        let Some(source) = self.sources.get_mut(id) else {
            return;
        };
        let presumed = all_presumed(&self.tenants, source, now, serving);
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

    /// Nothing more is presumed of brokers that were cut off here and are fed elsewhere now.
    fn settle_moved(&mut self, now: Timestamp) {
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

/// What a silent source is presumed to use of each quota.
fn all_presumed(
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
    let silence_limit = match id {
        SourceId::Broker(_) => SILENCE_OF_BROKER,
        SourceId::Control(_) => SILENCE_OF_CONTROL,
    };
    sources.entry(id).or_insert_with(|| Source::new(now, silence_limit))
}
