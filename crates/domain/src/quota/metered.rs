//! One tenant at one broker.

use std::time::Duration;

use super::admission::Balance;
use super::bucket::Bucket;
use super::meter::{NEWS_LIFE, QuotaDecision, QuotaSettings, TenantQuotaStatus};
use super::rate::{DecayedRate, LaggedRate};
use super::share::{FLOW_MEMORY, Flow, LEAST_FLOW_TIME, aged_share};
use super::usage::TenantLevel;
use crate::identifiers::TenantName;
use crate::routes::TenantQuota;
use crate::time::Timestamp;

/// Time in which a broker averages what comes to it, against the sum that it is told: short, since its own
/// count is ahead of the news only while these are on their way.
const ARRIVAL_MEMORY: Duration = Duration::from_millis(300);
/// Time in which it averages what comes to it while there are no news: longer, since from few requests of
/// its own it has to tell the sum.
const SLOW_ARRIVAL_MEMORY: Duration = Duration::from_secs(3);
/// Standard deviations by which the requests that come without news may exceed the usual ones before
/// the tenant is held to its share: a share of one request a second has no room for chance.
const DEVIATIONS: f64 = 3.0;
/// Time for which a level counts that was told. Control processes repeat the levels of tenants near their
/// quotas more often than that, and tell relief once.
const TOLD_LIFE: Duration = Duration::from_secs(2);
/// ShareWithoutNews of a quota above which control processes tell of a tenant
/// ([`super::fold`]); nobody is told of one that stays below it.
pub(super) const TOLD_PART: f64 = 0.7;
/// Time of which requests are no part of the flows yet: at the start of a time without news, flows of before are
/// reckoned with. A tenant may have turned hot within the last second; counted at once, each broker's share would
/// grow by its own rush, and all shares together would exceed the quota.
const FLOW_LAG: Duration = Duration::from_secs(2);
/// Seconds below which what was told of a tenant says little of its rate.
const LEAST_TOLD_TIME: f64 = 1.0;
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
struct ShareWithoutNews {
    share: f64,
    bucket: Bucket,
    /// Requests that come here in [`SLOW_ARRIVAL_MEMORY`] at most while the tenant goes on as it did; none
    /// for one that was limited.
    usual: f64,
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
    slow_arrivals: DecayedRate,
    /// Requests that were admitted here: usual ones, also of a tenant that was beyond its quota lately.
    admitted_flow: LaggedRate,
    /// Arrivals here, and here and everywhere while control told of the tenant.
    flow: LaggedRate,
    told_flow: DecayedRate,
    fleet_flow: DecayedRate,
    /// Seconds for which control told of it.
    told_time: DecayedRate,
    /// Requests a second here at the last but one news: what is told is as old, and averaged alike. With its
    /// present rate, a sudden rush would count here before it counts in the sum.
    own_rate: f64,
    told: Option<Told>,
    part: Option<ShareWithoutNews>,
}

