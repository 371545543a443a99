//! Restriction of requests to regions.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::identifiers::RegionName;

/// The regions whose leaves may get the requests of a route or tenant. A policy without regions,
/// the default, allows all of them, because a route that no leaf may serve is of no use.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RegionPolicy {
    regions: BTreeSet<RegionName>,
}

impl RegionPolicy {
    /// Allows only these regions, or all regions if `regions` is empty.
    pub fn only(regions: impl IntoIterator<Item = RegionName>) -> Self {
        Self { regions: regions.into_iter().collect() }
    }

    /// Whether the policy excludes any leaf.
    pub fn is_restricted(&self) -> bool {
        !self.regions.is_empty()
    }

    /// Whether leaves of `region` may get requests. A leaf whose region is unknown gets only
    /// requests that are not restricted.
    pub fn allows(&self, region: Option<&str>) -> bool {
        !self.is_restricted()
            || region.is_some_and(|region| self.regions.iter().any(|name| name.as_str() == region))
    }

    /// The allowed regions; empty if all are allowed.
    pub fn regions(&self) -> impl Iterator<Item = &RegionName> {
        self.regions.iter()
    }
}
