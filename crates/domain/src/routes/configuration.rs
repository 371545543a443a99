//! The route configuration and its validation.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::error::RouteError;
use super::region_policy::RegionPolicy;
use super::tenant::{KeyDigest, Tenant};
use crate::forwarding::ColdStart;
use crate::identifiers::{ServiceName, TenantName};

/// Version of a configuration, assigned by operators; the highest one wins.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RouteVersion(pub u64);

/// A fraction in parts per million.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PartsPerMillion(pub u32);

impl PartsPerMillion {
    /// One in parts per million.
    pub const WHOLE: u32 = 1_000_000;

    /// Whether `part` of `whole` items are at least this fraction.
    pub fn reached_by(self, part: usize, whole: usize) -> bool {
        part as u64 * u64::from(Self::WHOLE) >= whole as u64 * u64::from(self.0)
    }
}

/// Routes, the services that they name, the limits on callers, and the tenants.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteConfiguration {
    /// Version assigned by the operator.
    pub version: RouteVersion,
    /// The routes; their order has no meaning.
    pub routes: Vec<Route>,
    /// The services that routes may name.
    pub services: Vec<BackEndService>,
    /// Size and time limits on callers' requests.
    pub limits: CallerLimits,
    /// Tenants that may send requests; if empty, no key is required.
    #[serde(default)]
    pub tenants: Vec<Tenant>,
}

/// Rules for the requests with one host and path prefix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name in logs and error messages.
    pub name: String,
    /// Value of the request's Host header, in lower case and without a port.
    pub host: String,
    /// Prefix of the request's path; begins and ends with a slash.
    pub path_prefix: String,
    /// Whether requests are idempotent and may run more than once.
    pub repeatable: bool,
    /// Deadline of a request, in milliseconds from arrival.
    pub timeout_ms: u64,
    /// Latency up to which a reply has its full value, in milliseconds.
    pub target_latency_ms: u64,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Maximum number of leaves that one request, or each of its shard requests, is sent to.
    pub attempts: u32,
    /// The services that process the requests.
    pub destination: Destination,
    /// Regions in which requests may be processed.
    #[serde(default)]
    pub allowed_regions: RegionPolicy,
    /// Whether requests need no key even if tenants are configured.
    #[serde(default)]
    pub public: bool,
}

/// The services that process the requests of a route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Destination {
    /// One leaf of one service.
    Service(ServiceName),
    /// One leaf of one of several services, picked in proportion to the weights.
    Split(Vec<WeightedService>),
    /// Scatter-gather: one leaf of each of several services, whose records are merged.
    Shards(ShardSet),
}

/// A service and its weight in a traffic split.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightedService {
    /// Name of the service.
    pub service: ServiceName,
    /// Relative weight, in millionths of the operator's unit.
    pub weight: u64,
}

/// Services that each hold one shard of an index.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardSet {
    /// One service for each shard.
    pub services: Vec<ServiceName>,
    /// Number of top records in the merged reply.
    pub greatest: u32,
    /// Minimum fraction of the shards that must reply for a merged reply.
    pub least_share: PartsPerMillion,
}

/// A service that routes may name.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackEndService {
    /// Name of the service.
    pub name: ServiceName,
    /// Path of the health check of each leaf.
    pub health_path: String,
    /// Number of connections that each leaf accepts from all brokers together.
    pub connection_limit: u32,
    /// Warm-up of leaves after a start.
    #[serde(default)]
    pub cold_start: ColdStart,
}

/// Size and time limits on callers' requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Maximum size of a request's head, in bytes.
    pub head_bytes: u32,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: u32,
    /// Maximum time from the first byte of a head to its last, in milliseconds.
    pub head_time_ms: u32,
    /// Maximum idle time of a connection between requests, in milliseconds.
    pub idle_time_ms: u32,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 256 * 1024,
            head_time_ms: 3_000,
            idle_time_ms: 15_000,
        }
    }
}

