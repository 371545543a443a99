//! Tables of members, revisions and charges.

use std::collections::BTreeSet;

use gingerkeel_domain::catalog::MemberState;
use gingerkeel_domain::cluster::ClusterState;
use gingerkeel_domain::identifiers::{BrokerName, CallerName, ControlName};
use gingerkeel_statement::{Statement, StatementReply};

use super::table;

/// Placeholder for an unknown value.
const UNKNOWN: &str = "-";

/// Maximum number of changes in the table.
const CHANGES_SHOWN: usize = 20;

/// One row per live or configured broker.
pub fn brokers(state: &ClusterState) -> StatementReply {
    let live = state.members().brokers();
    let configured = state.catalog().brokers();
    let names: BTreeSet<&BrokerName> = live.keys().chain(configured.keys()).collect();
    let rows = names.into_iter().map(|name| {
        let record = live.get(name);
        let shown = |text: Option<String>| text.unwrap_or_else(|| UNKNOWN.to_owned());
        vec![
            name.to_string(),
            shown(record.map(|record| record.placement.region.to_string())),
            shown(record.map(|record| record.placement.zone.to_string())),
            shown(record.map(|record| record.control.to_string())),
            shown(record.map(|record| record.in_force.to_string())),
            member_state(state.catalog().broker_state(name)).to_owned(),
            if record.is_some() { "yes" } else { "no" }.to_owned(),
        ]
    });
    let columns = ["broker", "region", "zone", "control", "revision in force", "state", "live"];
    table(&columns, rows.collect())
}

/// One row per live or configured control process.
pub fn controls(state: &ClusterState) -> StatementReply {
    let live = state.members().controls();
    let configured = state.catalog().controls();
    let names: BTreeSet<&ControlName> = live.keys().chain(configured.keys()).collect();
    let rows = names.into_iter().map(|name| {
        let record = live.get(name);
        let address = |text: Option<String>| text.unwrap_or_else(|| UNKNOWN.to_owned());
        let fed = state.members().brokers().values().filter(|broker| &broker.control == name);
        let wanted = configured.get(name).map_or(MemberState::Active, |control| control.state);
        vec![
            name.to_string(),
            address(record.map(|record| record.renewal.operators.to_string())),
            address(record.map(|record| record.renewal.feed.to_string())),
            fed.count().to_string(),
            member_state(wanted).to_owned(),
            if record.is_some() { "yes" } else { "no" }.to_owned(),
        ]
    });
    table(&["control", "operators", "feed", "brokers", "state", "live"], rows.collect())
}

fn member_state(state: MemberState) -> &'static str {
    match state {
        MemberState::Active => "active",
        MemberState::Draining => "draining",
        MemberState::Removed => "removed",
    }
}

/// One row per caller, service and class, with the answered requests and the units charged.
pub fn charges(state: &ClusterState, caller: Option<&CallerName>) -> StatementReply {
    let totals = state.charges().totals().iter();
    let wanted = totals.filter(|(key, _)| caller.is_none_or(|caller| caller == &key.caller));
    let rows = wanted.map(|(key, counter)| {
        vec![
            key.caller.to_string(),
            key.service.to_string(),
            key.class.to_string(),
            counter.answered.to_string(),
            counter.units.to_string(),
        ]
    });
    table(&["caller", "service", "class", "answered", "units"], rows.collect())
}

/// One row that summarizes the cluster.
pub fn status(state: &ClusterState) -> StatementReply {
    let accepted = state.catalog().revision();
    let members = state.members();
    let row = vec![
        accepted.to_string(),
        members.in_force_everywhere(accepted).to_string(),
        members.brokers().len().to_string(),
        members.controls().len().to_string(),
        state.catalog().leaves().len().to_string(),
        state.applied().0.to_string(),
        lowest_admitted(state),
    ];
    let columns = [
        "accepted revision",
        "in force everywhere",
        "brokers",
        "controls",
        "leaves",
        "applied index",
        "lowest class admitted",
    ];
    table(&columns, vec![row])
}

/// The lowest class that brokers admit, for each service with an admission threshold.
fn lowest_admitted(state: &ClusterState) -> String {
    let thresholds = state.thresholds().services().iter();
    let named = thresholds.map(|(name, threshold)| {
        let priority = threshold.lowest_admitted;
        let service = state.catalog().services().get(name);
        let classes = service.into_iter().flat_map(|service| service.classes());
        let class = classes.into_iter().find(|class| class.priority == priority);
        let class =
            class.map_or_else(|| format!("priority {priority}"), |class| class.name.to_string());
        format!("{name}: {class}")
    });
    let named: Vec<String> = named.collect();
    if named.is_empty() { UNKNOWN.to_owned() } else { named.join(", ") }
}

/// The accepted revision and the one in force on all brokers, with one row per lagging broker.
pub fn revision(state: &ClusterState) -> StatementReply {
    let accepted = state.catalog().revision();
    let everywhere = state.members().in_force_everywhere(accepted);
    let row = |broker: &str, in_force: String, control: &str| {
        vec![
            accepted.to_string(),
            everywhere.to_string(),
            broker.to_owned(),
            in_force,
            control.to_owned(),
        ]
    };
    let lagging = state.members().lagging(accepted);
    let mut rows: Vec<_> = lagging
        .map(|(name, broker)| {
            row(name.as_str(), broker.in_force.to_string(), broker.control.as_str())
        })
        .collect();
    if rows.is_empty() {
        rows.push(row(UNKNOWN, UNKNOWN.to_owned(), UNKNOWN));
    }
    let columns = ["accepted", "in force everywhere", "lagging broker", "has in force", "control"];
    table(&columns, rows)
}

/// One row per recently accepted change, newest first.
pub fn changes(state: &ClusterState) -> StatementReply {
    let rows = state.history().newest_first().take(CHANGES_SHOWN).map(|accepted| {
        vec![
            accepted.revision.to_string(),
            accepted.at.0.to_string(),
            accepted.session.to_string(),
            Statement::change(accepted.change.clone()).to_string(),
        ]
    });
    table(&["revision", "ms since 1970", "session", "change"], rows.collect())
}
