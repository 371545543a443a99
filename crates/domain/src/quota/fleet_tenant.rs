//! Quota state of one tenant over all brokers, at a control process.

use std::time::Duration;

use super::admission::{Balance, HORIZON};
use super::bucket::Bucket;
use super::metered::{REPORTED_SHARE, UNREPORTED_LOAD};
use super::rate::{DecayedRate, LaggedRate};
use super::share::{FLOW_MEMORY, MIN_FLOW_TIME};
use super::source::{CONTROL_SILENCE_TIMEOUT, FleetFlow};
use super::usage::TenantLevel;
use crate::identifiers::TenantName;
use crate::routes::TenantQuota;
use crate::time::Timestamp;

/// Time constant of the arrival rate sent to brokers: reports come every 100 ms, and a tenant that
/// suddenly sends many times its quota has to show after two or three of them.
const ARRIVAL_MEMORY: Duration = Duration::from_millis(300);
/// Fraction of the burst above which the level is not sent while the arrival rate is low.
const AMPLE_SHARE: f64 = 0.75;
/// Weight of the arrivals when they are compared to the available quota: levels are sent before
/// brokers have to refuse requests, so that they know their shares by then.
const CLOSE: f64 = 0.5;
/// Interval at which the level of a tenant is repeated, so that it does not expire at brokers.
const REPEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Upper bound of the urgency by load, so that a tenant whose requests are nearly all refused does
/// not keep the levels of others from being sent.
const MAX_URGENCY: f64 = 10.0;
const THOUSAND: f64 = 1_000.0;

/// The use of one quota by all brokers.
#[derive(Debug)]
pub(super) struct FleetTenant {
    quota: TenantQuota,
    bucket: Bucket,
    /// The same without presumed use: what is given back may raise the level to this one.
    counted: Bucket,
    arrivals: DecayedRate,
    flow: DecayedRate,
    /// The same without the most recent requests.
    earlier_flow: LaggedRate,
    /// Share of the quota held by silent brokers.
    silent_share: f64,
    /// When its level was last sent; none once the tenant is no longer near its quota.
    sent_at: Option<Timestamp>,
}

impl FleetTenant {
    /// A tenant without any use, or, at a process that is not `informed` of the use at other
    /// processes, one that may have used its whole burst.
    pub(super) fn new(now: Timestamp, quota: TenantQuota, informed: bool) -> Self {
        let (rate, burst) = (quota.per_second(), quota.burst());
        let level = if informed { burst } else { 0.0 };
        Self {
            quota,
            bucket: Bucket::new(now, rate, burst, level),
            counted: Bucket::new(now, rate, burst, level),
            arrivals: DecayedRate::new(now, ARRIVAL_MEMORY),
            flow: DecayedRate::new(now, FLOW_MEMORY),
            earlier_flow: LaggedRate::new(now, FLOW_MEMORY, CONTROL_SILENCE_TIMEOUT),
            silent_share: 0.0,
            sent_at: None,
        }
    }

    pub(super) fn configure(&mut self, now: Timestamp, quota: TenantQuota) {
        self.quota = quota;
        self.bucket.configure(now, quota.per_second(), quota.burst());
        self.counted.configure(now, quota.per_second(), quota.burst());
    }

    /// Requests that the quota allows in `seconds`, plus `bursts` times its burst.
    pub(super) fn allowance(&self, seconds: f64, bursts: f64) -> f64 {
        self.quota.per_second() * seconds + self.quota.burst() * bursts
    }

    /// Counts arrived requests, and takes the admitted ones from the quota.
    pub(super) fn count(&mut self, now: Timestamp, arrived: f64, taken: f64) {
        self.arrivals.add(now, arrived);
        self.flow.add(now, arrived);
        self.earlier_flow.add(now, arrived);
        self.bucket.take(now, taken);
        self.counted.take(now, taken);
    }

    pub(super) fn take(&mut self, now: Timestamp, requests: f64) {
        self.bucket.take(now, requests);
    }

    /// Returns presumed requests to the quota, up to the level without any presumed use. Returns how
    /// many were credited.
    pub(super) fn give_back(&mut self, now: Timestamp, requests: f64) -> f64 {
        let room = self.counted.level_at(now) - self.bucket.level_at(now);
        self.bucket.give_back(now, requests.min(room.max(0.0)))
    }

    /// Requests at all brokers.
    pub(super) fn fleet_flow(&mut self, now: Timestamp) -> FleetFlow {
        FleetFlow {
            sum: self.flow.sum_at(now),
            earlier_sum: self.earlier_flow.sum_at(now),
            unreported_rate: self.quota.per_second() * UNREPORTED_LOAD,
        }
    }

    /// Reserves `share` of the quota for silent brokers. Returns the amount taken from the level.
    pub(super) fn reserve(&mut self, now: Timestamp, share: f64) -> f64 {
        self.silent_share = share.clamp(0.0, 1.0);
        let left = self.quota.burst() * (1.0 - self.silent_share);
        let taken = (self.bucket.level_at(now) - left).max(0.0);
        self.bucket.take(now, taken);
        taken
    }

    /// Urgency of sending the level to brokers; none when there is nothing to send.
    pub(super) fn urgency(&mut self, now: Timestamp) -> Option<f64> {
        let balance = self.balance(now);
        if !self.is_near(now, &balance) {
            // The end of the limitation is sent once.
            return self.sent_at.map(|_| 1.0);
        }
        // A tenant that is unknown to brokers takes precedence over known ones.
        let waited =
            self.sent_at.map_or(REPEAT_INTERVAL * 2, |sent_at| now.since(sent_at)).as_secs_f64();
        let load = (1.0 / balance.fraction().max(0.01)).min(MAX_URGENCY);
        Some(load * (1.0 + waited / REPEAT_INTERVAL.as_secs_f64()).powi(4))
    }

    /// The level to send to brokers now.
    pub(super) fn take_level(&mut self, now: Timestamp, tenant: TenantName) -> TenantLevel {
        let balance = self.balance(now);
        self.sent_at = self.is_near(now, &balance).then_some(now);
        TenantLevel {
            tenant,
            level_thousandths: (balance.level * THOUSAND) as i64,
            arrivals_per_1000_s: (balance.arrivals * THOUSAND) as u64,
        }
    }

    fn balance(&mut self, now: Timestamp) -> Balance {
        // Brokers assume the whole rate, so the share of silent brokers is deducted from the level.
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
        let usual = self.flow.per_second_seen(now, MIN_FLOW_TIME);
        let lasting = usual > balance.rate * REPORTED_SHARE;
        let used = balance.level < self.bucket.capacity() * AMPLE_SHARE;
        let close = balance.arrivals * CLOSE > balance.rate + balance.level;
        lasting || used || close
    }
}