impl Destination {
    /// The first service, used to identify the destination: routes to the same leaves share it.
    pub fn representative(&self) -> Option<&ServiceName> {
        match self {
            Self::Service(service) => Some(service),
            Self::Split(parts) => parts.first().map(|part| &part.service),
            Self::Shards(shards) => shards.services.first(),
        }
    }

    /// All services of the destination.
    pub fn services(&self) -> Vec<&ServiceName> {
        match self {
            Self::Service(service) => vec![service],
            Self::Split(parts) => parts.iter().map(|part| &part.service).collect(),
            Self::Shards(shards) => shards.services.iter().collect(),
        }
    }
}

impl RouteConfiguration {
    /// Validates the whole configuration.
    ///
    /// # Errors
    /// A [`RouteError`] for the first fault found, with its remedy.
    pub fn validate(&self) -> Result<(), RouteError> {
        let mut services = BTreeSet::new();
        for service in &self.services {
            if !services.insert(&service.name) {
                return Err(RouteError::DuplicateService(service.name.clone()));
            }
        }
        let mut prefixes = BTreeSet::new();
        for route in &self.routes {
            route.validate(&services)?;
            if !prefixes.insert((&route.host, &route.path_prefix)) {
                return Err(RouteError::DuplicateRoute(
                    route.name.clone(),
                    route.host.clone(),
                    route.path_prefix.clone(),
                ));
            }
        }
        self.validate_tenants()
    }

    fn validate_tenants(&self) -> Result<(), RouteError> {
        let mut names = BTreeSet::new();
        let mut tenants_by_key: BTreeMap<KeyDigest, &TenantName> = BTreeMap::new();
        for tenant in &self.tenants {
            if !tenant.has_usable_name() {
                return Err(RouteError::BadTenantName(tenant.name.clone()));
            }
            if !names.insert(&tenant.name) {
                return Err(RouteError::DuplicateTenant(tenant.name.clone()));
            }
            for key in &tenant.keys {
                if let Some(other) = tenants_by_key.insert(*key, &tenant.name) {
                    return Err(RouteError::DuplicateKey(other.clone(), tenant.name.clone()));
                }
            }
        }
        Ok(())
    }
}

impl Route {
    /// Whether requests of a tenant may be processed in a region: both its policy and the route's
    /// must allow it.
    pub fn allows_region(&self, tenant: Option<&Tenant>, region: Option<&str>) -> bool {
        self.allowed_regions.allows(region)
            && tenant.is_none_or(|tenant| tenant.allowed_regions.allows(region))
    }

    fn validate(&self, services: &BTreeSet<&ServiceName>) -> Result<(), RouteError> {
        let name = || self.name.clone();
        if self.timeout_ms == 0 {
            return Err(RouteError::NoTimeout(name()));
        }
        let slashes = self.path_prefix.starts_with('/') && self.path_prefix.ends_with('/');
        if !slashes {
            return Err(RouteError::BadPrefix(name(), self.path_prefix.clone()));
        }
        if self.host.is_empty() {
            return Err(RouteError::NoHost(name()));
        }
        for service in self.destination.services() {
            if !services.contains(service) {
                return Err(RouteError::UnknownService(name(), service.clone()));
            }
        }
        self.destination.validate(&self.name)
    }
}

impl Destination {
    fn validate(&self, route: &str) -> Result<(), RouteError> {
        match self {
            Self::Service(_) => Ok(()),
            Self::Split(parts) => {
                let total: u64 = parts.iter().map(|part| part.weight).sum();
                if total == 0 { Err(RouteError::NoWeight(route.to_owned())) } else { Ok(()) }
            }
            Self::Shards(shards) => {
                let distinct: BTreeSet<&ServiceName> = shards.services.iter().collect();
                if distinct.is_empty() || distinct.len() != shards.services.len() {
                    return Err(RouteError::BadShards(route.to_owned()));
                }
                Ok(())
            }
        }
    }
}
