//! The routes as a broker looks them up.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::configuration::{BackEndService, CallerLimits, Route, RouteConfiguration, RouteVersion};
use crate::identifiers::ServiceName;

/// A configuration, indexed by host.
#[derive(Debug, Default)]
pub struct RouteTable {
    version: RouteVersion,
    limits: CallerLimits,
    services: BTreeMap<ServiceName, BackEndService>,
    /// Routes of a host, those of longer prefixes first.
    hosts: BTreeMap<String, Vec<Arc<Route>>>,
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
        let mut hosts: BTreeMap<String, Vec<Arc<Route>>> = BTreeMap::new();
        for route in configuration.routes {
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
