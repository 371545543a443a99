//! Look-ups as tables.

use std::collections::BTreeMap;

use gingerkeel_domain::catalog::{AnswerPolicy, Catalog, LeafState, Service};
use gingerkeel_statement::StatementReply;

use crate::catalog_task::Subscriber;

/// Services, a row for each class.
pub fn services(catalog: &Catalog) -> StatementReply {
    let columns = [
        "service", "snapshot", "shards", "class", "priority", "queue", "price", "deadline",
        "answer",
    ];
    let rows = catalog
        .services()
        .iter()
        .flat_map(|(name, service)| service_rows(name.as_str(), service))
        .collect();
    table(&columns, rows)
}

fn service_rows(name: &str, service: &Service) -> Vec<Vec<String>> {
    let snapshot = service.published().map_or("none".to_owned(), |snapshot| snapshot.to_string());
    let shards = service
        .partition(service.newest_epoch())
        .map_or(0, |partition| partition.shards.len())
        .to_string();
    service
        .classes()
        .iter()
        .map(|class| {
            vec![
                name.to_owned(),
                snapshot.clone(),
                shards.clone(),
                class.name.to_string(),
                class.priority.to_string(),
                class.queue_limit.to_string(),
                class.price.to_string(),
                format!("{:?}", class.default_deadline),
                answer_policy(class.answer_policy),
            ]
        })
        .collect()
}

fn answer_policy(policy: AnswerPolicy) -> String {
    match policy {
        AnswerPolicy::Full => "full".to_owned(),
        AnswerPolicy::Partial { soft_deadline } => format!("partial after {soft_deadline:?}"),
    }
}

/// Leaves, a row each.
pub fn leaves(catalog: &Catalog) -> StatementReply {
    let columns = ["leaf", "address", "region", "zone", "slots", "connections", "state"];
    let rows = catalog
        .leaves()
        .values()
        .map(|leaf| {
            vec![
                leaf.id.to_string(),
                leaf.address.to_string(),
                leaf.placement.region.to_string(),
                leaf.placement.zone.to_string(),
                leaf.slots.to_string(),
                leaf.connection_limit.to_string(),
                leaf_state(leaf.state).to_owned(),
            ]
        })
        .collect();
    table(&columns, rows)
}

fn leaf_state(state: LeafState) -> &'static str {
    match state {
        LeafState::Active => "active",
        LeafState::Draining => "draining",
    }
}

/// Callers, a row each.
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

/// Brokers, a row each.
pub fn brokers(subscribers: &BTreeMap<String, Subscriber>) -> StatementReply {
    let rows = subscribers
        .iter()
        .map(|(name, subscriber)| vec![name.clone(), subscriber.applied.to_string()])
        .collect();
    table(&["broker", "revision in force"], rows)
}

/// One row about the control process.
pub fn status(catalog: &Catalog, subscribers: &BTreeMap<String, Subscriber>) -> StatementReply {
    let accepted = catalog.revision().0;
    let in_force = subscribers.values().map(|subscriber| subscriber.applied).min();
    let row = vec![
        accepted.to_string(),
        in_force.unwrap_or(accepted).to_string(),
        subscribers.len().to_string(),
    ];
    table(&["accepted revision", "in force everywhere", "brokers"], vec![row])
}

fn table(columns: &[&str], rows: Vec<Vec<String>>) -> StatementReply {
    let columns = columns.iter().map(|column| (*column).to_owned()).collect();
    StatementReply::Table { columns, rows }
}
