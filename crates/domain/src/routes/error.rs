//! Validation errors of a route configuration.

use quick_error::quick_error;

use crate::identifiers::{RegionName, ServiceName, TenantName};

quick_error! {
    /// Why a configuration was rejected as a whole.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum RouteError {
        /// A route names a service that the configuration does not define.
        UnknownService(route: String, service: ServiceName) {
            display("route {route} names service {service}, which is not defined: define it or name another one")
        }
        /// A service is defined more than once.
        DuplicateService(service: ServiceName) {
            display("service {service} is defined twice: define it once")
        }
        /// Two routes have the same host and prefix.
        DuplicateRoute(route: String, host: String, prefix: String) {
            display("route {route} has the host {host} and the prefix {prefix} of another route: give each route a place of its own")
        }
        /// The weights of a split add up to 0.
        NoWeight(route: String) {
            display("the weights of route {route} add up to 0: give at least one service a weight")
        }
        /// A route allows a region that has no zone.
        UnknownRegion(route: String, region: RegionName, known: String) {
            display("route {route} allows region {region}, which no zone has: name some of {known}, or none for all")
        }
        /// A tenant allows a region that has no zone.
        UnknownTenantRegion(tenant: TenantName, region: RegionName, known: String) {
            display("tenant {tenant} allows region {region}, which no zone has: name some of {known}, or none for all")
        }
        /// A tenant name is empty or cannot be sent in a header field.
        BadTenantName(tenant: TenantName) {
            display("the tenant name `{}` cannot be sent to leaves: give each tenant a name without control characters or space around it", tenant.as_str().escape_debug())
        }
        /// Two tenants have the same name.
        DuplicateTenant(tenant: TenantName) {
            display("tenant {tenant} is defined twice: define it once, with all its keys")
        }
        /// Two tenants hold the same key.
        DuplicateKey(one: TenantName, other: TenantName) {
            display("tenants {one} and {other} hold the same key: give each tenant keys of its own")
        }
        /// The timeout of a route is 0.
        NoTimeout(route: String) {
            display("route {route} has a time-out of 0: give it at least one millisecond")
        }
        /// A prefix does not begin and end with a slash.
        BadPrefix(route: String, prefix: String) {
            display("route {route} has the prefix `{prefix}`: begin and end it with a slash")
        }
        /// A route names no host.
        NoHost(route: String) {
            display("route {route} names no host: name one")
        }
        /// A shard set is empty or names a service more than once.
        BadShards(route: String) {
            display("route {route} names no shard or one of them twice: name each shard once")
        }
    }
}
