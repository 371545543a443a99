//! Tenants' usage that is still to be sent to one peer.

use std::collections::BTreeMap;

use gingerkeel_domain::identifiers::TenantName;
use gingerkeel_domain::quota::{PeerUsage, TenantTotal};

/// The newest totals that wait for a peer. A newer total of a tenant replaces the older one, so the
/// size is bounded by the number of tenants, however long the peer is unreachable.
#[derive(Debug, Default)]
pub struct UsageOutbox {
    is_pending: bool,
    run: u64,
    totals: BTreeMap<TenantName, TenantTotal>,
}

impl UsageOutbox {
    /// Adds totals to send. True if the outbox was empty, so that the link must be woken.
    pub fn merge(&mut self, usage: &PeerUsage) -> bool {
        self.run = usage.run;
        for total in &usage.totals {
            self.totals.insert(total.tenant.clone(), total.clone());
        }
        !std::mem::replace(&mut self.is_pending, true)
    }

    /// Takes all waiting totals; none if there is nothing to send.
    pub fn take(&mut self) -> Option<PeerUsage> {
        if !std::mem::take(&mut self.is_pending) {
            return None;
        }
        let totals = std::mem::take(&mut self.totals).into_values().collect();
        Some(PeerUsage { run: self.run, totals })
    }
}

#[cfg(test)]
mod tests;
