//! Totals exchanged between control processes.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::usage::{PeerUsage, TenantTotal};
use crate::identifiers::TenantName;
use crate::time::Timestamp;

/// Time from the first message of a control process in which the first total of a tenant is taken
/// as a baseline: the process may have run for long, and sends all its totals within a second.
const INITIAL_TOTALS_SPAN: Duration = Duration::from_millis(1_500);
/// Messages in which every total is sent at least once: one second of messages, so that a control
/// process that has just joined or missed some soon has all of them.
const FULL_CYCLE_MESSAGES: usize = 10;
/// Maximum totals per message: at most 20 KB to each of seven peers, ten times per second. Totals
/// are cumulative, so nothing is lost when one is deferred to a later message.
const MAX_TOTALS: usize = 1_000;

/// Cumulative requests of a tenant.
#[derive(Debug, Clone, Copy, Default)]
struct Total {
    arrived: u64,
    admitted: u64,
}

/// Increase of a total.
#[derive(Debug, Clone, Copy)]
pub(super) struct Growth {
    pub(super) arrived: f64,
    pub(super) admitted: f64,
}

/// Totals received from another control process.
#[derive(Debug)]
pub(super) struct PeerTotals {
    run: u64,
    /// When its first message arrived; none if this process saw its run begin.
    first: Option<Timestamp>,
    totals: BTreeMap<TenantName, Total>,
}

impl PeerTotals {
    /// A process without earlier messages, which may have run for long.
    pub(super) fn new(now: Timestamp, run: u64) -> Self {
        Self { run, first: Some(now), totals: BTreeMap::new() }
    }

    /// Notes the current run of the process; the totals of a new run start at zero.
    pub(super) fn enter(&mut self, run: u64) {
        if self.run != run {
            *self = Self { run, first: None, totals: BTreeMap::new() };
        }
    }

    /// Increase of a total since its largest known value, so that reordered messages count once.
    pub(super) fn grow(&mut self, now: Timestamp, received: &TenantTotal) -> Growth {
        let received_total = Total { arrived: received.arrived, admitted: received.admitted };
        let young = self.first.is_some_and(|first| now.since(first) < INITIAL_TOTALS_SPAN);
        let unknown = if young { received_total } else { Total::default() };
        let known = self.totals.entry(received.tenant.clone()).or_insert(unknown);
        let grown = Growth {
            arrived: received.arrived.saturating_sub(known.arrived) as f64,
            admitted: received.admitted.saturating_sub(known.admitted) as f64,
        };
        known.arrived = known.arrived.max(received.arrived);
        known.admitted = known.admitted.max(received.admitted);
        grown
    }
}

/// Own counts of a tenant.
#[derive(Debug, Clone, Copy, Default)]
struct Counted {
    arrived: u64,
    /// Admitted requests, including presumed ones of silent brokers. Falls when such a broker turns
    /// out to have admitted less.
    admitted: f64,
    /// Largest admitted total, which is the value sent: totals must not decrease.
    sent: u64,
}

/// Totals of the brokers that this process feeds.
#[derive(Debug)]
pub(super) struct OwnTotals {
    run: u64,
    totals: BTreeMap<TenantName, Counted>,
    changed: BTreeSet<TenantName>,
    /// The last tenant sent by the rotation over all tenants.
    last_rotated: Option<TenantName>,
}

impl OwnTotals {
    pub(super) fn new(run: u64) -> Self {
        Self { run, totals: BTreeMap::new(), changed: BTreeSet::new(), last_rotated: None }
    }

    /// Counts requests; `admitted` is negative to correct a presumption that was too high.
    pub(super) fn add(&mut self, tenant: &TenantName, arrived: u32, admitted: f64) {
        let counted = self.totals.entry(tenant.clone()).or_default();
        counted.arrived += u64::from(arrived);
        counted.admitted += admitted;
        counted.sent = counted.sent.max(counted.admitted as u64);
        self.changed.insert(tenant.clone());
    }

    /// The next message: changed totals, and a part of all totals in rotation.
    pub(super) fn message(&mut self) -> PeerUsage {
        let changed = self.take_changed();
        let mut due: BTreeSet<TenantName> = changed.into_iter().collect();
        due.extend(self.next_in_turn());
        let total = |tenant: TenantName| {
            let counted = self.totals.get(&tenant).copied().unwrap_or_default();
            TenantTotal { tenant, arrived: counted.arrived, admitted: counted.sent }
        };
        PeerUsage { run: self.run, totals: due.into_iter().map(total).collect() }
    }

    fn take_changed(&mut self) -> Vec<TenantName> {
        let changed: Vec<TenantName> = self.changed.iter().take(MAX_TOTALS).cloned().collect();
        changed.iter().for_each(|tenant| {
            self.changed.remove(tenant);
        });
        changed
    }

    fn next_in_turn(&mut self) -> Vec<TenantName> {
        let count = self.totals.len().div_ceil(FULL_CYCLE_MESSAGES).min(MAX_TOTALS);
        let after = |tenant: &&TenantName| match &self.last_rotated {
            Some(last) => *tenant > last,
            None => true,
        };
        let tenants = self.totals.keys();
        let next: Vec<TenantName> = tenants.filter(after).take(count).cloned().collect();
        self.last_rotated = if next.len() < count { None } else { next.last().cloned() };
        next
    }
}
