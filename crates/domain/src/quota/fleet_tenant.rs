//! One tenant over all brokers, as a control process knows it.

use std::time::Duration;

use super::admission::{Balance, HORIZON};
use super::bucket::Bucket;
use super::metered::TOLD_PART;
use super::rate::DecayedRate;
use super::share::{FLOW_MEMORY, LEAST_FLOW_TIME};
use super::usage::TenantLevel;
use crate::identifiers::TenantName;
use crate::routes::TenantQuota;
use crate::time::Timestamp;

/// Time in which arrivals are averaged for what brokers are told: reports come each 100 ms, and a tenant that
/// suddenly sends many times its quota is to be known after two or three of them.
const ARRIVAL_MEMORY: Duration = Duration::from_millis(300);
/// ShareWithoutNews of the burst above which the level is worth no word, while little arrives.
const AMPLE_PART: f64 = 0.75;
/// What arrives, over what the quota has room for, above which brokers are told: before they have to refuse,
/// so that they know their shares by then.
const CLOSE: f64 = 0.5;
/// Time after which a tenant is told of again while nothing presses, so that what brokers
/// know of it does not run out.
const TOLD_AGAIN: Duration = Duration::from_secs(1);
/// Bounds of how pressing a tenant is: one of which nearly all is refused must not keep others from
/// being told.
const MOST_PRESSING: f64 = 10.0;
const THOUSAND: f64 = 1_000.0;

/// The use of one quota by all brokers.
#[derive(Debug)]
pub(super) struct FleetTenant {
    quota: TenantQuota,
    bucket: Bucket,
    arrivals: DecayedRate,
    flow: DecayedRate,
    /// The share that brokers have which are not heard.
    silent_share: f64,
    /// When brokers were last told of it, while it was worth a word.
    told: Option<Timestamp>,
}

impl FleetTenant {
    /// A tenant that nobody has used yet, or, at a process that was not `informed` of what others use,
    /// one that may have used its burst.
    pub(super) fn new(now: Timestamp, quota: TenantQuota, informed: bool) -> Self {
        let (rate, burst) = (quota.per_second(), quota.burst());
        let level = if informed { burst } else { 0.0 };
        Self {
            quota,
            bucket: Bucket::new(now, rate, burst, level),
            arrivals: DecayedRate::new(now, ARRIVAL_MEMORY),
            flow: DecayedRate::new(now, FLOW_MEMORY),
            silent_share: 0.0,
            told: None,
        }
    }

    pub(super) fn configure(&mut self, now: Timestamp, quota: TenantQuota) {
        self.quota = quota;
        self.bucket.configure(now, quota.per_second(), quota.burst());
    }

    /// Requests that the quota allows in so many seconds, with so many bursts.
    pub(super) fn allowance(&self, seconds: f64, bursts: f64) -> f64 {
        self.quota.per_second() * seconds + self.quota.burst() * bursts
    }

    /// Counts requests that arrived, and takes what was used of the quota.
    pub(super) fn count(&mut self, now: Timestamp, arrived: f64, taken: f64) {
        self.arrivals.add(now, arrived);
        self.flow.add(now, arrived);
        self.bucket.take(now, taken);
    }

    pub(super) fn take(&mut self, now: Timestamp, requests: f64) {
        self.bucket.take(now, requests);
    }

    /// Gives requests back that were only presumed, as far as there is room; gives how many.
    pub(super) fn give_back(&mut self, now: Timestamp, requests: f64) -> f64 {
        self.bucket.give_back(now, requests)
    }

    /// Requests that came to all brokers in the memory of flows, and the rate from which on brokers are told.
    pub(super) fn flow(&self, now: Timestamp) -> (f64, f64) {
        (self.flow.sum_at(now), self.quota.per_second() * TOLD_PART)
    }

    /// Keeps `share` of the quota for brokers that are not heard; gives what that takes from the level.
    pub(super) fn reserve(&mut self, now: Timestamp, share: f64) -> f64 {
        self.silent_share = share.clamp(0.0, 1.0);
        let left = self.quota.burst() * (1.0 - self.silent_share);
        let taken = (self.bucket.level_at(now) - left).max(0.0);
        self.bucket.take(now, taken);
        taken
    }

    /// How pressing it is to tell brokers of it; none when there is nothing to tell.
    pub(super) fn urgency(&mut self, now: Timestamp) -> Option<f64> {
        let balance = self.balance(now);
        if !self.is_near(now, &balance) {
            // Relief is told once.
            return self.told.map(|_| 1.0);
        }
        // A tenant that brokers know nothing of comes before all that they know of.
        let waited = self.told.map_or(TOLD_AGAIN * 2, |told| now.since(told)).as_secs_f64();
        let pressing = (1.0 / balance.fraction().max(0.01)).min(MOST_PRESSING);
        Some(pressing * (1.0 + waited / TOLD_AGAIN.as_secs_f64()).powi(4))
    }

    /// What brokers are told now.
    pub(super) fn tell(&mut self, now: Timestamp, tenant: TenantName) -> TenantLevel {
        let balance = self.balance(now);
        self.told = self.is_near(now, &balance).then_some(now);
        TenantLevel {
            tenant,
            level_thousandths: (balance.level * THOUSAND) as i64,
            arrivals_per_1000_s: (balance.arrivals * THOUSAND) as u64,
        }
    }

    fn balance(&mut self, now: Timestamp) -> Balance {
        // Brokers reckon with the whole rate; the level that they are told lacks what silent ones have of it.
        let rate = self.quota.per_second();
        let of_silent = rate * self.silent_share * HORIZON.as_secs_f64();
        Balance {
            rate,
            level: self.bucket.level_at(now) - of_silent,
            arrivals: self.arrivals.per_second(now),
            price: 1.0,
        }
    }

    fn is_near(&self, now: Timestamp, balance: &Balance) -> bool {
        let usual = self.flow.per_second_seen(now, LEAST_FLOW_TIME);
        let lasting = usual > balance.rate * TOLD_PART;
        let used = balance.level < self.bucket.capacity() * AMPLE_PART;
        let close = balance.arrivals * CLOSE > balance.rate + balance.level;
        lasting || used || close
    }
}
