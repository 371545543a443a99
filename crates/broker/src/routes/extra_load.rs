//! Budget of extra requests (hedges and retries) of one service, with totals since the start.

use std::time::Duration;

use gingerkeel_domain::forwarding::{ExtraLoadBudget, ExtraLoadShare};
use gingerkeel_domain::time::Timestamp;

/// Requests of a service since the process began.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct ExtraLoadTotals {
    /// Requests that were sent to one leaf, or were to be.
    pub(super) first: u64,
    /// Hedges and retries, and requests that arrived at another service's leaf.
    pub(super) extra: u64,
    /// Hedges and retries that were not sent for want of room.
    pub(super) refused: u64,
}

/// The extra requests of one service.
#[derive(Debug, Default)]
pub(super) struct ExtraLoad {
    budget: ExtraLoadBudget,
    totals: ExtraLoadTotals,
    /// When the spent budget was last reported.
    last_reported: Option<Timestamp>,
}

impl ExtraLoad {
    /// Counts the first attempt of a request, which adds to the budget.
    pub(super) fn earn(&mut self, share: &ExtraLoadShare, now: Timestamp) {
        self.totals.first += 1;
        self.budget.earn(share, now);
    }

    /// Counts a request that was not known to be an extra one when it was sent.
    pub(super) fn cover(&mut self, share: &ExtraLoadShare, now: Timestamp) {
        self.totals.extra += 1;
        self.budget.cover(share, now);
    }

    /// Takes one extra request out of the budget; false if there is no room.
    pub(super) fn take(&mut self, share: &ExtraLoadShare, now: Timestamp) -> bool {
        let taken = self.budget.take(share, now);
        let counter = if taken { &mut self.totals.extra } else { &mut self.totals.refused };
        *counter += 1;
        taken
    }

    /// The totals, unless a spent budget was already reported within `interval`.
    pub(super) fn report_spent(
        &mut self,
        now: Timestamp,
        interval: Duration,
    ) -> Option<ExtraLoadTotals> {
        if self.last_reported.is_some_and(|last_reported| now.since(last_reported) < interval) {
            return None;
        }
        self.last_reported = Some(now);
        Some(self.totals)
    }
}

#[cfg(test)]
mod tests;
