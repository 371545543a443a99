//! Table of zones.

use std::collections::BTreeSet;

use gingerkeel_domain::catalog::Placement;
use gingerkeel_domain::cluster::{ClusterState, Target};
use gingerkeel_domain::directory::ListedLeaf;
use gingerkeel_domain::identifiers::ZoneName;
use gingerkeel_statement::StatementReply;

use super::table;

/// One row per zone that the state names: whether it is evacuated, and the number of brokers on
/// which the zone's last order is not in force yet.
pub fn zones(state: &ClusterState) -> StatementReply {
    let rows = named(state).into_iter().map(|zone| row(state, zone)).collect();
    let columns = ["zone", "state", "brokers", "leaves", "brokers without the last order"];
    table(&columns, rows)
}

/// Zones named by a broker, a leaf or an evacuation.
pub fn named(state: &ClusterState) -> BTreeSet<&ZoneName> {
    let live = state.members().brokers().values().map(|broker| &broker.placement);
    let departed = state.members().departed().values().map(|broker| &broker.placement);
    let leaves = state.catalog().leaves().values().map(|leaf| &leaf.placement);
    let placements = live.chain(departed).chain(leaves).map(|placement| &placement.zone);
    let listed = state.directory().leaves().values().map(|leaf| &leaf.zone);
    placements.chain(listed).chain(state.catalog().evacuated()).collect()
}

fn row(state: &ClusterState, zone: &ZoneName) -> Vec<String> {
    let evacuated = state.catalog().evacuated().contains(zone);
    let is_here = |placement: &Placement| &placement.zone == zone;
    let brokers = state.members().brokers().values();
    let brokers = brokers.filter(|broker| is_here(&broker.placement)).count();
    let configured = state.catalog().leaves().values();
    let configured = configured.filter(|leaf| is_here(&leaf.placement)).count();
    let listed = |leaf: &&ListedLeaf| &leaf.zone == zone;
    let listed = state.directory().leaves().values().filter(listed).count();
    let order = state.history().last_change(&Target::Zone(zone.clone()));
    let without = order.map_or(0, |order| state.members().lagging(order).count());
    vec![
        zone.to_string(),
        if evacuated { "evacuated" } else { "in service" }.to_owned(),
        brokers.to_string(),
        (configured + listed).to_string(),
        without.to_string(),
    ]
}
