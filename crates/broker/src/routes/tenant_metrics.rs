//! Metrics of tenants with quotas, with a bounded number of time series.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use super::quota::TenantCount;

/// Tenants with time series of their own; all others are counted together.
const NAMED_TENANTS: usize = 20;

/// Requests within the quota.
const ADMITTED: &str = "admitted";
/// Requests beyond the quota.
const OVER_QUOTA: &str = "over_quota";

/// Requests of a tenant.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct TenantLabels {
    tenant: String,
    outcome: &'static str,
}

/// Requests of all tenants that are not named.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OtherLabels {
    outcome: &'static str,
}

/// Requests of tenants with quotas. They are gauges because the set of named tenants changes.
#[derive(Default)]
pub struct TenantMetrics {
    named: Family<TenantLabels, Gauge>,
    others: Family<OtherLabels, Gauge>,
}

impl TenantMetrics {
    /// Registers the metrics.
    pub fn register(&self, registry: &mut Registry) {
        let help = "Requests since the start of the tenants that were refused most";
        registry.register("tenant_requests", help, self.named.clone());
        let help = "Requests since the start of all other tenants with a quota";
        registry.register("other_tenant_requests", help, self.others.clone());
    }

    /// Replaces the values; `counts` has the most refused tenants first.
    pub fn set(&self, counts: &[TenantCount]) {
        self.named.clear();
        let (named, others) = counts.split_at(counts.len().min(NAMED_TENANTS));
        for count in named {
            let tenant = count.tenant.to_string();
            self.set_named(
                TenantLabels { tenant: tenant.clone(), outcome: ADMITTED },
                count.admitted,
            );
            self.set_named(TenantLabels { tenant, outcome: OVER_QUOTA }, count.refused);
        }
        self.set_others(ADMITTED, others.iter().map(|count| count.admitted).sum());
        self.set_others(OVER_QUOTA, others.iter().map(|count| count.refused).sum());
    }

    fn set_named(&self, labels: TenantLabels, requests: u64) {
        self.named.get_or_create(&labels).set(requests as i64);
    }

    fn set_others(&self, outcome: &'static str, requests: u64) {
        self.others.get_or_create(&OtherLabels { outcome }).set(requests as i64);
    }
}

#[cfg(test)]
mod tests;
