//! Who tells a control process of the use of quotas: a broker, or another control process.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::rate::DecayedRate;
use super::share::{FLOW_MEMORY, Flow, LEAST_FLOW_TIME, aged_share};
use crate::identifiers::{BrokerName, TenantName};
use crate::time::Timestamp;

/// Time without a word after which a broker is presumed to be cut off: it tells something each 0.5 s.
pub(super) const SILENCE_OF_BROKER: Duration = Duration::from_millis(1_200);
/// The same of a control process, which tells something each 0.1 s. Until then both sides of a cut use the
/// whole quota.
pub(super) const SILENCE_OF_CONTROL: Duration = Duration::from_millis(600);
/// Silence beyond which less than all of what was used in it still counts when a source is heard again: a quota of the
/// usual window of five seconds has refilled since.
const REFILL_SPAN: Duration = Duration::from_secs(5);
/// Requests a second below which a flow is forgotten: a broker's few requests a minute change no share.
const LEAST_FLOW: f64 = 0.02;

/// What a source told of one tenant.
#[derive(Debug)]
struct Contribution {
    flow: DecayedRate,
    /// Its share of the quota when it fell silent.
    share: f64,
    /// What was presumed of it since.
    presumed: f64,
    /// Whether nothing was heard of the tenant since the source fell silent.
    unheard: bool,
}

/// What a source is presumed to have used since the last look.
#[derive(Debug)]
pub(super) struct Presumed {
    pub(super) tenant: TenantName,
    /// Share of the quota.
    pub(super) share: f64,
}

/// A broker or another control process.
#[derive(Debug)]
pub(super) struct Source {
    heard: Timestamp,
    /// Time without a word after which it is presumed to be cut off.
    silence_limit: Duration,
    silent: bool,
    /// Nothing was ever heard of it: its brokers are presumed to use equal shares of all quotas.
    never_heard: bool,
    contributions: BTreeMap<TenantName, Contribution>,
    /// Brokers behind it when it fell silent, and those of them that have not come back elsewhere.
    brokers: BTreeSet<BrokerName>,
    missing: usize,
    /// How long the last silence was, while what it left is still being settled.
    silence: Duration,
}

impl Source {
    /// A source that is to be heard from now on.
    pub(super) fn new(now: Timestamp, silence_limit: Duration) -> Self {
        Self {
            heard: now,
            silence_limit,
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
        !self.silent && now.since(self.heard) >= self.silence_limit
    }

    /// For how long it has not been heard.
    pub(super) fn silence(&self, now: Timestamp) -> Duration {
        now.since(self.heard)
    }

    /// It is heard, or given time until it is presumed to be cut off.
    pub(super) fn hear(&mut self, now: Timestamp) {
        if self.silent {
            self.silence = now.since(self.heard);
            self.silent = false;
        }
        self.heard = self.heard.max(now);
        self.never_heard = false;
    }

    /// The share of every quota that its brokers are presumed to use of whom nothing was ever heard.
    pub(super) fn unknown_share(&self, serving: usize) -> f64 {
        if self.never_heard { self.missing as f64 / serving as f64 } else { 0.0 }
    }

    /// It is presumed to be cut off, with these brokers behind it. `fleet` gives the requests of a tenant at
    /// all brokers in the memory of flows, and the rate from which on brokers are told of it.
    pub(super) fn fall_silent(
        &mut self,
        now: Timestamp,
        brokers: BTreeSet<BrokerName>,
        serving: usize,
        fleet: impl Fn(&TenantName) -> (f64, f64),
    ) {
        let heard = self.heard;
        self.silent = true;
        self.missing = brokers.len();
        self.brokers = brokers;
        let behind = self.missing.max(1) as f64;
        self.contributions
            .retain(|_, contribution| contribution.flow.per_second(now) >= LEAST_FLOW);
        for (tenant, contribution) in &mut self.contributions {
            // As each of its brokers reckons, of its part of the flow.
            let own = contribution.flow.sum_at(heard) / behind;
            let (fleet, least) = fleet(tenant);
            let flow = Flow {
                seen: own,
                seen_by_all: fleet,
                rate: contribution.flow.per_second_seen(heard, LEAST_FLOW_TIME) / behind,
                rate_of_all: least.max(fleet / FLOW_MEMORY.as_secs_f64()),
            };
            contribution.share = flow.share(serving) * behind;
            contribution.unheard = true;
        }
    }

    /// Some of its brokers have come back elsewhere.
    pub(super) fn leave_out(&mut self, is_elsewhere: impl Fn(&BrokerName) -> bool) {
        self.missing = self.brokers.iter().filter(|broker| !is_elsewhere(broker)).count();
    }

    /// Counts requests of a tenant that the source told of; gives what had been presumed of it, which is to be
    /// given back.
    pub(super) fn count(&mut self, now: Timestamp, tenant: &TenantName, arrived: f64) -> f64 {
        let matters = self.unrefilled_part();
        let contribution = self.contribution(now, tenant);
        contribution.flow.add(now, arrived);
        contribution.unheard = false;
        std::mem::take(&mut contribution.presumed) * matters
    }

    /// The part of a growing total of a tenant that still matters: all of it, but after a silence.
    pub(super) fn unrefilled_part_of(&self, tenant: &TenantName) -> f64 {
        let unheard = self.contributions.get(tenant).is_none_or(|known| known.unheard);
        if unheard { self.unrefilled_part() } else { 1.0 }
    }

    /// What it is presumed to use, with `serving` brokers in all.
    pub(super) fn presume(
        &mut self,
        now: Timestamp,
        serving: usize,
    ) -> impl Iterator<Item = Presumed> {
        let silence = now.since(self.heard);
        let behind = self.brokers.len().max(1) as f64;
        let missing = self.missing as f64;
        self.contributions.iter_mut().map(move |(tenant, contribution)| {
            let each = aged_share(contribution.share / behind, silence, serving);
            Presumed { tenant: tenant.clone(), share: each * missing }
        })
    }

    /// Notes what was presumed of a tenant.
    pub(super) fn note_presumed(&mut self, now: Timestamp, tenant: &TenantName, requests: f64) {
        self.contribution(now, tenant).presumed += requests;
    }

    /// What was presumed of it lately, by tenant: it is told by others now.
    pub(super) fn take_presumed(&mut self, now: Timestamp) -> Vec<(TenantName, f64)> {
        self.silence = now.since(self.heard);
        let matters = self.unrefilled_part();
        let presumed = |(tenant, contribution): (&TenantName, &mut Contribution)| {
            (tenant.clone(), std::mem::take(&mut contribution.presumed) * matters)
        };
        self.contributions.iter_mut().map(presumed).collect()
    }

    /// Forgets flows that have ended.
    pub(super) fn forget(&mut self, now: Timestamp) {
        self.contributions.retain(|_, contribution| {
            contribution.unheard || contribution.flow.per_second(now) >= LEAST_FLOW
        });
    }

    /// The part of what was used during the last silence that still matters.
    fn unrefilled_part(&self) -> f64 {
        let silence = self.silence.as_secs_f64();
        (REFILL_SPAN.as_secs_f64() / silence.max(REFILL_SPAN.as_secs_f64())).min(1.0)
    }

    fn contribution(&mut self, now: Timestamp, tenant: &TenantName) -> &mut Contribution {
        self.contributions.entry(tenant.clone()).or_insert_with(|| Contribution {
            flow: DecayedRate::new(now, FLOW_MEMORY),
            share: 0.0,
            presumed: 0.0,
            unheard: false,
        })
    }
}
