//! The fraction of a tenant's requests that fits its quota.

use std::time::Duration;

use super::bucket::deepest_debt;
use super::meter::QuotaSettings;
use crate::routes::TenantQuota;

/// Time for which the level has to last at the present rate of arrivals. News are 0.1 to 0.3 s old (a round of
/// the broker, one or two of control processes, ways between regions); brokers that all act on them
/// swing around the quota when this is less than twice that, and a longer time refuses callers before a burst is used.
pub(super) const HORIZON: Duration = Duration::from_secs(1);
/// ShareWithoutNews of the tolerance that is handed out as additional burst, so that requests within a quota are
/// not refused for the age of the news. The rest is for what is admitted too much meanwhile, also by two
/// parts of a fleet that do not hear each other.
const HANDED_OUT: f64 = 0.25;
/// The same without news: a broker that sees few requests cannot tell chance from a tenant that turns hot.
const HANDED_OUT_WITHOUT_NEWS: f64 = 0.5;
/// Longest advice on when to come back: a caller that stays away longer is not helped by a quota that is free again.
const LONGEST_WAIT: Duration = Duration::from_secs(60);

impl QuotaSettings {
    /// Requests by which the count in a window may exceed the quota.
    pub fn tolerance(&self, quota: TenantQuota) -> f64 {
        let allowed = quota.per_second() * self.window.as_secs_f64() + quota.burst();
        allowed * self.overshoot + self.slack
    }

    /// Requests that are admitted beyond the burst: less than the debt that control processes remember.
    pub(super) fn additional_burst(&self, quota: TenantQuota) -> f64 {
        self.remembered_tolerance(quota) * HANDED_OUT
    }

    /// The same at a broker without news.
    pub(super) fn additional_burst_without_news(&self, quota: TenantQuota) -> f64 {
        self.remembered_tolerance(quota) * HANDED_OUT_WITHOUT_NEWS
    }

    fn remembered_tolerance(&self, quota: TenantQuota) -> f64 {
        let remembered = deepest_debt(quota.per_second(), quota.burst());
        self.tolerance(quota).min(remembered)
    }
}

/// What there is for a tenant, and what comes.
#[derive(Debug, Clone, Copy)]
pub(super) struct Balance {
    /// Requests a second by which the level is refilled.
    pub(super) rate: f64,
    /// Requests that may come at once.
    pub(super) level: f64,
    /// Requests a second that come, this one left aside.
    pub(super) arrivals: f64,
    /// What one request takes from the level.
    pub(super) price: f64,
}

impl Balance {
    /// The fraction of the requests that fits: what is there in one horizon over what comes in it.
    pub(super) fn fraction(&self) -> f64 {
        let horizon = HORIZON.as_secs_f64();
        let there = self.rate * horizon + self.level;
        let coming = self.price + self.arrivals * horizon;
        (there / coming).clamp(0.0, 1.0)
    }

    /// By how much the level falls in `span` while all brokers admit the fraction that fits.
    pub(super) fn drained_in(&self, span: Duration) -> f64 {
        let admitted = self.fraction() * self.arrivals;
        (admitted - self.rate).max(0.0) * span.as_secs_f64()
    }

    /// When a caller that is refused should come back: once the level has room, and spread by `draw` over the
    /// time in which the quota has served the arrivals of one horizon.
    pub(super) fn retry_after(&self, draw: f64) -> Duration {
        let missing = (self.price - self.level).max(0.0);
        let queue = self.arrivals * HORIZON.as_secs_f64();
        let wait = (missing + queue * draw) / self.rate;
        Duration::try_from_secs_f64(wait).unwrap_or(LONGEST_WAIT).min(LONGEST_WAIT)
    }
}
