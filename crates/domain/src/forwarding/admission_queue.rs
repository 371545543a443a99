//! Queue of requests that wait for admission.
//!
//! Higher priority goes first. Within a priority, requests that can still be answered in time go
//! before late ones, tenants within their share before the others, and then the newest first: under
//! overload, oldest-first order would make all of them late. Late requests get what capacity is
//! left over, the oldest first.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use super::tenant_shares::{SharingTenant, TenantShares};
use crate::time::Timestamp;

/// Identifies a queued request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct TicketNumber(pub u64);

/// A request that asks for admission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// Priority rank; 0 is the highest.
    pub rank: u32,
    /// The request can be answered in time if it starts before this moment.
    pub in_time_until: Timestamp,
    /// The request is given up if it has not started by this moment.
    pub give_up_at: Timestamp,
    /// Tenant of the request, if known.
    pub tenant: Option<SharingTenant>,
}

/// Sort key; the least one is next.
type Order = (u32, bool, bool, Reverse<TicketNumber>, TicketNumber);

/// Queued requests, with the tenant shares that order them.
#[derive(Debug, Default)]
pub struct AdmissionQueue {
    next: u64,
    waiting: BTreeMap<TicketNumber, Candidate>,
    shares: TenantShares,
}

impl AdmissionQueue {
    /// Counts an arriving request for the tenant shares, whether it will be queued or not.
    pub fn record_arrival(&mut self, now: Timestamp, candidate: &Candidate) {
        self.shares.arrived(now, candidate.rank, candidate.tenant);
    }

    /// Counts a starting request for the tenant shares, whether it was queued or not.
    pub fn record_start(&mut self, candidate: &Candidate) {
        self.shares.begun(candidate.rank);
    }

    /// Whether the tenant of a request is known and asks for no more than its share of what its
    /// priority gets.
    pub fn is_within_share(&self, candidate: &Candidate) -> bool {
        candidate.tenant.is_some() && !self.shares.is_beyond(candidate.rank, candidate.tenant)
    }

    /// Adds a request and returns its ticket.
    pub fn join(&mut self, candidate: Candidate) -> TicketNumber {
        let ticket = TicketNumber(self.next);
        self.next += 1;
        self.waiting.insert(ticket, candidate);
        ticket
    }

    /// Removes a request; returns whether it was still queued.
    pub fn leave(&mut self, ticket: TicketNumber) -> bool {
        self.waiting.remove(&ticket).is_some()
    }

    /// Number of queued requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Number of queued requests that are served before one that arrives now, or along with it:
    /// those of higher priority, and those of its own priority that can still be in time, except
    /// for tenants beyond their share if its own is within.
    pub fn ahead(&self, now: Timestamp, newcomer: &Candidate) -> usize {
        let goes_first = self.is_within_share(newcomer);
        let is_served_first = |waiting: &Candidate| {
            now < waiting.in_time_until && (!goes_first || self.is_within_share(waiting))
        };
        let ahead = |waiting: &&Candidate| {
            waiting.rank < newcomer.rank
                || waiting.rank == newcomer.rank && is_served_first(waiting)
        };
        self.waiting.values().filter(ahead).count()
    }

    /// Removes and returns the late requests that would be given up before they start, when
    /// `late_per_second` late requests are served.
    pub fn take_unservable(&mut self, now: Timestamp, late_per_second: f64) -> Vec<TicketNumber> {
        let is_late = |(_, candidate): &(&TicketNumber, &Candidate)| now >= candidate.in_time_until;
        let mut late: Vec<_> = self.waiting.iter().filter(is_late).collect();
        late.sort_by_key(|waiting| self.order(now, *waiting));
        let mut kept = 0.0;
        let mut unservable = Vec::new();
        for (ticket, candidate) in late {
            let left = candidate.give_up_at.since(now).as_secs_f64();
            if (kept + 1.0) / late_per_second.max(f64::EPSILON) > left {
                unservable.push(*ticket);
            } else {
                kept += 1.0;
            }
        }
        unservable.iter().for_each(|ticket| {
            self.waiting.remove(ticket);
        });
        unservable
    }

    /// Removes and returns the next request among those whose rank may start.
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
        let beyond_share = !self.is_within_share(candidate);
        (candidate.rank, late, beyond_share, Reverse(newest), *ticket)
    }
}
