//! Quota state of one tenant at one broker.

use std::time::Duration;

use super::admission::Balance;
use super::bucket::Bucket;
use super::meter::{LEVELS_TIMEOUT, QuotaSettings, TenantQuotaStatus};
use super::rate::{DecayedRate, LaggedRate};
use super::share::{FLOW_MEMORY, Flow, MIN_FLOW_TIME, aged_share};
use super::usage::TenantLevel;
use crate::identifiers::TenantName;
use crate::routes::TenantQuota;
use crate::time::Timestamp;

/// Time constant of the local arrival rate that is compared to the fleet rate: short, since the
/// local count is ahead of the fleet level only by the message delay.
const ARRIVAL_MEMORY: Duration = Duration::from_millis(300);
/// Time constant of the local arrival rate of an isolated broker: longer, since it has to estimate
/// the fleet rate from few local requests.
const SLOW_ARRIVAL_MEMORY: Duration = Duration::from_secs(3);
/// Standard deviations by which the requests at an isolated broker may exceed the usual number
/// before the tenant is limited to its share: a share of one request per second leaves no room for
/// random variation.
const DEVIATIONS: f64 = 3.0;
/// Validity of a received level. Control processes repeat the levels of tenants near their quotas
/// more often, and send once when a tenant is no longer near its quota.
const LEVEL_TTL: Duration = Duration::from_secs(2);
/// Fraction of a quota above which control processes send the level of a tenant ([`super::fold`]).
pub(super) const REPORTED_SHARE: f64 = 0.7;
/// Load that is assumed of a tenant whose level is not sent, as a fraction of its quota. Near
/// [`REPORTED_SHARE`], so that the shares of all brokers add up to little more than one at most.
pub(super) const UNREPORTED_LOAD: f64 = 0.65;
/// Requests by which an isolated broker may exceed its share for the usual requests of a tenant.
const MAX_ISOLATED_DEBT: f64 = 1.5;
/// Additional usual requests of a broker in the first moments without levels. Most losses of a link
/// last no longer, and a request within a quota is not to be refused for them.
const EARLY_REQUESTS: f64 = 2.0;
/// Delay before requests count in the flows, so that an isolated broker uses the flows from before
/// the outage. The load of a tenant may have risen within the last second: counted at once, each
/// broker's share would grow with its own peak, and all shares together would exceed the quota.
const FLOW_LAG: Duration = Duration::from_secs(2);
/// Minimum time in seconds over which the fleet rate of a tenant is averaged.
const MIN_REPORTED_TIME: f64 = 1.0;
const THOUSAND: f64 = 1_000.0;

/// The last level received from control.
#[derive(Debug, Clone, Copy)]
struct LastLevel {
    at: Timestamp,
    level: f64,
    /// Requests per second at all brokers.
    arrivals: f64,
}

/// The share of the quota that an isolated broker enforces.
#[derive(Debug, Clone, Copy)]
struct IsolatedShare {
    share: f64,
    bucket: Bucket,
    /// Maximum local requests within [`SLOW_ARRIVAL_MEMORY`] at an unchanged load; zero for a
    /// tenant that was limited.
    usual: f64,
}

impl IsolatedShare {
    /// Requests within [`SLOW_ARRIVAL_MEMORY`] that are admitted after `isolated_for` whatever is
    /// left of the share.
    fn usual_within(&self, isolated_for: Duration) -> f64 {
        let is_early = self.usual > 0.0 && isolated_for < LEVELS_TIMEOUT;
        self.usual + if is_early { EARLY_REQUESTS } else { 0.0 }
    }
}

/// Counters, flow estimates and the last fleet level of one tenant.
#[derive(Debug)]
pub(super) struct Metered {
    pub(super) quota: TenantQuota,
    arrived: u64,
    refused: u64,
    /// Requests admitted here that the last level does not include.
    unreported: f64,
    arrivals: DecayedRate,
    slow_arrivals: DecayedRate,
    /// Flow of admitted requests: the usual load, also of a tenant that recently exceeded its
    /// quota.
    admitted_flow: LaggedRate,
    /// Local arrivals.
    flow: LaggedRate,
    /// Local arrivals while control sent levels of the tenant.
    reported_flow: DecayedRate,
    /// Arrivals at all brokers over the same time.
    fleet_flow: DecayedRate,
    /// Seconds for which control sent levels of the tenant.
    reported_time: DecayedRate,
    /// Local requests per second as of the last level, which matches the age and averaging of the
    /// fleet rate. With the current rate, a sudden peak would count locally before it counts in the
    /// fleet total.
    own_rate: f64,
    last_level: Option<LastLevel>,
    part: Option<IsolatedShare>,
}

