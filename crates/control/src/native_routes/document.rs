//! JSON document of a route configuration as operators send it: the domain's form, but with keys in
//! plain text instead of digests.

use gingerkeel_domain::identifiers::TenantName;
use gingerkeel_domain::routes::{
    BackEndService, CallerLimits, KeyDigest, RegionPolicy, Route, RouteConfiguration, RouteVersion,
    Tenant, TenantQuota,
};
use serde::Deserialize;

use crate::ports::InterfaceError;

/// A route configuration with the tenants' keys in plain text.
#[derive(Deserialize)]
pub struct ConfigurationDocument {
    version: RouteVersion,
    routes: Vec<Route>,
    services: Vec<BackEndService>,
    limits: CallerLimits,
    #[serde(default)]
    tenants: Vec<TenantDocument>,
}

#[derive(Deserialize)]
struct TenantDocument {
    name: TenantName,
    /// Keys in plain text.
    keys: Vec<String>,
    #[serde(default)]
    priority: Option<u32>,
    #[serde(default)]
    quota: QuotaDocument,
    #[serde(default)]
    allowed_regions: RegionPolicy,
}

#[derive(Default, Deserialize)]
struct QuotaDocument {
    requests_per_1000_s: u64,
    #[serde(default)]
    burst_thousandths: u64,
}

impl ConfigurationDocument {
    /// Converts the document to a configuration that holds only digests of the keys.
    ///
    /// # Errors
    /// An [`InterfaceError`] if a key is empty.
    pub fn configuration(self) -> Result<RouteConfiguration, InterfaceError> {
        let tenants = self.tenants.into_iter().map(TenantDocument::tenant);
        Ok(RouteConfiguration {
            version: self.version,
            routes: self.routes,
            services: self.services,
            limits: self.limits,
            tenants: tenants.collect::<Result<_, _>>()?,
        })
    }
}

impl TenantDocument {
    fn tenant(self) -> Result<Tenant, InterfaceError> {
        let name = &self.name;
        let keys = self.keys.iter().map(|key| {
            KeyDigest::of_text(key).ok_or_else(|| {
                InterfaceError::Malformed(format!("tenant {name} has an empty key: leave it out"))
            })
        });
        Ok(Tenant {
            keys: keys.collect::<Result<_, _>>()?,
            name: self.name,
            priority: self.priority,
            quota: TenantQuota {
                requests_per_1000_s: self.quota.requests_per_1000_s,
                burst_thousandths: self.quota.burst_thousandths,
            },
            allowed_regions: self.allowed_regions,
        })
    }
}
