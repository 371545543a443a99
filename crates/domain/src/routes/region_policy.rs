//! In which regions the requests of a route may be served.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::identifiers::RegionName;

/// The regions whose leaves may get the requests of a route. The default restricts nothing; a
/// policy that names no region is the same, because a route that nobody may serve has no use.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RegionPolicy {
    regions: BTreeSet<RegionName>,
}

impl RegionPolicy {
    /// Leaves of these regions only, or of all regions when none is named.
    pub fn only(regions: impl IntoIterator<Item = RegionName>) -> Self {
        Self { regions: regions.into_iter().collect() }
    }

    /// Whether some leaves may not get requests.
    pub fn is_restricted(&self) -> bool {
        !self.regions.is_empty()
    }

    /// Whether leaves of `region` may get requests. A leaf whose region is not known may be
    /// anywhere, and gets only requests that are not restricted.
    pub fn allows(&self, region: Option<&str>) -> bool {
        !self.is_restricted()
            || region.is_some_and(|region| self.regions.iter().any(|name| name.as_str() == region))
    }

    /// The regions that are named.
    pub fn regions(&self) -> impl Iterator<Item = &RegionName> {
        self.regions.iter()
    }
}
