//! Zones and regions in the settings of a control process.

use std::collections::BTreeMap;

use gingerkeel_domain::identifiers::{RegionName, ZoneName};
use gingerkeel_domain::routes::{RegionPolicy, RouteConfiguration, RouteError};

/// The configured zones with their regions. If the settings name none, regions are not checked.
#[derive(Debug, Clone, Default)]
pub struct ConfiguredZones {
    zones: BTreeMap<ZoneName, RegionName>,
}

impl ConfiguredZones {
    /// Creates the map from zone names and the names of their regions.
    pub fn new(zones: &BTreeMap<String, String>) -> Self {
        let zones =
            zones.iter().map(|(zone, region)| (ZoneName::new(zone), RegionName::new(region)));
        Self { zones: zones.collect() }
    }

    /// Whether the settings name no zone.
    pub fn is_empty(&self) -> bool {
        self.zones.is_empty()
    }

    /// Whether the settings name this zone.
    pub fn has_zone(&self, zone: &ZoneName) -> bool {
        self.zones.contains_key(zone)
    }

    /// Checks that routes and tenants allow only configured regions. Accepts any region if no zone
    /// is configured.
    ///
    /// # Errors
    /// [`RouteError::UnknownRegion`] or [`RouteError::UnknownTenantRegion`], with the route or
    /// tenant, its unknown region and the configured regions.
    pub fn check_regions(&self, configuration: &RouteConfiguration) -> Result<(), RouteError> {
        if self.is_empty() {
            return Ok(());
        }
        for route in &configuration.routes {
            if let Some(region) = self.unknown_region(&route.allowed_regions) {
                let (name, known) = (route.name.clone(), self.known_regions());
                return Err(RouteError::UnknownRegion(name, region.clone(), known));
            }
        }
        for tenant in &configuration.tenants {
            if let Some(region) = self.unknown_region(&tenant.allowed_regions) {
                let (name, known) = (tenant.name.clone(), self.known_regions());
                return Err(RouteError::UnknownTenantRegion(name, region.clone(), known));
            }
        }
        Ok(())
    }

    fn unknown_region<'policy>(
        &self,
        policy: &'policy RegionPolicy,
    ) -> Option<&'policy RegionName> {
        let is_known = |region: &RegionName| self.zones.values().any(|known| known == region);
        policy.regions().find(|region| !is_known(region))
    }

    fn known_regions(&self) -> String {
        let mut known: Vec<&str> = self.zones.values().map(RegionName::as_str).collect();
        known.sort_unstable();
        known.dedup();
        known.join(", ")
    }
}
