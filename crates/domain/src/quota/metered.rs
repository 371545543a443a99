//! One tenant at one broker.

use std::time::Duration;

use super::admission::Room;
use super::bucket::Bucket;
use super::meter::{QuotaSettings, QuotaVerdict, TenantStanding};
use super::rate::DecayedRate;
use super::share::{FLOW_MEMORY, aged_share, equal_share, flow_share};
use super::usage::TenantLevel;
use crate::identifiers::TenantName;
use crate::routes::TenantQuota;
use crate::time::Timestamp;

/// Time in which a broker averages what comes to it, against the sum that it is told: short, since its own
/// count is ahead of the news only while these are on their way.
const ARRIVAL_MEMORY: Duration = Duration::from_millis(300);
/// Time in which it averages what comes to it while there are no news: longer, since from few requests of
/// its own it has to tell the sum.
const LONE_ARRIVAL_MEMORY: Duration = Duration::from_secs(3);
/// Time for which a level counts that was told. Control processes repeat the levels of tenants near their
/// quotas more often than that, and tell relief once.
const TOLD_LIFE: Duration = Duration::from_secs(2);
/// Part of a quota above which control processes tell of a tenant
/// ([`super::fold`]); nobody is told of one that stays below it.
pub(super) const TOLD_PART: f64 = 0.7;
/// Thousandths of a whole.
const THOUSAND: f64 = 1_000.0;

/// How a quota stands, as control told it.
#[derive(Debug, Clone, Copy)]
struct Told {
    at: Timestamp,
    level: f64,
    /// Requests a second at all brokers.
    arrivals: f64,
}

/// A part of the quota that is used without news.
#[derive(Debug, Clone, Copy)]
struct Part {
    share: f64,
    bucket: Bucket,
}

/// Counts and knowledge of one tenant.
#[derive(Debug)]
pub(super) struct Metered {
    pub(super) quota: TenantQuota,
    arrived: u64,
    refused: u64,
    /// Requests that were admitted here and are not contained in what was told.
    unheard: f64,
    arrivals: DecayedRate,
    lone_arrivals: DecayedRate,
    /// Arrivals here, and here and everywhere while control told of the tenant.
    flow: DecayedRate,
    told_flow: DecayedRate,
    fleet_flow: DecayedRate,
    since_told: f64,
    told: Option<Told>,
    part: Option<Part>,
}

impl Metered {
    pub(super) fn new(quota: TenantQuota) -> Self {
        Self {
            quota,
            arrived: 0,
            refused: 0,
            unheard: 0.0,
            arrivals: DecayedRate::new(ARRIVAL_MEMORY),
            lone_arrivals: DecayedRate::new(LONE_ARRIVAL_MEMORY),
            flow: DecayedRate::new(FLOW_MEMORY),
            told_flow: DecayedRate::new(FLOW_MEMORY),
            fleet_flow: DecayedRate::new(FLOW_MEMORY),
            since_told: 0.0,
            told: None,
            part: None,
        }
    }

    pub(super) fn configure(&mut self, quota: TenantQuota) {
        if self.quota == quota {
            return;
        }
        self.quota = quota;
        self.part = None;
        if let Some(told) = &mut self.told {
            told.level = told.level.min(quota.burst());
        }
    }

    /// What there is for the next request while news come.
    pub(super) fn room(&self, now: Timestamp, settings: &QuotaSettings) -> Room {
        let burst = self.quota.burst();
        let told = self.told.filter(|told| now.since(told.at) < TOLD_LIFE);
        let level = told.map_or(burst, |told| told.level);
        let arrivals = told.map_or(0.0, |told| told.arrivals);
        Room {
            rate: self.quota.per_second(),
            level: level + settings.additional_burst(self.quota) - self.unheard,
            arrivals: arrivals.max(self.arrivals.per_second(now)),
            price: 1.0,
        }
    }

