//! What a broker counted and control has not acknowledged.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::usage::{TenantUse, UsageReport};
use crate::identifiers::TenantName;
use crate::time::Timestamp;

/// Time after which a broker reports though nothing came to it, so that a silent one is known to be cut off
/// or to stand still.
const SIGN_OF_LIFE: Duration = Duration::from_millis(500);

/// Longest time of which arrivals are reported. Control takes them for what comes now: those of the time without a
/// link would look like many times the load, and would have requests within the quota refused.
const ARRIVALS_OF: Duration = Duration::from_millis(300);

/// Requests of one tenant.
#[derive(Debug, Clone, Copy)]
struct Count {
    /// When the first of them came.
    since: Timestamp,
    arrived: u32,
    admitted: u32,
}

impl Count {
    /// Requests of the usual time between two reports or a little more, where these were counted for longer.
    fn recently_arrived(&self, now: Timestamp) -> u32 {
        let counted = now.since(self.since);
        if counted <= ARRIVALS_OF {
            return self.arrived;
        }
        let part = ARRIVALS_OF.as_secs_f64() / counted.as_secs_f64();
        (f64::from(self.arrived) * part).ceil() as u32
    }
}

/// Counts that are to be reported, and reports that are on their way.
#[derive(Debug)]
pub(super) struct Counts {
    /// Time after which a request that nobody heard of does not matter any more.
    life: Duration,
    fresh: BTreeMap<TenantName, Count>,
    on_the_way: VecDeque<(Timestamp, UsageReport)>,
    sequence: u64,
    reported: Option<Timestamp>,
}

impl Counts {
    /// Nothing counted; requests matter for `life`.
    pub(super) fn new(life: Duration) -> Self {
        Self {
            life,
            fresh: BTreeMap::new(),
            on_the_way: VecDeque::new(),
            sequence: 0,
            reported: None,
        }
    }

    /// Counts a request; gives how many admitted ones have become too old to be reported.
    pub(super) fn count(&mut self, now: Timestamp, tenant: &TenantName, admitted: bool) -> u32 {
        let fresh = Count { since: now, arrived: 0, admitted: 0 };
        let count = self.fresh.entry(tenant.clone()).or_insert(fresh);
        let mut dropped = 0;
        if now.since(count.since) > self.life {
            dropped = count.admitted;
            *count = fresh;
        }
        count.arrived += 1;
        count.admitted += u32::from(admitted);
        dropped
    }

    /// An admitted request does not count after all. False when it is reported already.
    pub(super) fn give_back(&mut self, tenant: &TenantName) -> bool {
        let count = self.fresh.get_mut(tenant).filter(|count| count.admitted > 0);
        if let Some(count) = count {
            count.admitted -= 1;
            return true;
        }
        false
    }

    /// The report that is due, if any.
    pub(super) fn report(&mut self, now: Timestamp) -> Option<UsageReport> {
        let quiet = self.reported.is_some_and(|at| now.since(at) < SIGN_OF_LIFE);
        if self.fresh.is_empty() && quiet {
            return None;
        }
        self.reported = Some(now);
        self.sequence += 1;
        let fresh = std::mem::take(&mut self.fresh).into_iter();
        let uses = fresh.map(|(tenant, count)| TenantUse {
            tenant,
            arrived: count.recently_arrived(now),
            admitted: count.admitted,
        });
        let report = UsageReport { sequence: self.sequence, uses: uses.collect() };
        self.on_the_way.push_back((now, report.clone()));
        Some(report)
    }

    /// Forgets the reports up to `heard`; gives what they told.
    pub(super) fn acknowledge(&mut self, heard: u64) -> Vec<TenantUse> {
        let mut told = Vec::new();
        while self.on_the_way.front().is_some_and(|(_, report)| report.sequence <= heard) {
            let report = self.on_the_way.pop_front();
            told.extend(report.into_iter().flat_map(|(_, report)| report.uses));
        }
        told
    }

    /// What is on its way may be lost: it is reported again, but for what is too old to matter, which is given.
    pub(super) fn take_back(&mut self, now: Timestamp) -> Vec<TenantUse> {
        self.reported = None;
        let mut dropped = Vec::new();
        for (since, report) in std::mem::take(&mut self.on_the_way) {
            if now.since(since) > self.life {
                dropped.extend(report.uses);
                continue;
            }
            report.uses.into_iter().for_each(|used| self.add(since, used));
        }
        dropped
    }

    fn add(&mut self, since: Timestamp, used: TenantUse) {
        let fresh = Count { since, arrived: 0, admitted: 0 };
        let count = self.fresh.entry(used.tenant).or_insert(fresh);
        count.since = count.since.min(since);
        count.arrived += used.arrived;
        count.admitted += used.admitted;
    }
}
