//! Rate limiting of tenants at this broker, and the usage reports for it.
//!
//! No borrow of the state is held across an `await`.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use gingerkeel_domain::identifiers::TenantName;
use gingerkeel_domain::quota::{
    FleetUsage, LimitedTenants, QuotaDecision, QuotaLimit, QuotaMeter, QuotaSettings,
};
use gingerkeel_domain::routes::Tenant;
use gingerkeel_settings::RouteSettings;
use gingerkeel_transport::Clock;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use tracing::info;

use crate::route_reports::{LinkNumber, LinkUsage};

/// Requests of a tenant with a quota, since the start of this broker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TenantCount {
    /// The tenant.
    pub tenant: TenantName,
    /// Requests that were within its quota.
    pub admitted: u64,
    /// Requests that were refused.
    pub refused: u64,
}

/// Refusal of a request beyond a quota.
#[derive(Debug, Clone, Copy)]
pub struct OverQuota {
    /// When the quota has room again.
    pub retry_after: Duration,
    /// What the request exceeds.
    pub limit: QuotaLimit,
}

/// Quotas of all tenants at this broker.
pub struct Quotas {
    clock: Clock,
    meter: RefCell<QuotaMeter>,
    limited: RefCell<LimitedTenants>,
    /// The current link to a control process.
    link: Cell<Option<LinkNumber>>,
    random: RefCell<Pcg64>,
}

impl Quotas {
    /// Creates quotas without any tenant.
    pub fn new(clock: Clock, settings: &RouteSettings, seed: u64) -> Self {
        let settings = QuotaSettings {
            window: Duration::from_millis(settings.quota_window_ms.into()),
            overshoot: settings.quota_overshoot,
            slack: settings.quota_slack,
        };
        Self {
            clock,
            meter: RefCell::new(QuotaMeter::new(settings)),
            limited: RefCell::default(),
            link: Cell::new(None),
            random: RefCell::new(Pcg64::seed_from_u64(seed)),
        }
    }

    /// Applies the quotas of a configuration.
    pub fn configure(&self, tenants: &[Tenant]) {
        let quotas = tenants.iter().map(|tenant| (tenant.name.clone(), tenant.quota));
        self.meter.borrow_mut().configure(self.clock.now(), quotas);
    }

    /// Sets how many brokers may be serving.
    pub fn set_brokers(&self, brokers: usize) {
        self.meter.borrow_mut().set_brokers(brokers);
    }

    /// Starts reporting on a new link to a control process, unacknowledged usage included.
    pub fn link_up(&self, link: LinkNumber) {
        self.meter.borrow_mut().link_lost(self.clock.now());
        self.link.set(Some(link));
    }

    /// Stops reporting until a new link is up.
    pub fn link_down(&self) {
        self.meter.borrow_mut().link_lost(self.clock.now());
        self.link.set(None);
    }

    /// Applies the usage of the whole fleet as a control process sent it.
    pub fn apply_fleet_usage(&self, usage: &FleetUsage) {
        self.meter.borrow_mut().apply_fleet_usage(self.clock.now(), usage);
    }

    /// Counts a request of a tenant against its quota.
    ///
    /// # Errors
    /// The retry-after of a request beyond the quota, and what it exceeds.
    pub fn admit(&self, tenant: &TenantName) -> Result<(), OverQuota> {
        let now = self.clock.now();
        let draw = self.random.borrow_mut().random();
        let verdict = self.meter.borrow_mut().admit(now, tenant, draw);
        let QuotaDecision::Rejected { retry_after, limit } = verdict else {
            return Ok(());
        };
        if self.limited.borrow_mut().record_refusal(now, tenant) {
            info!(event = "tenant_limited", %tenant, limit = limit.as_str());
        }
        Err(OverQuota { retry_after, limit })
    }

    /// Refunds a counted request that reached no leaf.
    pub fn refund(&self, tenant: &TenantName) {
        self.meter.borrow_mut().give_back(self.clock.now(), tenant);
    }

    /// Logs the tenants that are no longer limited.
    pub fn log_relieved_tenants(&self) {
        for relief in self.limited.borrow_mut().take_ended(self.clock.now()) {
            let (tenant, refused) = (relief.tenant, relief.refused);
            let limited_ms = relief.lasted.as_millis() as u64;
            info!(event = "tenant_not_limited", %tenant, refused, limited_ms);
        }
    }

    /// The usage report that is due on the current link, if any.
    pub fn report(&self) -> Option<LinkUsage> {
        let link = self.link.get()?;
        let report = self.meter.borrow_mut().report(self.clock.now())?;
        Some(LinkUsage { link, report })
    }

    /// Request counts of all tenants with a quota, the most refused first.
    pub fn counts(&self) -> Vec<TenantCount> {
        let meter = self.meter.borrow();
        let standing = meter.tenant_statuses();
        let mut counts: Vec<TenantCount> = standing
            .map(|standing| TenantCount {
                tenant: standing.tenant.clone(),
                admitted: standing.arrived.saturating_sub(standing.refused),
                refused: standing.refused,
            })
            .collect();
        counts.sort_by(|left, right| {
            right.refused.cmp(&left.refused).then_with(|| left.tenant.cmp(&right.tenant))
        });
        counts
    }
}
