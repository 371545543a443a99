//! The routes as a broker looks them up.

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

/// A configuration, indexed by host.
#[derive(Debug, Default)]
pub struct RouteTable {
    version: RouteVersion,
    limits: CallerLimits,
    services: BTreeMap<ServiceName, BackEndService>,
    /// Routes of a host, those of longer prefixes first.
    hosts: BTreeMap<String, Vec<Arc<Route>>>,
    /// Who may call.
    keys: KeyIndex,
    /// Priorities of the requests to each destination.
    priorities: BTreeMap<ServiceName, BTreeSet<u32>>,
    /// Services that are asked for a part of gathered answers, with the shortest target latency.
    shards: BTreeMap<ServiceName, Duration>,
}

/// What a request matches.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RouteLookup {
    /// A route.
    Found(Arc<Route>),
    /// The host has no route for the path, or is unknown.
    NotFound,
}

impl RouteTable {
    /// Indexes a valid configuration.
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
                priorities.entry(service.clone()).or_default().extend(of_requests(&route, &keys));
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

    /// What callers may send.
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// A service by its name.
    pub fn service(&self, name: &ServiceName) -> Option<&BackEndService> {
        self.services.get(name)
    }

    /// Services that are asked for a part of gathered answers, with the shortest target latency.
    pub fn shards(&self) -> &BTreeMap<ServiceName, Duration> {
        &self.shards
    }

    /// Who may call, by their keys.
    pub fn keys(&self) -> &KeyIndex {
        &self.keys
    }

    /// How many priorities above that of a request the destination of its route serves.
    pub fn rank(&self, route: &Route, tenant: Option<&Tenant>) -> u32 {
        let service = route.destination.representative();
        let known = service.and_then(|service| self.priorities.get(service));
        let own = priority(route, tenant);
        known.map_or(0, |known| known.range(..own).count() as u32)
    }

    /// The weight by which a tenant shares with others where leaves run short: what it may send. One that may
    /// send as much as it wants has the weight of the largest quota.
    pub fn sharing(&self, tenant: &Tenant) -> SharingTenant {
        let weight = match tenant.quota.is_limited() {
            true => tenant.quota.requests_per_1000_s,
            false => self.keys.largest_quota(),
        };
        SharingTenant::new(&tenant.name, weight)
    }

    /// The route of the longest prefix that begins `path`. The host may carry a port.
    pub fn find(&self, host: &str, path: &str) -> RouteLookup {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let Some(routes) = self.hosts.get(&name.to_ascii_lowercase()) else {
            return RouteLookup::NotFound;
        };
        let matching = routes.iter().find(|route| path.starts_with(&route.path_prefix));
        matching.map_or(RouteLookup::NotFound, |route| RouteLookup::Found(route.clone()))
    }
}

/// The priority of a request: its tenant's goes before its route's.
fn priority(route: &Route, tenant: Option<&Tenant>) -> u32 {
    tenant.and_then(|tenant| tenant.priority).unwrap_or(route.priority)
}

/// The priorities that requests of a route may have.
fn of_requests(route: &Route, keys: &KeyIndex) -> BTreeSet<u32> {
    let without_tenant = (route.public || !keys.is_required()).then_some(route.priority);
    let of_tenants = keys.priorities().iter().map(|own| own.unwrap_or(route.priority));
    of_tenants.chain(without_tenant).collect()
}
