//! Route lookup in a broker.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use super::configuration::{
    BackEndService, CallerLimits, Destination, Route, RouteConfiguration, RouteVersion,
};
use super::key_index::KeyIndex;
use super::tenant::Tenant;
use crate::forwarding::SharingTenant;
use crate::identifiers::ServiceName;

/// A configuration indexed by host, key and service.
#[derive(Debug, Default)]
pub struct RouteTable {
    version: RouteVersion,
    limits: CallerLimits,
    services: BTreeMap<ServiceName, BackEndService>,
    /// Routes of each host, longest prefix first.
    hosts: BTreeMap<String, Vec<Arc<Route>>>,
    /// Tenants by key.
    keys: KeyIndex,
    /// Priorities that requests to each destination may have.
    priorities: BTreeMap<ServiceName, BTreeSet<u32>>,
    /// Services of shard sets, with the shortest target latency of their routes.
    shards: BTreeMap<ServiceName, Duration>,
}

/// Result of a route lookup.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RouteLookup {
    /// The route that matches the request.
    Found(Arc<Route>),
    /// The host is unknown or has no route for the path.
    NotFound,
}

impl RouteTable {
    /// Builds the table of a valid configuration.
    pub fn new(configuration: RouteConfiguration) -> Self {
        let keys = KeyIndex::new(configuration.tenants);
        let mut hosts: BTreeMap<String, Vec<Arc<Route>>> = BTreeMap::new();
        let mut priorities: BTreeMap<ServiceName, BTreeSet<u32>> = BTreeMap::new();
        let mut shards = BTreeMap::new();
        for route in configuration.routes {
            if let Destination::Shards(set) = &route.destination {
                let target = Duration::from_millis(route.target_latency_ms);
                for service in &set.services {
                    let shortest = shards.entry(service.clone()).or_insert(target);
                    *shortest = target.min(*shortest);
                }
            }
            if let Some(service) = route.destination.representative() {
                priorities
                    .entry(service.clone())
                    .or_default()
                    .extend(request_priorities(&route, &keys));
            }
            hosts.entry(route.host.to_ascii_lowercase()).or_default().push(Arc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let services = configuration.services.into_iter();
        Self {
            version: configuration.version,
            limits: configuration.limits,
            services: services.map(|service| (service.name.clone(), service)).collect(),
            hosts,
            keys,
            priorities,
            shards,
        }
    }

    /// Version of the configuration.
    pub fn version(&self) -> RouteVersion {
        self.version
    }

    /// Size and time limits on callers' requests.
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// The service of this name.
    pub fn service(&self, name: &ServiceName) -> Option<&BackEndService> {
        self.services.get(name)
    }

    /// Services of shard sets, with the shortest target latency of their routes.
    pub fn shards(&self) -> &BTreeMap<ServiceName, Duration> {
        &self.shards
    }

    /// The tenants by key.
    pub fn keys(&self) -> &KeyIndex {
        &self.keys
    }

    /// Number of distinct higher priorities that requests to the same destination may have.
    pub fn rank(&self, route: &Route, tenant: Option<&Tenant>) -> u32 {
        let service = route.destination.representative();
        let known = service.and_then(|service| self.priorities.get(service));
        let own = priority(route, tenant);
        known.map_or(0, |known| known.range(..own).count() as u32)
    }

    /// The weight of a tenant in fair sharing of scarce leaves: its quota. A tenant without a limit
    /// has the weight of the largest quota.
    pub fn sharing(&self, tenant: &Tenant) -> SharingTenant {
        let weight = match tenant.quota.is_limited() {
            true => tenant.quota.requests_per_1000_s,
            false => self.keys.largest_quota(),
        };
        SharingTenant::new(&tenant.name, weight)
    }

    /// Finds the route with the longest prefix of `path`. `host` may include a port.
    pub fn find(&self, host: &str, path: &str) -> RouteLookup {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let Some(routes) = self.hosts.get(&name.to_ascii_lowercase()) else {
            return RouteLookup::NotFound;
        };
        let matching = routes.iter().find(|route| path.starts_with(&route.path_prefix));
        matching.map_or(RouteLookup::NotFound, |route| RouteLookup::Found(route.clone()))
    }
}

/// The priority of a request: its tenant's if set, otherwise its route's.
fn priority(route: &Route, tenant: Option<&Tenant>) -> u32 {
    tenant.and_then(|tenant| tenant.priority).unwrap_or(route.priority)
}

/// The priorities that requests of a route may have.
fn request_priorities(route: &Route, keys: &KeyIndex) -> BTreeSet<u32> {
    let without_tenant = (route.public || !keys.is_required()).then_some(route.priority);
    let tenant_priorities = keys.priorities().iter().map(|own| own.unwrap_or(route.priority));
    tenant_priorities.chain(without_tenant).collect()
}
