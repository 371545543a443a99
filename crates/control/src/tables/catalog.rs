//! Tables of the catalog.

use std::sync::Arc;

use gingerkeel_domain::catalog::{AnswerPolicy, Catalog, LeafState, Service};
use gingerkeel_domain::cluster::{LeafHealth, LeafHints};
use gingerkeel_domain::identifiers::{LeafId, ServiceName};
use gingerkeel_statement::StatementReply;

use super::table;

/// One row per service, with its published snapshot and the shards of its newest partition.
pub fn services(catalog: &Catalog) -> StatementReply {
    let rows = catalog.services().iter().map(|(name, service)| {
        let snapshot = service.published().map_or("none".to_owned(), |shown| shown.to_string());
        vec![
            name.to_string(),
            snapshot,
            newest_shards(service).to_string(),
            service.classes().len().to_string(),
            service.concurrency.to_string(),
        ]
    });
    table(&["service", "snapshot", "shards", "classes", "concurrency"], rows.collect())
}

fn newest_shards(service: &Service) -> usize {
    service.partition(service.newest_epoch()).map_or(0, |partition| partition.shards.len())
}

/// The service of this name, or all services without a name.
fn selected<'a>(
    catalog: &'a Catalog,
    name: Option<&'a ServiceName>,
) -> impl Iterator<Item = (&'a ServiceName, &'a Arc<Service>)> {
    let wanted = move |candidate: &ServiceName| name.is_none_or(|name| name == candidate);
    catalog.services().iter().filter(move |(candidate, _)| wanted(candidate))
}

/// One row per class, in descending priority within a service.
pub fn classes(catalog: &Catalog, service: Option<&ServiceName>) -> StatementReply {
    let columns = ["service", "class", "priority", "queue", "price", "deadline", "answer"];
    let rows = selected(catalog, service).flat_map(|(name, service)| {
        service.classes().iter().map(|class| {
            vec![
                name.to_string(),
                class.name.to_string(),
                class.priority.to_string(),
                class.queue_limit.to_string(),
                class.price.to_string(),
                format!("{:?}", class.default_deadline),
                answer_policy(class.answer_policy),
            ]
        })
    });
    table(&columns, rows.collect())
}

/// One row per shard of the newest partition map.
pub fn shards(catalog: &Catalog, service: Option<&ServiceName>) -> StatementReply {
    let rows = selected(catalog, service).flat_map(|(name, service)| {
        let newest = service.partition(service.newest_epoch()).into_iter();
        newest.flat_map(move |map| {
            map.shards.iter().map(move |(shard, leaves)| {
                vec![
                    name.to_string(),
                    map.epoch.to_string(),
                    shard.to_string(),
                    join_leaves(leaves),
                ]
            })
        })
    });
    table(&["service", "epoch", "shard", "leaves"], rows.collect())
}

fn join_leaves(leaves: &[LeafId]) -> String {
    let leaves: Vec<String> = leaves.iter().map(LeafId::to_string).collect();
    leaves.join(", ")
}

/// One row per published snapshot that is retained, newest first.
pub fn versions(catalog: &Catalog, service: Option<&ServiceName>) -> StatementReply {
    let rows = selected(catalog, service).flat_map(|(name, service)| {
        service.published_snapshots().iter().enumerate().map(|(age, snapshot)| {
            let state = if age == 0 { "published" } else { "retained" };
            vec![
                name.to_string(),
                snapshot.version.to_string(),
                snapshot.epoch.to_string(),
                state.to_owned(),
            ]
        })
    });
    table(&["service", "version", "epoch", "state"], rows.collect())
}

fn answer_policy(policy: AnswerPolicy) -> String {
    match policy {
        AnswerPolicy::Full => "full".to_owned(),
        AnswerPolicy::Partial { soft_deadline } => format!("partial after {soft_deadline:?}"),
    }
}

/// One row per configured leaf, with the result of the last health poll.
pub fn leaves(catalog: &Catalog, hints: &LeafHints) -> StatementReply {
    let columns = ["leaf", "address", "region", "zone", "slots", "connections", "state", "health"];
    let rows = catalog.leaves().values().map(|leaf| {
        vec![
            leaf.id.to_string(),
            leaf.address.to_string(),
            leaf.placement.region.to_string(),
            leaf.placement.zone.to_string(),
            leaf.slots.to_string(),
            leaf.connection_limit.to_string(),
            leaf_state(leaf.state).to_owned(),
            leaf_health(hints.health(leaf.id)).to_owned(),
        ]
    });
    table(&columns, rows.collect())
}

fn leaf_health(health: LeafHealth) -> &'static str {
    match health {
        LeafHealth::Serving => "serving",
        LeafHealth::Leaving => "leaving",
        LeafHealth::Unhealthy => "unhealthy",
        LeafHealth::Unreachable => "unreachable",
    }
}

fn leaf_state(state: LeafState) -> &'static str {
    match state {
        LeafState::Active => "active",
        LeafState::Draining => "draining",
    }
}

/// One row per caller, with its budget.
pub fn callers(catalog: &Catalog) -> StatementReply {
    let rows = catalog
        .callers()
        .iter()
        .map(|(name, account)| {
            vec![name.to_string(), account.budget_per_second.to_string(), account.burst.to_string()]
        })
        .collect();
    table(&["caller", "budget per second", "burst"], rows)
}
