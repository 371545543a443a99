//! The configurations of a soak of many control machines.

use gingerkeel_domain::forwarding::ColdStart;
use gingerkeel_domain::identifiers::ServiceName;
use gingerkeel_domain::routes::{
    BackEndService, Destination, PartsPerMillion, Route, RouteConfiguration, ShardSet,
};
use serde_json::Value;

use crate::soak::parties;

/// Routes over shards that no caller asks for.
const IDLE_ROUTES: usize = 150;
/// Shards of these routes.
const IDLE_SHARDS: usize = 40;
/// Records of an answer of these routes.
const IDLE_GREATEST: u32 = 10;

/// The path prefix of the route that this version and each later one has.
pub fn path_since(version: u64) -> String {
    format!("/v{version}/")
}

/// The configuration of a version: the route of each version up to it, and idle routes.
pub fn configuration(version: u64) -> RouteConfiguration {
    let mut configuration = parties::configuration(version);
    let template = configuration.routes[configuration.routes.len() - 1].clone();
    let earlier = (1..version).map(|earlier| Route {
        name: format!("v{earlier}"),
        path_prefix: path_since(earlier),
        ..template.clone()
    });
    configuration.routes.extend(earlier);
    let shards: Vec<ServiceName> =
        (0..IDLE_SHARDS).map(|shard| ServiceName::new(format!("idle-{shard}"))).collect();
    let idle = (0..IDLE_ROUTES).map(|number| Route {
        name: format!("idle-{number}"),
        path_prefix: format!("/idle-{number}/"),
        destination: Destination::Shards(ShardSet {
            services: shards.clone(),
            greatest: IDLE_GREATEST,
            least_share: PartsPerMillion::default(),
        }),
        ..template.clone()
    });
    configuration.routes.extend(idle);
    configuration.services.extend(shards.iter().map(|name| BackEndService {
        name: name.clone(),
        health_path: "/health".to_owned(),
        connection_limit: 4,
        cold_start: ColdStart::default(),
    }));
    configuration
}

/// The configuration of a version as an operator writes and reads it.
pub fn document(version: u64) -> Value {
    serde_json::to_value(configuration(version)).unwrap_or_default()
}
