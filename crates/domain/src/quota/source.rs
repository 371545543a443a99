//! A source of usage reports at a control process: a broker or another control process.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::rate::DecayedRate;
use super::share::{FLOW_MEMORY, Flow, MIN_FLOW_TIME, aged_share, partition_share};
use crate::identifiers::{BrokerName, TenantName};
use crate::time::Timestamp;

/// Time without a message after which a broker is considered silent; it reports every 0.5 s.
pub(super) const BROKER_SILENCE_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Time without a message after which a control process is considered silent; it reports every 0.1
/// s. Until then both sides of a partition use the whole quota.
pub(super) const CONTROL_SILENCE_TIMEOUT: Duration = Duration::from_millis(600);
/// Silence of a control process after which a partition is assumed: the brokers of a process that has
/// ended have turned to another one by then.
const PARTITION_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Length of a silence beyond which the use reported after it counts only in part: a quota with the
/// usual window of five seconds has refilled since.
const REFILL_SPAN: Duration = Duration::from_secs(5);
/// Requests per second below which a flow is dropped: a few requests per minute change no share.
const MIN_FLOW: f64 = 0.02;

/// Kind of a source.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SourceKind {
    /// A broker.
    Broker,
    /// Another control process and the brokers that it feeds.
    Control,
}

impl SourceKind {
    /// Time without a message after which a source of this kind is considered silent.
    fn silence_timeout(self) -> Duration {
        match self {
            Self::Broker => BROKER_SILENCE_TIMEOUT,
            Self::Control => CONTROL_SILENCE_TIMEOUT,
        }
    }
}

/// Requests of one tenant at all brokers.
#[derive(Debug, Clone, Copy)]
pub(super) struct FleetFlow {
    /// Decayed sum of the requests.
    pub(super) sum: f64,
    /// The same without the most recent ones, which a silent control process has not reported.
    pub(super) earlier_sum: f64,
    /// Upper bound of the requests per second of a tenant whose level is not sent.
    pub(super) unreported_rate: f64,
}

/// The flow of one tenant from a source.
#[derive(Debug)]
struct Contribution {
    flow: DecayedRate,
    /// Share of the quota when the source fell silent.
    share: f64,
    /// Share of the quota that the brokers behind a silent control process use if it goes on without
    /// this one.
    partition_share: f64,
    /// Requests presumed since.
    presumed: f64,
    /// Whether the tenant is missing from all reports since the source fell silent.
    unreported: bool,
}

/// Presumed use of one quota by a silent source.
#[derive(Debug)]
pub(super) struct Presumed {
    pub(super) tenant: TenantName,
    /// Share of the quota.
    pub(super) share: f64,
}

/// A broker or another control process.
#[derive(Debug)]
pub(super) struct Source {
    kind: SourceKind,
    heard: Timestamp,
    silent: bool,
    /// Whether no message ever arrived: its brokers are presumed to use equal shares of all quotas.
    never_heard: bool,
    contributions: BTreeMap<TenantName, Contribution>,
    /// Brokers behind the source when it fell silent.
    brokers: BTreeSet<BrokerName>,
    /// Number of those brokers that have not reconnected elsewhere.
    missing: usize,
    /// Length of the last silence.
    silence: Duration,
}

impl Source {
    /// A source that is expected to report from now on.
    pub(super) fn new(now: Timestamp, kind: SourceKind) -> Self {
        Self {
            kind,
            heard: now,
            silent: false,
            never_heard: true,
            contributions: BTreeMap::new(),
            brokers: BTreeSet::new(),
            missing: 0,
            silence: Duration::ZERO,
        }
    }

    pub(super) fn is_silent(&self) -> bool {
        self.silent
    }

    pub(super) fn has_fallen_silent(&self, now: Timestamp) -> bool {
        !self.silent && now.since(self.heard) >= self.kind.silence_timeout()
    }

    /// Time since the last message.
    pub(super) fn silence(&self, now: Timestamp) -> Duration {
        now.since(self.heard)
    }

    /// Records a message, or restarts the silence timeout.
    pub(super) fn hear(&mut self, now: Timestamp) {
        if self.silent {
            self.silence = now.since(self.heard);
            self.silent = false;
        }
        self.heard = self.heard.max(now);
        self.never_heard = false;
    }

    /// Share of every quota presumed for the brokers of a source that never reported.
    pub(super) fn unknown_share(&self, serving: usize) -> f64 {
        if self.never_heard { self.missing as f64 / serving as f64 } else { 0.0 }
    }

