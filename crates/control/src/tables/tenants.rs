//! Table of tenants.

use gingerkeel_domain::routes::{RouteState, Tenant, TenantQuota};
use gingerkeel_statement::StatementReply;

use super::routes::regions;
use super::table;

/// Tenants of the configuration accepted, a row each. Of keys it tells how many there are.
pub fn tenants(state: &RouteState) -> StatementReply {
    let accepted = state.current();
    let version = state.version().0;
    let tenants = accepted.map(|accepted| &accepted.configuration.tenants[..]).unwrap_or_default();
    let rows = tenants.iter().map(|tenant| row(tenant, version)).collect();
    let columns =
        ["tenant", "keys", "priority", "requests a second", "burst", "regions", "version"];
    table(&columns, rows)
}

fn row(tenant: &Tenant, version: u64) -> Vec<String> {
    let [rate, burst] = quota(tenant.quota);
    vec![
        tenant.name.to_string(),
        tenant.keys.len().to_string(),
        tenant.priority.map_or_else(|| "of the route".to_owned(), |priority| priority.to_string()),
        rate,
        burst,
        regions(&tenant.allowed_regions),
        version.to_string(),
    ]
}

fn quota(quota: TenantQuota) -> [String; 2] {
    match quota.is_limited() {
        true => [quota.per_second().to_string(), quota.burst().to_string()],
        false => ["unlimited".to_owned(), String::new()],
    }
}
