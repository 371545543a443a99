//! Table of tenants.

use gingerkeel_domain::quota::TenantLevel;
use gingerkeel_domain::routes::{RouteState, Tenant, TenantQuota};
use gingerkeel_statement::StatementReply;

use super::routes::regions;
use super::{QuotaLevels, table};

/// Thousandths per unit.
const THOUSAND: f64 = 1_000.0;

/// One row per tenant of the accepted configuration. Shows only the number of keys; the quota level
/// is the one that this process last sent to its brokers.
pub fn tenants(state: &RouteState, quota_levels: QuotaLevels<'_>) -> StatementReply {
    let accepted = state.current();
    let version = state.version().0;
    let tenants = accepted.map(|accepted| &accepted.configuration.tenants[..]).unwrap_or_default();
    let rows = tenants.iter().map(|tenant| row(tenant, quota_levels, version)).collect();
    let columns = [
        "tenant",
        "keys",
        "priority",
        "requests a second",
        "burst",
        "regions",
        "version",
        "left",
        "arrivals a second",
    ];
    table(&columns, rows)
}

fn row(tenant: &Tenant, quota_levels: QuotaLevels<'_>, version: u64) -> Vec<String> {
    let [rate, burst] = quota_columns(tenant.quota);
    let [left, arrivals] =
        quota_levels(&tenant.name).map(|level| level_columns(&level)).unwrap_or_default();
    vec![
        tenant.name.to_string(),
        tenant.keys.len().to_string(),
        tenant.priority.map_or_else(|| "of the route".to_owned(), |priority| priority.to_string()),
        rate,
        burst,
        regions(&tenant.allowed_regions),
        version.to_string(),
        left,
        arrivals,
    ]
}

/// Requests left in the quota, negative for a debt, and arrivals per second at all brokers.
fn level_columns(level: &TenantLevel) -> [String; 2] {
    let left = level.level_thousandths as f64 / THOUSAND;
    let arrivals = level.arrivals_per_1000_s as f64 / THOUSAND;
    [format!("{left:.1}"), format!("{arrivals:.1}")]
}

fn quota_columns(quota: TenantQuota) -> [String; 2] {
    match quota.is_limited() {
        true => [quota.per_second().to_string(), quota.burst().to_string()],
        false => ["unlimited".to_owned(), String::new()],
    }
}
