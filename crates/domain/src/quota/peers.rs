//! The totals of other control processes, and what this one tells them of its own.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::usage::{PeerUsage, TenantTotal};
use crate::identifiers::TenantName;
use crate::time::Timestamp;

/// Time from the first word of a control process in which totals of tenants that it had not told of are
/// taken as of before: it may have run for long, and tells all its totals within a second.
const FIRST_TOTALS: Duration = Duration::from_millis(1_500);
/// Messages in which all totals are told once: a second of them, so that a control process that has just
/// come, or missed some, soon has all.
const MESSAGES_OF_ALL: usize = 10;
/// Most totals of a message: 20 KB to each of seven others, ten times a second, at most. Totals grow, so that
/// what waits for a later message is not lost.
const MOST_TOTALS: usize = 1_000;

/// Requests of a tenant, all in all.
#[derive(Debug, Clone, Copy, Default)]
struct Total {
    arrived: u64,
    admitted: u64,
}

/// Requests by which a total has grown.
#[derive(Debug, Clone, Copy)]
pub(super) struct Growth {
    pub(super) arrived: f64,
    pub(super) admitted: f64,
}

/// The totals that another control process told.
#[derive(Debug)]
pub(super) struct PeerTotals {
    run: u64,
    /// When its first word came, unless this process saw its run begin.
    first: Option<Timestamp>,
    totals: BTreeMap<TenantName, Total>,
}

impl PeerTotals {
    /// A process that was not heard before; it may have run for long.
    pub(super) fn new(now: Timestamp, run: u64) -> Self {
        Self { run, first: Some(now), totals: BTreeMap::new() }
    }

    /// It is in this run now: totals of another one start at nothing.
    pub(super) fn enter(&mut self, run: u64) {
        if self.run != run {
            *self = Self { run, first: None, totals: BTreeMap::new() };
        }
    }

    /// By how much the total has grown. Messages that overtook each other make it grow once.
    pub(super) fn grow(&mut self, now: Timestamp, told: &TenantTotal) -> Growth {
        let told_total = Total { arrived: told.arrived, admitted: told.admitted };
        let young = self.first.is_some_and(|first| now.since(first) < FIRST_TOTALS);
        let unknown = if young { told_total } else { Total::default() };
        let known = self.totals.entry(told.tenant.clone()).or_insert(unknown);
        let grown = Growth {
            arrived: told.arrived.saturating_sub(known.arrived) as f64,
            admitted: told.admitted.saturating_sub(known.admitted) as f64,
        };
        known.arrived = known.arrived.max(told.arrived);
        known.admitted = known.admitted.max(told.admitted);
        grown
    }
}

/// What this process counted of a tenant.
#[derive(Debug, Clone, Copy, Default)]
struct Counted {
    arrived: u64,
    /// What was admitted, with what silent brokers are presumed to have admitted. It falls when one of them
    /// turns out to have admitted less.
    admitted: f64,
    /// The most that was told of it: totals only grow.
    told: u64,
}

/// Totals of the brokers that this process feeds.
#[derive(Debug)]
pub(super) struct OwnTotals {
    run: u64,
    totals: BTreeMap<TenantName, Counted>,
    changed: BTreeSet<TenantName>,
    /// The last tenant that was told in turn.
    told_last: Option<TenantName>,
}

impl OwnTotals {
    pub(super) fn new(run: u64) -> Self {
        Self { run, totals: BTreeMap::new(), changed: BTreeSet::new(), told_last: None }
    }

    /// Counts requests; `admitted` is negative where too much had been presumed.
    pub(super) fn add(&mut self, tenant: &TenantName, arrived: u32, admitted: f64) {
        let counted = self.totals.entry(tenant.clone()).or_default();
        counted.arrived += u64::from(arrived);
        counted.admitted += admitted;
        counted.told = counted.told.max(counted.admitted as u64);
        self.changed.insert(tenant.clone());
    }

    /// The next message: what has changed, and a part of all in turn.
    pub(super) fn message(&mut self) -> PeerUsage {
        let changed = self.take_changed();
        let mut told: BTreeSet<TenantName> = changed.into_iter().collect();
        told.extend(self.next_in_turn());
        let total = |tenant: TenantName| {
            let counted = self.totals.get(&tenant).copied().unwrap_or_default();
            TenantTotal { tenant, arrived: counted.arrived, admitted: counted.told }
        };
        PeerUsage { run: self.run, totals: told.into_iter().map(total).collect() }
    }

    fn take_changed(&mut self) -> Vec<TenantName> {
        let changed: Vec<TenantName> = self.changed.iter().take(MOST_TOTALS).cloned().collect();
        changed.iter().for_each(|tenant| {
            self.changed.remove(tenant);
        });
        changed
    }

    fn next_in_turn(&mut self) -> Vec<TenantName> {
        let count = self.totals.len().div_ceil(MESSAGES_OF_ALL).min(MOST_TOTALS);
        let after = |tenant: &&TenantName| match &self.told_last {
            Some(last) => *tenant > last,
            None => true,
        };
        let tenants = self.totals.keys();
        let next: Vec<TenantName> = tenants.filter(after).take(count).cloned().collect();
        self.told_last = if next.len() < count { None } else { next.last().cloned() };
        next
    }
}
