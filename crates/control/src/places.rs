//! The zones and regions that the settings name.

use std::collections::BTreeMap;

use gingerkeel_domain::identifiers::{RegionName, ZoneName};
use gingerkeel_domain::routes::{RouteConfiguration, RouteError};

/// Zones with their regions. Where the settings name none, nothing is known of places.
#[derive(Debug, Clone, Default)]
pub struct KnownPlaces {
    zones: BTreeMap<ZoneName, RegionName>,
}

impl KnownPlaces {
    /// These zones, by name, with the names of their regions.
    pub fn new(zones: &BTreeMap<String, String>) -> Self {
        let zones =
            zones.iter().map(|(zone, region)| (ZoneName::new(zone), RegionName::new(region)));
        Self { zones: zones.collect() }
    }

    /// Whether the settings name no zone at all.
    pub fn is_empty(&self) -> bool {
        self.zones.is_empty()
    }

    /// Whether the settings name a zone.
    pub fn has_zone(&self, zone: &ZoneName) -> bool {
        self.zones.contains_key(zone)
    }

    /// Checks that a route names only regions that there are.
    ///
    /// # Errors
    /// [`RouteError::UnknownRegion`] names the route, the region and those that there are.
    pub fn check_regions(&self, configuration: &RouteConfiguration) -> Result<(), RouteError> {
        if self.is_empty() {
            return Ok(());
        }
        for route in &configuration.routes {
            let known = |region: &&RegionName| self.zones.values().any(|known| known == *region);
            if let Some(region) = route.allowed_regions.regions().find(|region| !known(region)) {
                return Err(self.unknown_region(&route.name, region));
            }
        }
        Ok(())
    }

    fn unknown_region(&self, route: &str, region: &RegionName) -> RouteError {
        let mut known: Vec<&str> = self.zones.values().map(RegionName::as_str).collect();
        known.sort_unstable();
        known.dedup();
        RouteError::UnknownRegion(route.to_owned(), region.clone(), known.join(", "))
    }
}