    /// Marks the source as silent, with `brokers` behind it. `fleet` gives the requests of a tenant
    /// at all brokers.
    pub(super) fn fall_silent(
        &mut self,
        now: Timestamp,
        brokers: BTreeSet<BrokerName>,
        serving: usize,
        mut fleet: impl FnMut(&TenantName) -> FleetFlow,
    ) {
        let heard = self.heard;
        self.silent = true;
        self.missing = brokers.len();
        self.brokers = brokers;
        let behind = self.missing.max(1) as f64;
        self.contributions.retain(|_, contribution| contribution.flow.per_second(now) >= MIN_FLOW);
        for (tenant, contribution) in &mut self.contributions {
            // Mirrors the estimate that each of its brokers makes from its part of the flow.
            let seen = contribution.flow.sum_at(heard);
            let fleet = fleet(tenant);
            let flow = Flow {
                seen: seen / behind,
                seen_by_all: fleet.sum,
                rate: contribution.flow.per_second_seen(heard, MIN_FLOW_TIME) / behind,
                rate_of_all: fleet.unreported_rate.max(fleet.sum / FLOW_MEMORY.as_secs_f64()),
            };
            contribution.share = flow.share(serving) * behind;
            contribution.partition_share =
                partition_share(seen, fleet.earlier_sum, behind / serving as f64);
            contribution.unreported = true;
        }
    }

    /// Excludes brokers that have reconnected elsewhere.
    pub(super) fn leave_out(&mut self, is_elsewhere: impl Fn(&BrokerName) -> bool) {
        self.missing = self.brokers.iter().filter(|broker| !is_elsewhere(broker)).count();
    }

    /// Counts reported requests of a tenant. Returns the presumed requests, which the caller has to
    /// return to the quota.
    pub(super) fn count(&mut self, now: Timestamp, tenant: &TenantName, arrived: f64) -> f64 {
        let matters = self.unrefilled_fraction();
        let contribution = self.contribution(now, tenant);
        contribution.flow.add(now, arrived);
        contribution.unreported = false;
        std::mem::take(&mut contribution.presumed) * matters
    }

    /// Fraction of the increase of a tenant's total that still counts: less than 1 after a silence.
    pub(super) fn unrefilled_fraction_of(&self, tenant: &TenantName) -> f64 {
        let unreported = self.contributions.get(tenant).is_none_or(|known| known.unreported);
        if unreported { self.unrefilled_fraction() } else { 1.0 }
    }

    /// Presumed use of each quota, with `serving` brokers in total.
    pub(super) fn presume(
        &mut self,
        now: Timestamp,
        serving: usize,
    ) -> impl Iterator<Item = Presumed> {
        let silence = now.since(self.heard);
        let behind = self.brokers.len().max(1) as f64;
        let missing = self.missing as f64;
        let is_partition = self.kind == SourceKind::Control && silence >= PARTITION_TIMEOUT;
        self.contributions.iter_mut().map(move |(tenant, contribution)| {
            let share = match is_partition {
                true => contribution.partition_share.max(contribution.share),
                false => contribution.share,
            };
            let each = aged_share(share / behind, silence, serving);
            Presumed { tenant: tenant.clone(), share: each * missing }
        })
    }

    /// Records presumed requests of a tenant.
    pub(super) fn note_presumed(&mut self, now: Timestamp, tenant: &TenantName, requests: f64) {
        self.contribution(now, tenant).presumed += requests;
    }

    /// Removes and returns the presumed requests by tenant, since other sources report them now.
    pub(super) fn take_presumed(&mut self, now: Timestamp) -> Vec<(TenantName, f64)> {
        self.silence = now.since(self.heard);
        let matters = self.unrefilled_fraction();
        let presumed = |(tenant, contribution): (&TenantName, &mut Contribution)| {
            (tenant.clone(), std::mem::take(&mut contribution.presumed) * matters)
        };
        self.contributions.iter_mut().map(presumed).collect()
    }

    /// Drops flows that have ended.
    pub(super) fn forget(&mut self, now: Timestamp) {
        self.contributions.retain(|_, contribution| {
            contribution.unreported || contribution.flow.per_second(now) >= MIN_FLOW
        });
    }

    /// Fraction of the use during the last silence that the quota has not refilled since.
    fn unrefilled_fraction(&self) -> f64 {
        let silence = self.silence.as_secs_f64();
        (REFILL_SPAN.as_secs_f64() / silence.max(REFILL_SPAN.as_secs_f64())).min(1.0)
    }

    fn contribution(&mut self, now: Timestamp, tenant: &TenantName) -> &mut Contribution {
        self.contributions.entry(tenant.clone()).or_insert_with(|| Contribution {
            flow: DecayedRate::new(now, FLOW_MEMORY),
            share: 0.0,
            partition_share: 0.0,
            presumed: 0.0,
            unreported: false,
        })
    }
}
