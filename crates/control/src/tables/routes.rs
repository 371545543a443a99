//! Tables of routes and of the external directory of leaves.

use gingerkeel_domain::directory::{LeafAvailability, LeafDirectory, ListedLeaf};
use gingerkeel_domain::identifiers::RegionName;
use gingerkeel_domain::routes::{Destination, RegionPolicy, Route, RouteState};
use gingerkeel_statement::StatementReply;

use super::table;

/// One row per route of the accepted configuration.
pub fn routes(state: &RouteState) -> StatementReply {
    let accepted = state.current();
    let version = state.version().0;
    let routes = accepted.map(|accepted| &accepted.configuration.routes[..]).unwrap_or_default();
    let rows = routes.iter().map(|route| row(route, version)).collect();
    let columns = [
        "route",
        "host",
        "prefix",
        "repeatable",
        "time-out ms",
        "target ms",
        "priority",
        "attempts",
        "destination",
        "version",
        "regions",
        "public",
    ];
    table(&columns, rows)
}

fn row(route: &Route, version: u64) -> Vec<String> {
    vec![
        route.name.clone(),
        route.host.clone(),
        route.path_prefix.clone(),
        if route.repeatable { "yes" } else { "no" }.to_owned(),
        route.timeout_ms.to_string(),
        route.target_latency_ms.to_string(),
        route.priority.to_string(),
        route.attempts.to_string(),
        destination(&route.destination),
        version.to_string(),
        regions(&route.allowed_regions),
        if route.public { "yes" } else { "no" }.to_owned(),
    ]
}

/// The regions that a policy allows, separated by commas; `all` without a restriction.
pub fn regions(policy: &RegionPolicy) -> String {
    if !policy.is_restricted() {
        return "all".to_owned();
    }
    let regions: Vec<&str> = policy.regions().map(RegionName::as_str).collect();
    regions.join(", ")
}

fn destination(destination: &Destination) -> String {
    match destination {
        Destination::Service(service) => service.to_string(),
        Destination::Split(parts) => {
            let part = |part: &gingerkeel_domain::routes::WeightedService| {
                format!("{} {}", part.service, part.weight)
            };
            let parts: Vec<String> = parts.iter().map(part).collect();
            format!("split: {}", parts.join(", "))
        }
        Destination::Shards(shards) => format!(
            "{} shards, {} greatest records, from {} millionths of the shards",
            shards.services.len(),
            shards.greatest,
            shards.least_share.0
        ),
    }
}

/// One row per leaf of the external directory.
pub fn directory(directory: &LeafDirectory) -> StatementReply {
    let version = directory.version().0;
    let row = |leaf: &ListedLeaf| {
        let state = match leaf.availability {
            LeafAvailability::Ready => "ready",
            LeafAvailability::Leaving => "leaving",
        };
        vec![
            leaf.identity.to_string(),
            leaf.service.to_string(),
            leaf.address.to_string(),
            leaf.zone.to_string(),
            leaf.slots.to_string(),
            state.to_owned(),
            version.to_string(),
        ]
    };
    let rows = directory.leaves().values().map(row).collect();
    table(&["leaf", "service", "address", "zone", "slots", "state", "version"], rows)
}
