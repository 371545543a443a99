//! Extra requests of one service: the budget, and what it was used for so far.

use std::time::Duration;

use gingerkeel_domain::forwarding::{ExtraLoadBudget, ExtraLoadSettings, SlackShare};
use gingerkeel_domain::identifiers::ServiceName;
use gingerkeel_domain::time::Timestamp;
use tracing::info;

/// The brokers that share the slack, as this one knows them, and itself.
#[derive(Debug, Clone, Copy)]
pub(super) struct SlackHolder {
    /// How many share it; 0 while that is not known.
    pub(super) brokers: usize,
    /// How long this process has run.
    pub(super) age: Duration,
}

/// Requests of a service since the process began.
#[derive(Debug, Default)]
struct Totals {
    first: u64,
    extra: u64,
    refused: u64,
}

/// The extra requests of one service.
#[derive(Debug, Default)]
pub(super) struct ExtraLoad {
    budget: ExtraLoadBudget,
    totals: Totals,
    /// When it was last logged that the budget is spent.
    logged: Option<Timestamp>,
}

impl ExtraLoad {
    /// A request for the service begins: it may be sent to one leaf.
    pub(super) fn earn(&mut self, settings: &ExtraLoadSettings, now: Timestamp) {
        self.totals.first += 1;
        self.budget.earn(settings, now);
    }

    /// Counts a request that was not known to be an extra one when it was sent.
    pub(super) fn cover(&mut self, settings: &ExtraLoadSettings, now: Timestamp) {
        self.totals.extra += 1;
        self.budget.cover(settings, now);
    }

    /// Takes one extra request; false when there is no room.
    pub(super) fn take(
        &mut self,
        settings: &ExtraLoadSettings,
        now: Timestamp,
        service: &ServiceName,
        holder: SlackHolder,
    ) -> bool {
        let slack = SlackShare::of(settings, holder.brokers, holder.age);
        let taken = self.budget.take(settings, now, slack);
        if taken {
            self.totals.extra += 1;
        } else {
            self.totals.refused += 1;
            self.log_spent(settings, now, service, holder);
        }
        taken
    }

    /// Tells once a window that the budget is spent. The totals of all brokers, and their difference from one line to
    /// the next, tell whose requests added up to too many.
    fn log_spent(
        &mut self,
        settings: &ExtraLoadSettings,
        now: Timestamp,
        service: &ServiceName,
        holder: SlackHolder,
    ) {
        if self.logged.is_some_and(|logged| now.since(logged) < settings.window) {
            return;
        }
        self.logged = Some(now);
        let Totals { first, extra, refused } = self.totals;
        let (brokers, age_ms) = (holder.brokers, holder.age.as_millis() as u64);
        info!(event = "extra_load_spent", %service, first, extra, refused, brokers, age_ms);
    }
}

#[cfg(test)]
mod tests;
