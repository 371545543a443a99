//! Tenants that are currently limited at a broker, for operator logs.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::identifiers::TenantName;
use crate::time::Timestamp;

/// Time without a refusal after which a tenant is no longer limited. Bounds the log output for a
/// tenant that is refused occasionally to two lines per period.
const EPISODE_END_AFTER: Duration = Duration::from_secs(5);

/// Tenants with recent refusals.
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

/// A finished period in which a tenant was limited.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LimitEpisode {
    /// The limited tenant.
    pub tenant: TenantName,
    /// Requests refused during the episode.
    pub refused: u64,
    /// Time from the first to the last refusal.
    pub lasted: Duration,
}

impl LimitedTenants {
    /// Records a refused request. Returns true if this starts an episode.
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

    /// Removes and returns the episodes that have ended.
    pub fn take_ended(&mut self, now: Timestamp) -> Vec<LimitEpisode> {
        let is_over = |limited: &Limited| now.since(limited.last_refusal) >= EPISODE_END_AFTER;
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
