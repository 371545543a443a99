//! Probabilistic admission: the fraction of a tenant's requests that fits its quota.

use std::time::Duration;

use super::bucket::max_debt;
use super::meter::QuotaSettings;
use crate::routes::TenantQuota;

/// Time for which the remaining level has to last at the current arrival rate. Fleet levels are
/// 0.1 to 0.3 s old (a broker round, one or two control rounds, network delay between regions).
/// Below twice that age the brokers oscillate around the quota; a longer horizon refuses requests
/// before the burst is used.
pub(super) const HORIZON: Duration = Duration::from_secs(1);
/// Share of the tolerance that is granted as additional burst, so that stale levels do not cause
/// requests within a quota to be refused. The rest covers over-admission before levels arrive,
/// including in a network partition.
const EXTRA_BURST_SHARE: f64 = 0.25;
/// Upper bound of the additional burst, in requests. Chance variation within the delay of levels
/// grows more slowly than a quota.
const MAX_EXTRA_BURST: f64 = 12.0;
/// The same share for a broker without current levels: from few requests it cannot distinguish random
/// variation from a tenant whose load rises.
const ISOLATED_EXTRA_BURST_SHARE: f64 = 0.5;
/// Upper bound of the advised retry delay, so that callers use a quota soon after it is free again.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

impl QuotaSettings {
    /// Requests by which the count in one window may exceed the quota.
    pub fn tolerance(&self, quota: TenantQuota) -> f64 {
        let allowed = quota.per_second() * self.window.as_secs_f64() + quota.burst();
        allowed * self.overshoot + self.slack
    }

    /// Requests admitted beyond the burst. Stays below the debt that control processes track.
    pub(super) fn additional_burst(&self, quota: TenantQuota) -> f64 {
        (self.tracked_tolerance(quota) * EXTRA_BURST_SHARE).min(MAX_EXTRA_BURST)
    }

    /// Requests admitted beyond the burst by a broker without current levels.
    pub(super) fn isolated_additional_burst(&self, quota: TenantQuota) -> f64 {
        self.tracked_tolerance(quota) * ISOLATED_EXTRA_BURST_SHARE
    }

    fn tracked_tolerance(&self, quota: TenantQuota) -> f64 {
        let max_debt = max_debt(quota.per_second(), quota.burst());
        self.tolerance(quota).min(max_debt)
    }
}

/// Available quota and current load of a tenant.
#[derive(Debug, Clone, Copy)]
pub(super) struct Balance {
    /// Refill rate in requests per second.
    pub(super) rate: f64,
    /// Requests that can be admitted at once.
    pub(super) level: f64,
    /// Arrivals in requests per second, not counting the current request.
    pub(super) arrivals: f64,
    /// Amount by which one request lowers the level.
    pub(super) price: f64,
}

impl Balance {
    /// The fraction of requests that fits: quota available within one horizon over its arrivals.
    pub(super) fn fraction(&self) -> f64 {
        let horizon = HORIZON.as_secs_f64();
        let available = self.rate * horizon + self.level;
        let demand = self.price + self.arrivals * horizon;
        (available / demand).clamp(0.0, 1.0)
    }

    /// Drop of the level during `span` while all brokers admit the fraction that fits.
    pub(super) fn drained_in(&self, span: Duration) -> f64 {
        let admitted = self.fraction() * self.arrivals;
        (admitted - self.rate).max(0.0) * span.as_secs_f64()
    }

    /// Retry delay for a refused caller: the time until the level allows a request, plus a part,
    /// given by `draw`, of the time that the quota needs to serve the arrivals of one horizon.
    pub(super) fn retry_after(&self, draw: f64) -> Duration {
        let missing = (self.price - self.level).max(0.0);
        let queue = self.arrivals * HORIZON.as_secs_f64();
        let wait = (missing + queue * draw) / self.rate;
        Duration::try_from_secs_f64(wait).unwrap_or(MAX_RETRY_AFTER).min(MAX_RETRY_AFTER)
    }
}