impl Metered {
    pub(super) fn new(now: Timestamp, quota: TenantQuota) -> Self {
        Self {
            quota,
            arrived: 0,
            refused: 0,
            unheard: 0.0,
            arrivals: DecayedRate::new(now, ARRIVAL_MEMORY),
            slow_arrivals: DecayedRate::new(now, SLOW_ARRIVAL_MEMORY),
            admitted_flow: LaggedRate::new(now, FLOW_MEMORY, FLOW_LAG),
            flow: LaggedRate::new(now, FLOW_MEMORY, FLOW_LAG),
            told_flow: DecayedRate::new(now, FLOW_MEMORY),
            fleet_flow: DecayedRate::new(now, FLOW_MEMORY),
            told_time: DecayedRate::new(now, FLOW_MEMORY),
            own_rate: 0.0,
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
    pub(super) fn balance(&self, now: Timestamp, settings: &QuotaSettings) -> Balance {
        let told = self.told_room(now, settings);
        let own = self.arrivals.per_second(now);
        let age = self.told.map_or(Duration::ZERO, |told| now.since(told.at));
        let used = self.unheard.max(told.drained_in(age));
        Balance { level: told.level - used, arrivals: told.arrivals.max(own), ..told }
    }

    /// What there was for all brokers as control told it last, `at` that time.
    fn told_room(&self, at: Timestamp, settings: &QuotaSettings) -> Balance {
        let told = self.told.filter(|told| at.since(told.at) < TOLD_LIFE);
        let level = told.map_or(self.quota.burst(), |told| told.level);
        Balance {
            rate: self.quota.per_second(),
            level: level + settings.additional_burst(self.quota),
            arrivals: told.map_or(0.0, |told| told.arrivals),
            price: 1.0,
        }
    }

    /// What there is for the next request after `without_news`, at one of `brokers`. Amounts are of this
    /// broker's part: a request takes its share of one, so that it is one at all brokers together.
    pub(super) fn balance_without_news(
        &mut self,
        now: Timestamp,
        settings: &QuotaSettings,
        without_news: Duration,
        brokers: usize,
    ) -> Balance {
        let rate = self.quota.per_second();
        let additional = settings.additional_burst_without_news(self.quota);
        let capacity = self.quota.burst() + additional;
        let known = self.part;
        let mut part = known.unwrap_or_else(|| self.part_at(now, settings, without_news, brokers));
        let share = aged_share(part.share, without_news, brokers);
        part.bucket.configure(now, rate * share, capacity * share);
        let level = part.bucket.level_at(now);
        self.part = Some(part);
        if self.slow_arrivals.sum_at(now) + 1.0 <= part.usual {
            return Balance { rate: rate * share, level: 0.0, arrivals: 0.0, price: 0.0 };
        }
        let arrivals = self.lone_rate(now);
        Balance { rate: rate * share, level, arrivals, price: share }
    }

    /// Requests a second that come here, from few: what comes in a moment counts where it is surely more.
    fn lone_rate(&self, now: Timestamp) -> f64 {
        let moment = self.arrivals.sum_at(now);
        let surely = (moment - DEVIATIONS * moment.sqrt()) / ARRIVAL_MEMORY.as_secs_f64();
        self.slow_arrivals.per_second(now).max(surely)
    }

    /// The part of the quota that falls to this broker as the news end.
    fn part_at(
        &mut self,
        now: Timestamp,
        settings: &QuotaSettings,
        without_news: Duration,
        brokers: usize,
    ) -> ShareWithoutNews {
        let rate = self.quota.per_second();
        let additional = settings.additional_burst_without_news(self.quota);
        let capacity = self.quota.burst() + additional;
        let share = self.share(now, brokers);
        // A process that stood still comes here long after the news ended; others went on meanwhile.
        let news_at = now.before(without_news);
        let told = self.told_room(news_at, settings);
        let refilled = rate * without_news.min(NEWS_LIFE).as_secs_f64();
        // The requests that were not heard of are this broker's own, not its share of all.
        let level = told.level + refilled + additional - settings.additional_burst(self.quota);
        let level = level.min(capacity) * share - self.unheard;
        let bucket = Bucket::new(now, rate * share, capacity * share, level);
        let was_limited = told.fraction() < 1.0;
        let usual_rate = self.admitted_flow.per_second_seen(now, LEAST_FLOW_TIME);
        let expected = usual_rate * SLOW_ARRIVAL_MEMORY.as_secs_f64();
        let usual = if was_limited { 0.0 } else { expected + DEVIATIONS * expected.sqrt() };
        ShareWithoutNews { share, bucket, usual }
    }

    /// Counts a request that has come, and decides by `draw`.
    pub(super) fn decide(&mut self, now: Timestamp, balance: &Balance, draw: f64) -> QuotaDecision {
        self.arrived += 1;
        self.arrivals.add(now, 1.0);
        self.slow_arrivals.add(now, 1.0);
        self.flow.add(now, 1.0);
        if draw >= balance.fraction() {
            self.refused += 1;
            return QuotaDecision::Rejected { retry_after: balance.retry_after(draw) };
        }
        self.unheard += 1.0;
        self.admitted_flow.add(now, 1.0);
        if let Some(part) = &mut self.part {
            part.bucket.take(now, 1.0);
        }
        QuotaDecision::Admitted
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
            self.told_flow.add(now, self.own_rate * passed);
            self.told_time.add(now, passed);
        }
        self.own_rate = self.arrivals.per_second(now);
        let level = (level.level_thousandths as f64 / THOUSAND).min(self.quota.burst());
        self.told = Some(Told { at: now, level, arrivals });
    }

    /// News have come again.
    pub(super) fn end_part(&mut self) {
        self.part = None;
    }

    pub(super) fn standing<'a>(&self, tenant: &'a TenantName) -> TenantQuotaStatus<'a> {
        let level = self.told.map_or(self.quota.burst(), |told| told.level);
        TenantQuotaStatus {
            tenant,
            arrived: self.arrived,
            refused: self.refused,
            level: level - self.unheard,
        }
    }

    /// This broker's share of the tenant's quota by the flows at the last news.
    fn share(&mut self, now: Timestamp, brokers: usize) -> f64 {
        let seen_by_all = self.fleet_flow.sum_at(now);
        // Control tells of the tenant now and then; the average of a moment is not that of all the time.
        let told_rate = seen_by_all / self.told_time.sum_at(now).max(LEAST_TOLD_TIME);
        let flow = Flow {
            seen: self.told_flow.sum_at(now),
            seen_by_all,
            rate: self.flow.per_second_seen(now, LEAST_FLOW_TIME),
            rate_of_all: told_rate.max(self.quota.per_second() * TOLD_PART),
        };
        flow.share(brokers)
    }
}
