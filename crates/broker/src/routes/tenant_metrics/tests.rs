//! The number of time series stays bounded with thousands of tenants.

use gingerkeel_domain::identifiers::TenantName;
use prometheus_client::encoding::text::encode;
use prometheus_client::registry::Registry;

use super::{NAMED_TENANTS, TenantCount, TenantMetrics};

fn counts(tenants: u64) -> Vec<TenantCount> {
    let count = |number| TenantCount {
        tenant: TenantName::new(format!("t{number}")),
        admitted: 10,
        refused: tenants - number,
    };
    (0..tenants).map(count).collect()
}

fn page(counts: &[TenantCount]) -> String {
    let (metrics, mut registry) = (TenantMetrics::default(), Registry::default());
    metrics.register(&mut registry);
    metrics.set(&[TenantCount { tenant: TenantName::new("before"), admitted: 1, refused: 1 }]);
    metrics.set(counts);
    let mut text = String::new();
    encode(&mut text, &registry).expect("a page");
    text
}

#[test]
fn the_most_refused_are_named_and_the_rest_is_summed() {
    let page = page(&counts(5_000));
    assert_eq!(page.matches("tenant=").count(), 2 * NAMED_TENANTS, "{page}");
    assert!(page.contains("tenant_requests{tenant=\"t0\",outcome=\"over_quota\"} 5000"), "{page}");
    assert!(page.contains("other_tenant_requests{outcome=\"admitted\"} 49800"), "{page}");
}

#[test]
fn a_tenant_that_is_gone_is_not_named_any_more() {
    let page = page(&counts(1));
    assert!(page.contains("tenant=\"t0\"") && !page.contains("before"), "{page}");
    assert!(page.contains("other_tenant_requests{outcome=\"over_quota\"} 0"), "{page}");
}