    /// What there is for the next request after `without_news`, at one of `brokers`. Amounts are of this
    /// broker's part: a request takes its share of one, so that it is one at all brokers together.
    pub(super) fn lone_room(
        &mut self,
        now: Timestamp,
        settings: &QuotaSettings,
        without_news: Duration,
        brokers: usize,
    ) -> Room {
        let rate = self.quota.per_second();
        let capacity = self.quota.burst() + settings.additional_burst(self.quota);
        let mut part = self.part.unwrap_or_else(|| {
            let share = self.share(now, brokers);
            let level = self.room(now, settings).level + rate * without_news.as_secs_f64();
            // The requests that were not heard of are this broker's own, not its share of all.
            let level = (level + self.unheard).min(capacity) * share - self.unheard;
            let bucket = Bucket::new(now, rate * share, capacity * share, level);
            Part { share, bucket }
        });
        let share = aged_share(part.share, without_news, brokers);
        part.bucket.configure(now, rate * share, capacity * share);
        let level = part.bucket.level_at(now);
        self.part = Some(part);
        let arrivals = self.lone_arrivals.per_second(now);
        Room { rate: rate * share, level, arrivals, price: share }
    }

    /// Counts a request that has come, and decides by `draw`.
    pub(super) fn decide(&mut self, now: Timestamp, room: &Room, draw: f64) -> QuotaVerdict {
        self.arrived += 1;
        self.since_told += 1.0;
        self.arrivals.add(now, 1.0);
        self.lone_arrivals.add(now, 1.0);
        self.flow.add(now, 1.0);
        if draw >= room.fraction() {
            self.refused += 1;
            return QuotaVerdict::Beyond { retry_after: room.retry_after(draw) };
        }
        self.unheard += 1.0;
        if let Some(part) = &mut self.part {
            part.bucket.take(now, 1.0);
        }
        QuotaVerdict::Within
    }

    /// Control has heard of `admitted` requests, or they are too old to matter.
    pub(super) fn heard(&mut self, admitted: u32) {
        self.unheard = (self.unheard - f64::from(admitted)).max(0.0);
    }

    /// A request that was admitted and that nobody was told of did not run.
    pub(super) fn give_back(&mut self, now: Timestamp) {
        self.heard(1);
        if let Some(part) = &mut self.part {
            part.bucket.take(now, -1.0);
        }
    }

    pub(super) fn told(&mut self, now: Timestamp, level: &TenantLevel) {
        let arrivals = level.arrivals_per_1000_s as f64 / THOUSAND;
        if let Some(before) = self.told.filter(|before| now.since(before.at) < TOLD_LIFE) {
            let passed = now.since(before.at).as_secs_f64();
            self.fleet_flow.add(now, arrivals * passed);
            self.told_flow.add(now, self.since_told);
        }
        self.since_told = 0.0;
        let level = (level.level_thousandths as f64 / THOUSAND).min(self.quota.burst());
        self.told = Some(Told { at: now, level, arrivals });
    }

    /// News have come again.
    pub(super) fn end_part(&mut self) {
        self.part = None;
    }

    pub(super) fn standing<'a>(&self, tenant: &'a TenantName) -> TenantStanding<'a> {
        let level = self.told.map_or(self.quota.burst(), |told| told.level);
        TenantStanding {
            tenant,
            arrived: self.arrived,
            refused: self.refused,
            level: level - self.unheard,
        }
    }

    /// This broker's share of the tenant's quota by the flows at the last news.
    fn share(&self, now: Timestamp, brokers: usize) -> f64 {
        let fleet = self.fleet_flow.sum_at(now);
        if fleet > 0.0 && self.told.is_some_and(|told| now.since(told.at) < FLOW_MEMORY) {
            return flow_share(self.told_flow.sum_at(now), fleet, brokers);
        }
        // All brokers together had less than the told part; what is left is shared equally.
        let own = self.flow.per_second(now) / self.quota.per_second();
        own.min(TOLD_PART) + (1.0 - TOLD_PART) * equal_share(brokers)
    }
}