impl Metered {
    pub(super) fn new(now: Timestamp, quota: TenantQuota) -> Self {
        Self {
            quota,
            arrived: 0,
            refused: 0,
            unreported: 0.0,
            arrivals: DecayedRate::new(now, ARRIVAL_MEMORY),
            slow_arrivals: DecayedRate::new(now, SLOW_ARRIVAL_MEMORY),
            admitted_flow: LaggedRate::new(now, FLOW_MEMORY, FLOW_LAG),
            flow: LaggedRate::new(now, FLOW_MEMORY, FLOW_LAG),
            reported_flow: DecayedRate::new(now, FLOW_MEMORY),
            fleet_flow: DecayedRate::new(now, FLOW_MEMORY),
            reported_time: DecayedRate::new(now, FLOW_MEMORY),
            own_rate: 0.0,
            last_level: None,
            part: None,
        }
    }

    pub(super) fn configure(&mut self, quota: TenantQuota) {
        if self.quota == quota {
            return;
        }
        self.quota = quota;
        self.part = None;
        if let Some(last_level) = &mut self.last_level {
            last_level.level = last_level.level.min(quota.burst());
        }
    }

    /// The balance for the next request while levels are current.
    pub(super) fn balance(&self, now: Timestamp, settings: &QuotaSettings) -> Balance {
        let last_level = self.fleet_balance(now, settings);
        let own = self.arrivals.per_second(now);
        let age = self.last_level.map_or(Duration::ZERO, |last_level| now.since(last_level.at));
        let used = self.unreported.max(last_level.drained_in(age));
        Balance {
            level: last_level.level - used,
            arrivals: last_level.arrivals.max(own),
            ..last_level
        }
    }

    /// The fleet balance by the last level that was valid `at` that time.
    fn fleet_balance(&self, at: Timestamp, settings: &QuotaSettings) -> Balance {
        let last_level = self.last_level.filter(|last_level| at.since(last_level.at) < LEVEL_TTL);
        let level = last_level.map_or(self.quota.burst(), |last_level| last_level.level);
        Balance {
            rate: self.quota.per_second(),
            level: level + settings.additional_burst(self.quota),
            arrivals: last_level.map_or(0.0, |last_level| last_level.arrivals),
            price: 1.0,
        }
    }

    /// The balance for the next request after `isolated_for`, at one of `brokers`. Amounts apply to
    /// this broker's share: a request costs the share of one request, so that it costs one over all
    /// brokers.
    pub(super) fn isolated_balance(
        &mut self,
        now: Timestamp,
        settings: &QuotaSettings,
        isolated_for: Duration,
        brokers: usize,
    ) -> Balance {
        let rate = self.quota.per_second();
        let additional = settings.isolated_additional_burst(self.quota);
        let capacity = self.quota.burst() + additional;
        let known = self.part;
        let mut part =
            known.unwrap_or_else(|| self.isolated_share_at(now, settings, isolated_for, brokers));
        let share = aged_share(part.share, isolated_for, brokers);
        part.bucket.configure(now, rate * share, capacity * share);
        let level = part.bucket.level_at(now);
        self.part = Some(part);
        let recent = self.slow_arrivals.sum_at(now) + 1.0;
        if level >= -MAX_ISOLATED_DEBT && recent <= part.usual_within(isolated_for) {
            return Balance { rate: rate * share, level: 0.0, arrivals: 0.0, price: 0.0 };
        }
        let arrivals = self.isolated_rate(now);
        Balance { rate: rate * share, level, arrivals, price: share }
    }

    /// Local requests per second, estimated from few requests: the short-term rate counts only
    /// where it is significantly higher.
    fn isolated_rate(&self, now: Timestamp) -> f64 {
        let recent = self.arrivals.sum_at(now);
        let lower_bound = (recent - DEVIATIONS * recent.sqrt()) / ARRIVAL_MEMORY.as_secs_f64();
        self.slow_arrivals.per_second(now).max(lower_bound)
    }

