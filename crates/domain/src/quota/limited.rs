//! Which tenants are limited at a broker, for its operators.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::identifiers::TenantName;
use crate::time::Timestamp;

/// Time without a refusal after which a tenant counts as not limited any more: it bounds what is logged of
/// a tenant that is refused now and then to two lines in as long.
const RELIEF_AFTER: Duration = Duration::from_secs(5);

/// The tenants that were refused lately.
#[derive(Debug, Default)]
pub struct LimitedTenants {
    tenants: BTreeMap<TenantName, Limited>,
}

#[derive(Debug)]
struct Limited {
    since: Timestamp,
    last_refusal: Timestamp,
    refused: u64,
}

/// A tenant is not limited any more.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LimitEpisode {
    /// The tenant.
    pub tenant: TenantName,
    /// Its requests that were refused meanwhile.
    pub refused: u64,
    /// From the first refusal to the last.
    pub lasted: Duration,
}

impl LimitedTenants {
    /// A request of a tenant is refused. True when the tenant was not limited before.
    pub fn record_refusal(&mut self, now: Timestamp, tenant: &TenantName) -> bool {
        if let Some(limited) = self.tenants.get_mut(tenant) {
            limited.last_refusal = now;
            limited.refused += 1;
            return false;
        }
        let limited = Limited { since: now, last_refusal: now, refused: 1 };
        self.tenants.insert(tenant.clone(), limited);
        true
    }

    /// The tenants that are not limited any more, each once.
    pub fn take_ended(&mut self, now: Timestamp) -> Vec<LimitEpisode> {
        let is_over = |limited: &Limited| now.since(limited.last_refusal) >= RELIEF_AFTER;
        let over: Vec<TenantName> = self
            .tenants
            .iter()
            .filter(|(_, limited)| is_over(limited))
            .map(|(tenant, _)| tenant.clone())
            .collect();
        over.into_iter().filter_map(|tenant| self.end(tenant)).collect()
    }

    fn end(&mut self, tenant: TenantName) -> Option<LimitEpisode> {
        let limited = self.tenants.remove(&tenant)?;
        let lasted = limited.last_refusal.since(limited.since);
        Some(LimitEpisode { tenant, refused: limited.refused, lasted })
    }
}
