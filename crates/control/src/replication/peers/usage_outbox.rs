//! What one peer was not sent yet of the use of quotas.

use std::collections::BTreeMap;

use gingerkeel_domain::identifiers::TenantName;
use gingerkeel_domain::quota::{PeerUsage, TenantTotal};

/// The newest totals that wait for a peer. Totals replace older ones of the same tenant, so that what
/// waits is bounded by the number of tenants however long the peer takes nothing.
#[derive(Debug, Default)]
pub struct UsageOutbox {
    waits: bool,
    run: u64,
    totals: BTreeMap<TenantName, TenantTotal>,
}

impl UsageOutbox {
    /// Adds what is to be told. True when nothing waited before.
    pub fn put(&mut self, usage: &PeerUsage) -> bool {
        self.run = usage.run;
        for total in &usage.totals {
            self.totals.insert(total.tenant.clone(), total.clone());
        }
        !std::mem::replace(&mut self.waits, true)
    }

    /// All that waits, if anything.
    pub fn take(&mut self) -> Option<PeerUsage> {
        if !std::mem::take(&mut self.waits) {
            return None;
        }
        let totals = std::mem::take(&mut self.totals).into_values().collect();
        Some(PeerUsage { run: self.run, totals })
    }
}

#[cfg(test)]
mod tests;
