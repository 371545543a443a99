//! The order in which requests that wait for admission are served.
//!
//! Higher priority goes first. Among equals, those that can still be answered in time go before those
//! that cannot, tenants that ask for no more than their share before the others, and then the newest
//! first: while more come than can be served, the oldest first would make all of them late. Late ones get
//! what is left over, the oldest first.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use super::tenant_shares::{SharingTenant, TenantShares};
use crate::time::Timestamp;

/// Number of a request that waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct TicketNumber(pub u64);

/// A request that wants to be admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// Place of its priority: 0 is the highest.
    pub rank: u32,
    /// It is in time when it begins before this.
    pub in_time_until: Timestamp,
    /// It is given up when it has not begun by then.
    pub give_up_at: Timestamp,
    /// Whose it is, where that is known.
    pub tenant: Option<SharingTenant>,
}

/// The order among requests; the least one is next.
type Order = (u32, bool, bool, Reverse<TicketNumber>, TicketNumber);

/// Requests that wait.
#[derive(Debug, Default)]
pub struct AdmissionQueue {
    next: u64,
    waiting: BTreeMap<TicketNumber, Candidate>,
    shares: TenantShares,
}

impl AdmissionQueue {
    /// A request comes, whether it is to wait or not.
    pub fn record_arrival(&mut self, now: Timestamp, candidate: &Candidate) {
        self.shares.arrived(now, candidate.rank, candidate.tenant);
    }

    /// A request begins, whether it has waited or not.
    pub fn record_start(&mut self, candidate: &Candidate) {
        self.shares.begun(candidate.rank);
    }

    /// Whether a request goes before those that make the rush: its tenant is known and asks for no more than
    /// its share of what its priority gets.
    pub fn is_within_share(&self, candidate: &Candidate) -> bool {
        candidate.tenant.is_some() && !self.shares.is_beyond(candidate.rank, candidate.tenant)
    }

    /// A request joins.
    pub fn join(&mut self, candidate: Candidate) -> TicketNumber {
        let ticket = TicketNumber(self.next);
        self.next += 1;
        self.waiting.insert(ticket, candidate);
        ticket
    }

    /// A request leaves; false when it does not wait any more.
    pub fn leave(&mut self, ticket: TicketNumber) -> bool {
        self.waiting.remove(&ticket).is_some()
    }

    /// How many wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// How many are served before a request that comes now, or with it: those of higher priority, and of its
    /// own those that can still be in time, but for tenants that it goes before.
    pub fn ahead(&self, now: Timestamp, newcomer: &Candidate) -> usize {
        let goes_first = self.is_within_share(newcomer);
        let goes_along = |waiting: &Candidate| {
            now < waiting.in_time_until && (!goes_first || self.is_within_share(waiting))
        };
        let ahead = |waiting: &&Candidate| {
            waiting.rank < newcomer.rank || waiting.rank == newcomer.rank && goes_along(waiting)
        };
        self.waiting.values().filter(ahead).count()
    }

    /// Those that cannot be in time any more and would wait in vain, when so many of their kind are served
    /// in a second: they do not wait any more.
    pub fn take_unservable(&mut self, now: Timestamp, late_per_second: f64) -> Vec<TicketNumber> {
        let is_late = |(_, candidate): &(&TicketNumber, &Candidate)| now >= candidate.in_time_until;
        let mut late: Vec<_> = self.waiting.iter().filter(is_late).collect();
        late.sort_by_key(|waiting| self.order(now, *waiting));
        let mut kept = 0.0;
        let mut hopeless = Vec::new();
        for (ticket, candidate) in late {
            let left = candidate.give_up_at.since(now).as_secs_f64();
            if (kept + 1.0) / late_per_second.max(f64::EPSILON) > left {
                hopeless.push(*ticket);
            } else {
                kept += 1.0;
            }
        }
        hopeless.iter().for_each(|ticket| {
            self.waiting.remove(ticket);
        });
        hopeless
    }

    /// The next one of those whose rank may begin; it does not wait any more.
    pub fn take(
        &mut self,
        now: Timestamp,
        may_begin: impl Fn(u32) -> bool,
    ) -> Option<(TicketNumber, Candidate)> {
        let mut waiting = self.waiting.iter().filter(|(_, candidate)| may_begin(candidate.rank));
        let first = waiting.next()?;
        let best = waiting.fold(first, |best, other| {
            if self.order(now, other) < self.order(now, best) { other } else { best }
        });
        let ticket = *best.0;
        self.waiting.remove_entry(&ticket)
    }

    fn order(&self, now: Timestamp, (ticket, candidate): (&TicketNumber, &Candidate)) -> Order {
        let late = now >= candidate.in_time_until;
        let newest = if late { TicketNumber(0) } else { *ticket };
        let after_others = !self.is_within_share(candidate);
        (candidate.rank, late, after_others, Reverse(newest), *ticket)
    }
}
