//! A configuration of routes and its validation.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::error::RouteError;
use super::region_policy::RegionPolicy;
use super::tenant::{KeyDigest, Tenant};
use crate::forwarding::ColdStart;
use crate::identifiers::{ServiceName, TenantName};

/// Version of a configuration, given by operators; the highest counts.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RouteVersion(pub u64);

/// A share of a whole, in millionths.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PartsPerMillion(pub u32);

impl PartsPerMillion {
    /// The whole.
    pub const WHOLE: u32 = 1_000_000;

    /// Whether `part` of `whole` things reach the share.
    pub fn reached_by(self, part: usize, whole: usize) -> bool {
        part as u64 * u64::from(Self::WHOLE) >= whole as u64 * u64::from(self.0)
    }
}

/// Routes, the services that they name, and what callers may send.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteConfiguration {
    /// Its version.
    pub version: RouteVersion,
    /// The routes, in no order.
    pub routes: Vec<Route>,
    /// The services that routes may name.
    pub services: Vec<BackEndService>,
    /// What callers may send.
    pub limits: CallerLimits,
    /// Who may call; where none is named, everybody may.
    #[serde(default)]
    pub tenants: Vec<Tenant>,
}

/// Requests of one host below one path.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name, for logs and errors.
    pub name: String,
    /// Host that the request names, in lower case.
    pub host: String,
    /// Path below which requests match; begins and ends with a slash.
    pub path_prefix: String,
    /// Whether a request may run more than once.
    pub repeatable: bool,
    /// Longest time for which a request is held, in milliseconds.
    pub timeout_ms: u64,
    /// Time within which an answer is of full worth, in milliseconds.
    pub target_latency_ms: u64,
    /// Rank; 0 is the highest.
    pub priority: u32,
    /// Most leaves on which one request, or each part of it, may run.
    pub attempts: u32,
    /// Who answers.
    pub destination: Destination,
    /// Where its requests may be served.
    #[serde(default)]
    pub allowed_regions: RegionPolicy,
    /// Whether its requests need no key, also where tenants are named.
    #[serde(default)]
    pub public: bool,
}

/// Who answers the requests of a route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Destination {
    /// One leaf of a service.
    Service(ServiceName),
    /// One leaf of one of several services, in proportion to their weights.
    Split(Vec<WeightedService>),
    /// One leaf of each of several services, whose records are merged.
    Shards(ShardSet),
}

/// A service with its weight in a split.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Its weight, in millionths of the operator's unit.
    pub weight: u64,
}

/// Services that hold one part of an index each.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardSet {
    /// The services.
    pub services: Vec<ServiceName>,
    /// How many of the greatest records are answered.
    pub greatest: u32,
    /// Share of the parts below which there is no answer.
    pub least_share: PartsPerMillion,
}

/// A service that routes may name.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackEndService {
    /// Its name.
    pub name: ServiceName,
    /// Path of the leaves' health check.
    pub health_path: String,
    /// Connections that each leaf accepts from all brokers together.
    pub connection_limit: u32,
    /// How its leaves start.
    #[serde(default)]
    pub cold_start: ColdStart,
}

/// What callers may send, and how long they may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Bytes of a request's head.
    pub head_bytes: u32,
    /// Bytes of a request's body.
    pub body_bytes: u32,
    /// Milliseconds from the first byte of a head to its last.
    pub head_time_ms: u32,
    /// Milliseconds for which a connection may lie idle between requests.
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
    /// The service that stands for the destination: routes to the same leaves share it.
    pub fn representative(&self) -> Option<&ServiceName> {
        match self {
            Self::Service(service) => Some(service),
            Self::Split(parts) => parts.first().map(|part| &part.service),
            Self::Shards(shards) => shards.services.first(),
        }
    }

    /// The services that are named.
    pub fn services(&self) -> Vec<&ServiceName> {
        match self {
            Self::Service(service) => vec![service],
            Self::Split(parts) => parts.iter().map(|part| &part.service).collect(),
            Self::Shards(shards) => shards.services.iter().collect(),
        }
    }
}

impl RouteConfiguration {
    /// Checks the whole configuration.
    ///
    /// # Errors
    /// A [`RouteError`] that names the first fault found and the remedy.
    pub fn validate(&self) -> Result<(), RouteError> {
        let mut services = BTreeSet::new();
        for service in &self.services {
            if !services.insert(&service.name) {
                return Err(RouteError::DuplicateService(service.name.clone()));
            }
        }
        let mut places = BTreeSet::new();
        for route in &self.routes {
            route.validate(&services)?;
            if !places.insert((&route.host, &route.path_prefix)) {
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
        let mut holders: BTreeMap<KeyDigest, &TenantName> = BTreeMap::new();
        for tenant in &self.tenants {
            if !tenant.has_usable_name() {
                return Err(RouteError::BadTenantName(tenant.name.clone()));
            }
            if !names.insert(&tenant.name) {
                return Err(RouteError::DuplicateTenant(tenant.name.clone()));
            }
            for key in &tenant.keys {
                if let Some(other) = holders.insert(*key, &tenant.name) {
                    return Err(RouteError::DuplicateKey(other.clone(), tenant.name.clone()));
                }
            }
        }
        Ok(())
    }
}

impl Route {
    /// Whether requests of a tenant may be served in a region: its policy and the route's both bind.
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
