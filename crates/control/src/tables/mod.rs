//! Tables that answer operators' `SHOW` statements.

mod catalog;
mod cluster;
mod refused_requests;
mod rollouts;
mod routes;
mod tenants;
mod zones;

pub use zones::named as named_zones;

use gingerkeel_domain::cluster::ClusterState;
use gingerkeel_domain::identifiers::TenantName;
use gingerkeel_domain::quota::TenantLevel;
use gingerkeel_statement::{StatementReply, Subject};

/// Looks up a tenant's quota level; `None` while the quota is far from used up.
pub type QuotaLevels<'state> = &'state dyn Fn(&TenantName) -> Option<TenantLevel>;

/// Renders the table of a subject.
pub fn show(
    state: &ClusterState,
    quota_levels: QuotaLevels<'_>,
    subject: &Subject,
) -> StatementReply {
    match subject {
        Subject::Services => catalog::services(state.catalog()),
        Subject::Classes(service) => catalog::classes(state.catalog(), service.as_ref()),
        Subject::Leaves => catalog::leaves(state.catalog(), state.leaf_hints()),
        Subject::Callers => catalog::callers(state.catalog()),
        Subject::Shards(service) => catalog::shards(state.catalog(), service.as_ref()),
        Subject::Versions(service) => catalog::versions(state.catalog(), service.as_ref()),
        Subject::Brokers => cluster::brokers(state),
        Subject::Controls => cluster::controls(state),
        Subject::Charges(caller) => cluster::charges(state, caller.as_ref()),
        Subject::Status => cluster::status(state),
        Subject::Revision => cluster::revision(state),
        Subject::Changes => cluster::changes(state),
        Subject::Routes => routes::routes(state.routes()),
        Subject::Tenants => tenants::tenants(state.routes(), quota_levels),
        Subject::Directory => routes::directory(state.directory()),
        Subject::Zones => zones::zones(state),
        Subject::Rollouts => rollouts::rollouts(state),
        Subject::RefusedRequests => refused_requests::refused_requests(state),
    }
}

fn table(columns: &[&str], rows: Vec<Vec<String>>) -> StatementReply {
    let columns = columns.iter().map(|column| (*column).to_owned()).collect();
    StatementReply::Table { columns, rows }
}
