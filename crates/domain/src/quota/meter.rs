//! What a broker admits of each tenant's requests.

use std::collections::BTreeMap;
use std::time::Duration;

use super::bucket::Bucket;
use super::usage::{FleetUsage, TenantUse, UsageReport};
use crate::identifiers::TenantName;
use crate::routes::TenantQuota;
use crate::time::Timestamp;

/// How operators count the use of quotas, and by how much the sum may exceed one.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaSettings {
    /// Time over which operators count.
    pub window: Duration,
    /// Share of `rate * window + burst` by which the count may exceed it.
    pub overshoot: f64,
    /// Requests by which it may exceed that besides.
    pub slack: f64,
}

/// Whether a request is within its tenant's quota.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaVerdict {
    /// It may run.
    Within,
    /// It must not run.
    Beyond {
        /// When the quota has room again.
        retry_after: Duration,
    },
}

/// What a broker counted of one tenant.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TenantStanding<'a> {
    /// The tenant.
    pub tenant: &'a TenantName,
    /// Requests that came here since the start.
    pub arrived: u64,
    /// Those of them that were refused.
    pub refused: u64,
    /// Requests that the quota has left, as far as this broker knows; negative for a debt.
    pub level: f64,
}

/// Admits tenants' requests at one broker.
#[derive(Debug)]
pub struct QuotaMeter {
    settings: QuotaSettings,
    brokers: usize,
    tenants: BTreeMap<TenantName, Metered>,
    sequence: u64,
}

#[derive(Debug)]
struct Metered {
    quota: TenantQuota,
    bucket: Bucket,
    arrived: u64,
    refused: u64,
    /// Counted since the last report.
    fresh: TenantUse,
}

impl QuotaMeter {
    /// A broker that knows of no tenant.
    pub fn new(settings: QuotaSettings) -> Self {
        Self { settings, brokers: 1, tenants: BTreeMap::new(), sequence: 0 }
    }

    /// Takes over the whole list of tenants. One that stays keeps its counts.
    pub fn configure(
        &mut self,
        now: Timestamp,
        tenants: impl Iterator<Item = (TenantName, TenantQuota)>,
    ) {
        let mut former = std::mem::take(&mut self.tenants);
        for (tenant, quota) in tenants.filter(|(_, quota)| quota.is_limited()) {
            let metered = former.remove(&tenant);
            let mut metered = metered.unwrap_or_else(|| Metered::new(now, &tenant, quota));
            metered.quota = quota;
            self.tenants.insert(tenant, metered);
        }
    }

    /// Brokers that may be serving: those alive, and those that left lately and may be cut off.
    pub fn set_brokers(&mut self, live_and_departed: usize) {
        self.brokers = live_and_departed.max(1);
    }

    /// A request of `tenant` has come; `draw` is a random number from 0 to below 1.
    pub fn arrive(&mut self, now: Timestamp, tenant: &TenantName, draw: f64) -> QuotaVerdict {
        let _ = draw;
        let share = 1.0 / self.brokers as f64;
        let Some(metered) = self.tenants.get_mut(tenant) else {
            return QuotaVerdict::Within;
        };
        metered.divide(now, &self.settings, share);
        metered.arrive(now)
    }

    /// The report that is due, if any; asked for each 100 ms while there is a link. A report of nothing is
    /// due now and then: it tells that this broker is there.
    pub fn report(&mut self, now: Timestamp) -> Option<UsageReport> {
        let _ = now;
        let uses: Vec<TenantUse> =
            self.tenants.values_mut().filter_map(Metered::take_fresh).collect();
        if uses.is_empty() {
            return None;
        }
        self.sequence += 1;
        Some(UsageReport { sequence: self.sequence, uses })
    }

    /// The link to the control process is lost: reports that were not acknowledged may be, too.
    pub fn link_lost(&mut self, now: Timestamp) {
        let _ = now;
    }

    /// The control process tells how the quotas of all brokers stand.
    pub fn told(&mut self, now: Timestamp, usage: &FleetUsage) {
        let _ = (now, usage);
    }

    /// What was counted of each tenant that has a quota, by name.
    pub fn standing(&self) -> impl Iterator<Item = TenantStanding<'_>> {
        self.tenants.iter().map(|(tenant, metered)| TenantStanding {
            tenant,
            arrived: metered.arrived,
            refused: metered.refused,
            level: metered.bucket.level(),
        })
    }
}

impl QuotaSettings {
    /// Requests by which the count in a window may exceed the quota.
    pub fn spared(&self, quota: TenantQuota) -> f64 {
        let allowed = quota.per_second() * self.window.as_secs_f64() + quota.burst();
        allowed * self.overshoot + self.slack
    }
}

impl Metered {
    fn new(now: Timestamp, tenant: &TenantName, quota: TenantQuota) -> Self {
        Self {
            quota,
            bucket: Bucket::full(now, quota.per_second(), quota.burst()),
            arrived: 0,
            refused: 0,
            fresh: TenantUse { tenant: tenant.clone(), arrived: 0, admitted: 0 },
        }
    }

    /// Takes this broker's equal share of the quota and of the tolerance.
    fn divide(&mut self, now: Timestamp, settings: &QuotaSettings, share: f64) {
        let capacity = (self.quota.burst() + settings.spared(self.quota)) * share;
        self.bucket.configure(now, self.quota.per_second() * share, capacity.max(1.0));
    }

    fn arrive(&mut self, now: Timestamp) -> QuotaVerdict {
        self.arrived += 1;
        self.fresh.arrived += 1;
        if self.bucket.level_at(now) < 1.0 {
            self.refused += 1;
            return QuotaVerdict::Beyond { retry_after: self.bucket.time_until(1.0) };
        }
        self.bucket.take(now, 1.0);
        self.fresh.admitted += 1;
        QuotaVerdict::Within
    }

    fn take_fresh(&mut self) -> Option<TenantUse> {
        if self.fresh.arrived == 0 {
            return None;
        }
        let nothing = TenantUse { tenant: self.fresh.tenant.clone(), arrived: 0, admitted: 0 };
        Some(std::mem::replace(&mut self.fresh, nothing))
    }
}