    /// This broker's share of the quota when levels stop arriving.
    fn isolated_share_at(
        &mut self,
        now: Timestamp,
        settings: &QuotaSettings,
        isolated_for: Duration,
        brokers: usize,
    ) -> IsolatedShare {
        let rate = self.quota.per_second();
        let additional = settings.isolated_additional_burst(self.quota);
        let capacity = self.quota.burst() + additional;
        let share = self.share(now, brokers);
        // A process that was suspended comes here long after the last level; the others went on.
        let levels_at = now.before(isolated_for);
        let last_level = self.fleet_balance(levels_at, settings);
        let refilled = rate * isolated_for.min(LEVELS_TIMEOUT).as_secs_f64();
        // The requests missing from the level are this broker's own, not a share of all.
        let level =
            last_level.level + refilled + additional - settings.additional_burst(self.quota);
        let level = level.min(capacity) * share - self.unreported;
        let bucket = Bucket::new(now, rate * share, capacity * share, level);
        let was_limited = last_level.fraction() < 1.0;
        let usual_rate = self.admitted_flow.per_second_seen(now, MIN_FLOW_TIME);
        let expected = usual_rate * SLOW_ARRIVAL_MEMORY.as_secs_f64();
        let usual = if was_limited { 0.0 } else { expected + DEVIATIONS * expected.sqrt() };
        IsolatedShare { share, bucket, usual }
    }

    /// Counts a request and decides on it by the random number `draw`.
    ///
    /// # Errors
    /// The retry-after of a request that exceeds the quota.
    pub(super) fn decide(
        &mut self,
        now: Timestamp,
        balance: &Balance,
        draw: f64,
    ) -> Result<(), Duration> {
        self.arrived += 1;
        self.arrivals.add(now, 1.0);
        self.slow_arrivals.add(now, 1.0);
        self.flow.add(now, 1.0);
        if draw >= balance.fraction() {
            self.refused += 1;
            return Err(balance.retry_after(draw));
        }
        self.unreported += 1.0;
        self.admitted_flow.add(now, 1.0);
        if let Some(part) = &mut self.part {
            part.bucket.take(now, 1.0);
        }
        Ok(())
    }

    /// Removes `admitted` requests that the level includes now, or that have expired.
    pub(super) fn settle(&mut self, admitted: u32) {
        self.unreported = (self.unreported - f64::from(admitted)).max(0.0);
    }

    /// Returns an admitted request that is not reported and did not run.
    pub(super) fn give_back(&mut self, now: Timestamp) {
        self.settle(1);
        if let Some(part) = &mut self.part {
            part.bucket.take(now, -1.0);
        }
    }

    /// Applies a level received from control.
    pub(super) fn apply_level(&mut self, now: Timestamp, level: &TenantLevel) {
        let arrivals = level.arrivals_per_1000_s as f64 / THOUSAND;
        if let Some(before) = self.last_level.filter(|before| now.since(before.at) < LEVEL_TTL) {
            let passed = now.since(before.at).as_secs_f64();
            self.fleet_flow.add(now, arrivals * passed);
            self.reported_flow.add(now, self.own_rate * passed);
            self.reported_time.add(now, passed);
        }
        self.own_rate = self.arrivals.per_second(now);
        let level = (level.level_thousandths as f64 / THOUSAND).min(self.quota.burst());
        self.last_level = Some(LastLevel { at: now, level, arrivals });
    }

    /// Drops the isolated share, since levels arrive again.
    pub(super) fn end_isolation(&mut self) {
        self.part = None;
    }

    pub(super) fn standing<'a>(&self, tenant: &'a TenantName) -> TenantQuotaStatus<'a> {
        let level = self.last_level.map_or(self.quota.burst(), |last_level| last_level.level);
        TenantQuotaStatus {
            tenant,
            arrived: self.arrived,
            refused: self.refused,
            level: level - self.unreported,
        }
    }

    /// This broker's share of the tenant's quota, by the flows at the last level.
    fn share(&mut self, now: Timestamp, brokers: usize) -> f64 {
        let seen_by_all = self.fleet_flow.sum_at(now);
        // Control sends levels of the tenant only at times, so the sum is divided by those times.
        let fleet_rate = seen_by_all / self.reported_time.sum_at(now).max(MIN_REPORTED_TIME);
        let flow = Flow {
            seen: self.reported_flow.sum_at(now),
            seen_by_all,
            rate: self.flow.per_second_seen(now, MIN_FLOW_TIME),
            rate_of_all: fleet_rate.max(self.quota.per_second() * UNREPORTED_LOAD),
        };
        flow.share(brokers)
    }
}
