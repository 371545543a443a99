//! What a broker admits of each tenant's requests.

use std::collections::BTreeMap;
use std::time::Duration;

use super::counts::Counts;
use super::metered::Metered;
use super::usage::{FleetUsage, TenantUse, UsageReport};
use crate::identifiers::TenantName;
use crate::routes::TenantQuota;
use crate::time::Timestamp;

/// Time without a word of control after which a broker takes itself for cut off. Control sends each 100 ms while
/// there is news, and each 500 ms at least;
/// until then the last levels are good enough, and a process that is short of a core for some rounds
/// keeps them.
pub(super) const NEWS_LIFE: Duration = Duration::from_secs(1);

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
pub enum QuotaDecision {
    /// It may run.
    Admitted,
    /// It must not run.
    Rejected {
        /// When the quota has room again.
        retry_after: Duration,
    },
}

/// What a broker counted of one tenant.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TenantQuotaStatus<'a> {
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
///
/// Load it answers: tenants whose callers come to any of hundreds of brokers, with less than one request
/// a second at each, and one that sends many times its quota.
#[derive(Debug)]
pub struct QuotaMeter {
    settings: QuotaSettings,
    brokers: usize,
    tenants: BTreeMap<TenantName, Metered>,
    counts: Counts,
    /// When control last told anything, or the first tenants were known.
    news_at: Option<Timestamp>,
    /// Whether control told anything within [`NEWS_LIFE`], at the last request.
    in_touch: bool,
}

impl QuotaMeter {
    /// A broker that knows of no tenant.
    pub fn new(settings: QuotaSettings) -> Self {
        Self {
            counts: Counts::new(settings.window),
            settings,
            brokers: 1,
            tenants: BTreeMap::new(),
            news_at: None,
            in_touch: false,
        }
    }

    /// Takes over the whole list of tenants. One that stays keeps its counts.
    pub fn configure(
        &mut self,
        now: Timestamp,
        tenants: impl Iterator<Item = (TenantName, TenantQuota)>,
    ) {
        self.news_at.get_or_insert(now);
        let mut former = std::mem::take(&mut self.tenants);
        for (tenant, quota) in tenants.filter(|(_, quota)| quota.is_limited()) {
            let mut metered = former.remove(&tenant).unwrap_or_else(|| Metered::new(now, quota));
            metered.configure(quota);
            self.tenants.insert(tenant, metered);
        }
    }

    /// Brokers that may be serving: those alive, and those that left lately and may be cut off.
    pub fn set_brokers(&mut self, live_and_departed: usize) {
        self.brokers = live_and_departed.max(1);
    }

    /// A request of `tenant` has come; `draw` is a random number from 0 to below 1.
    pub fn admit(&mut self, now: Timestamp, tenant: &TenantName, draw: f64) -> QuotaDecision {
        let without_news = self.without_news(now);
        let Some(metered) = self.tenants.get_mut(tenant) else {
            return QuotaDecision::Admitted;
        };
        let balance = match without_news {
            None => metered.balance(now, &self.settings),
            Some(span) => metered.balance_without_news(now, &self.settings, span, self.brokers),
        };
        let verdict = metered.decide(now, &balance, draw);
        let dropped = self.counts.count(now, tenant, verdict == QuotaDecision::Admitted);
        if let Some(metered) = self.tenants.get_mut(tenant) {
            metered.heard(dropped);
        }
        verdict
    }

    /// A request of `tenant` that was admitted lately has not run and will not: it does not count, unless it
    /// is reported already. What was reported stays counted, since places that are given back late would all
    /// be used within one window once leaves are free again.
    pub fn give_back(&mut self, now: Timestamp, tenant: &TenantName) {
        if !self.counts.give_back(tenant) {
            return;
        }
        if let Some(metered) = self.tenants.get_mut(tenant) {
            metered.give_back(now);
        }
    }

    /// The report that is due, if any; asked for each 100 ms while there is a link. A report of nothing is
    /// due now and then: it tells that this broker is there.
    pub fn report(&mut self, now: Timestamp) -> Option<UsageReport> {
        self.counts.report(now)
    }

    /// The link to the control process is lost: reports that were not acknowledged may be, too.
    pub fn link_lost(&mut self, now: Timestamp) {
        let dropped = self.counts.take_back(now);
        self.forget(dropped);
    }

    /// The control process tells how the quotas of all brokers stand.
    pub fn apply_fleet_usage(&mut self, now: Timestamp, usage: &FleetUsage) {
        if !self.in_touch {
            self.tenants.values_mut().for_each(Metered::end_part);
        }
        self.news_at = Some(now);
        self.in_touch = true;
        let heard = self.counts.acknowledge(usage.heard);
        self.forget(heard);
        for level in &usage.levels {
            if let Some(metered) = self.tenants.get_mut(&level.tenant) {
                metered.told(now, level);
            }
        }
    }

    /// What was counted of each tenant that has a quota, by name.
    pub fn tenant_statuses(&self) -> impl Iterator<Item = TenantQuotaStatus<'_>> {
        self.tenants.iter().map(|(tenant, metered)| metered.standing(tenant))
    }

    /// These requests are contained in what is told, or too old to matter.
    fn forget(&mut self, uses: Vec<TenantUse>) {
        for used in uses {
            if let Some(metered) = self.tenants.get_mut(&used.tenant) {
                metered.heard(used.admitted);
            }
        }
    }

    /// For how long there were no news; none while they come.
    fn without_news(&mut self, now: Timestamp) -> Option<Duration> {
        let span = self.news_at.map_or(Duration::ZERO, |at| now.since(at));
        self.in_touch = self.in_touch && span < NEWS_LIFE;
        (!self.in_touch).then_some(span)
    }
}
