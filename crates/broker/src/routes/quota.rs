//! Quotas of tenants at this broker: what is admitted, and what is reported of it.
//!
//! The state is borrowed between two waits only, never across one.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use gingerkeel_domain::identifiers::TenantName;
use gingerkeel_domain::quota::{
    FleetUsage, LimitedTenants, QuotaMeter, QuotaSettings, QuotaVerdict,
};
use gingerkeel_domain::routes::Tenant;
use gingerkeel_settings::RouteSettings;
use gingerkeel_transport::Clock;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use tracing::info;

use crate::route_reports::{LinkNumber, LinkedUsage};

/// What tenants with a quota sent to this broker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TenantCount {
    /// The tenant.
    pub tenant: TenantName,
    /// Requests that were within its quota.
    pub admitted: u64,
    /// Requests that were refused.
    pub refused: u64,
}

/// Quotas of all tenants at this broker.
pub struct Quotas {
    clock: Clock,
    meter: RefCell<QuotaMeter>,
    limited: RefCell<LimitedTenants>,
    /// The link that is up.
    link: Cell<Option<LinkNumber>>,
    random: RefCell<Pcg64>,
}

impl Quotas {
    /// No tenant is known yet.
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

    /// Takes over the quotas of a configuration.
    pub fn configure(&self, tenants: &[Tenant]) {
        let quotas = tenants.iter().map(|tenant| (tenant.name.clone(), tenant.quota));
        self.meter.borrow_mut().configure(self.clock.now(), quotas);
    }

    /// Takes over how many brokers may be serving.
    pub fn set_brokers(&self, brokers: usize) {
        self.meter.borrow_mut().set_brokers(brokers);
    }

    /// A link to a control process is up, on which everything is reported that was not acknowledged.
    pub fn link_up(&self, link: LinkNumber) {
        self.meter.borrow_mut().link_lost(self.clock.now());
        self.link.set(Some(link));
    }

    /// The link is lost.
    pub fn link_down(&self) {
        self.meter.borrow_mut().link_lost(self.clock.now());
        self.link.set(None);
    }

    /// A control process told how the quotas stand.
    pub fn apply_fleet_usage(&self, usage: &FleetUsage) {
        self.meter.borrow_mut().told(self.clock.now(), usage);
    }

    /// Counts a request of a tenant against its quota.
    ///
    /// # Errors
    /// When its caller may come back: it is beyond the quota.
    pub fn admit(&self, tenant: &TenantName) -> Result<(), Duration> {
        let now = self.clock.now();
        let draw = self.random.borrow_mut().random();
        let verdict = self.meter.borrow_mut().arrive(now, tenant, draw);
        let QuotaVerdict::Beyond { retry_after } = verdict else {
            return Ok(());
        };
        if self.limited.borrow_mut().refused(now, tenant) {
            info!(event = "tenant_limited", %tenant);
        }
        Err(retry_after)
    }

    /// A request that was counted reached no leaf.
    pub fn refund(&self, tenant: &TenantName) {
        self.meter.borrow_mut().give_back(self.clock.now(), tenant);
    }

    /// Logs the tenants that are not limited any more.
    pub fn log_relieved_tenants(&self) {
        for relief in self.limited.borrow_mut().relieved(self.clock.now()) {
            let (tenant, refused) = (relief.tenant, relief.refused);
            let limited_ms = relief.lasted.as_millis() as u64;
            info!(event = "tenant_not_limited", %tenant, refused, limited_ms);
        }
    }

    /// What is due to be reported on the link that is up.
    pub fn report(&self) -> Option<LinkedUsage> {
        let link = self.link.get()?;
        let report = self.meter.borrow_mut().report(self.clock.now())?;
        Some(LinkedUsage { link, report })
    }

    /// What each tenant with a quota sent, the most refused first.
    pub fn counts(&self) -> Vec<TenantCount> {
        let meter = self.meter.borrow();
        let standing = meter.standing();
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
