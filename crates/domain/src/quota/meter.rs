//! Per-tenant admission at a broker.

use std::collections::BTreeMap;
use std::time::Duration;

use super::counts::Counts;
use super::metered::Metered;
use super::usage::{FleetUsage, TenantUse, UsageReport};
use crate::identifiers::TenantName;
use crate::routes::TenantQuota;
use crate::time::Timestamp;

/// Time without a message from control after which a broker considers itself partitioned. Control
/// sends every 100 ms while levels change and at least every 500 ms. Until then the last levels are
/// used, also when a process lacks CPU for some rounds.
pub(super) const LEVELS_TIMEOUT: Duration = Duration::from_secs(1);

/// Time without an acknowledgement of a report after which a broker considers itself partitioned.
/// Control acknowledges within 0.1 s and the network delay.
const ACKNOWLEDGE_TIMEOUT: Duration = Duration::from_millis(600);

/// The window over which quota use is counted, and the tolerated excess.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaSettings {
    /// Length of the counting window.
    pub window: Duration,
    /// Tolerated excess as a fraction of `rate * window + burst`.
    pub overshoot: f64,
    /// Tolerated excess in requests, in addition to `overshoot`.
    pub slack: f64,
}

/// What a broker compares a request to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaLimit {
    /// The level of the whole fleet.
    FleetLevel,
    /// This broker's share of the quota, without current levels.
    IsolatedShare,
}

impl QuotaLimit {
    /// The name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::FleetLevel => "fleet_level",
            Self::IsolatedShare => "isolated_share",
        }
    }
}

/// The admission decision for one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaDecision {
    /// The request is within the quota and may run.
    Admitted,
    /// The request exceeds the quota and must not run.
    Rejected {
        /// Delay after which the caller should retry.
        retry_after: Duration,
        /// What the request exceeds.
        limit: QuotaLimit,
    },
}

/// Counters and level of one tenant at a broker.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TenantQuotaStatus<'a> {
    /// The limited tenant.
    pub tenant: &'a TenantName,
    /// Requests received by this broker since its start.
    pub arrived: u64,
    /// Requests refused by this broker since its start.
    pub refused: u64,
    /// Requests left in the quota as estimated by this broker; negative for a debt.
    pub level: f64,
}

/// Admits tenants' requests at one broker.
///
/// Designed for tenants whose callers use any of hundreds of brokers, with less than one request
/// per second at each, and for a tenant that sends many times its quota.
#[derive(Debug)]
pub struct QuotaMeter {
    settings: QuotaSettings,
    brokers: usize,
    tenants: BTreeMap<TenantName, Metered>,
    counts: Counts,
    /// When levels were last received, or the first tenants were configured.
    levels_at: Option<Timestamp>,
    /// Whether levels were received within [`LEVELS_TIMEOUT`] of the last request.
    connected: bool,
}

impl QuotaMeter {
    /// A meter without any tenant.
    pub fn new(settings: QuotaSettings) -> Self {
        Self {
            counts: Counts::new(settings.window),
            settings,
            brokers: 1,
            tenants: BTreeMap::new(),
            levels_at: None,
            connected: false,
        }
    }

    /// Replaces the list of tenants. Tenants that remain keep their counts.
    pub fn configure(
        &mut self,
        now: Timestamp,
        tenants: impl Iterator<Item = (TenantName, TenantQuota)>,
    ) {
        self.levels_at.get_or_insert(now);
        let mut former = std::mem::take(&mut self.tenants);
        for (tenant, quota) in tenants.filter(|(_, quota)| quota.is_limited()) {
            let mut metered = former.remove(&tenant).unwrap_or_else(|| Metered::new(now, quota));
            metered.configure(quota);
            self.tenants.insert(tenant, metered);
        }
    }

    /// Sets the number of brokers that may be serving: live ones, and recently departed ones that
    /// may be partitioned.
    pub fn set_brokers(&mut self, live_and_departed: usize) {
        self.brokers = live_and_departed.max(1);
    }

    /// Decides on a request of `tenant`; `draw` is a random number in `[0, 1)`.
    pub fn admit(&mut self, now: Timestamp, tenant: &TenantName, draw: f64) -> QuotaDecision {
        let isolated_for = self.isolated_for(now);
        let Some(metered) = self.tenants.get_mut(tenant) else {
            return QuotaDecision::Admitted;
        };
        let (limit, balance) = match isolated_for {
            None => (QuotaLimit::FleetLevel, metered.balance(now, &self.settings)),
            Some(span) => (
                QuotaLimit::IsolatedShare,
                metered.isolated_balance(now, &self.settings, span, self.brokers),
            ),
        };
        let verdict = match metered.decide(now, &balance, draw) {
            Ok(()) => QuotaDecision::Admitted,
            Err(retry_after) => QuotaDecision::Rejected { retry_after, limit },
        };
        let dropped = self.counts.count(now, tenant, verdict == QuotaDecision::Admitted);
        if let Some(metered) = self.tenants.get_mut(tenant) {
            metered.settle(dropped);
        }
        verdict
    }

    /// Returns a recently admitted request of `tenant` that will not run to the quota. Requests
    /// that are already reported stay counted: returned late, they could all be used within one
    /// window once leaves are free again.
    pub fn give_back(&mut self, now: Timestamp, tenant: &TenantName) {
        if !self.counts.give_back(tenant) {
            return;
        }
        if let Some(metered) = self.tenants.get_mut(tenant) {
            metered.give_back(now);
        }
    }

    /// The report that is due, if any; polled every 100 ms while connected. Empty reports serve as
    /// heartbeats.
    pub fn report(&mut self, now: Timestamp) -> Option<UsageReport> {
        self.counts.report(now)
    }

    /// Handles the loss of the link to the control process: unacknowledged reports may be lost and
    /// are sent again.
    pub fn link_lost(&mut self, now: Timestamp) {
        let dropped = self.counts.take_back(now);
        self.settle(dropped);
    }

    /// Applies the fleet levels received from the control process.
    pub fn apply_fleet_usage(&mut self, now: Timestamp, usage: &FleetUsage) {
        if !self.connected {
            self.tenants.values_mut().for_each(Metered::end_isolation);
        }
        self.levels_at = Some(now);
        self.connected = true;
        let heard = self.counts.acknowledge(usage.heard);
        self.settle(heard);
        for level in &usage.levels {
            if let Some(metered) = self.tenants.get_mut(&level.tenant) {
                metered.apply_level(now, level);
            }
        }
    }

    /// The status of each tenant with a quota, ordered by name.
    pub fn tenant_statuses(&self) -> impl Iterator<Item = TenantQuotaStatus<'_>> {
        self.tenants.iter().map(|(tenant, metered)| metered.standing(tenant))
    }

    /// Removes requests that are contained in the fleet levels or have expired.
    fn settle(&mut self, uses: Vec<TenantUse>) {
        for used in uses {
            if let Some(metered) = self.tenants.get_mut(&used.tenant) {
                metered.settle(used.admitted);
            }
        }
    }

    /// Time since the last levels; none while they are current.
    fn isolated_for(&mut self, now: Timestamp) -> Option<Duration> {
        let span = self.levels_at.map_or(Duration::ZERO, |at| now.since(at));
        let is_acknowledged = self.counts.unacknowledged_for(now) < ACKNOWLEDGE_TIMEOUT;
        self.connected = self.connected && span < LEVELS_TIMEOUT && is_acknowledged;
        (!self.connected).then_some(span)
    }
}
