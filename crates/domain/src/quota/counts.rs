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

/// Time that one slot of a count spans: what is too old to matter is dropped in such steps.
const SLOT: Duration = Duration::from_secs(1);

/// Requests of one tenant in one slot of time.
#[derive(Debug, Clone, Copy)]
struct Slot {
    began: Timestamp,
    arrived: u32,
    admitted: u32,
}

/// Requests of one tenant that were not reported, the oldest slot first.
#[derive(Debug, Default)]
struct Count {
    slots: VecDeque<Slot>,
}

impl Count {
    fn add(&mut self, at: Timestamp, arrived: u32, admitted: u32) {
        let slot = self.slots.back_mut().filter(|slot| at.since(slot.began) < SLOT);
        match slot {
            Some(slot) => {
                slot.arrived += arrived;
                slot.admitted += admitted;
            }
            None => self.slots.push_back(Slot { began: at, arrived, admitted }),
        }
    }

    /// Drops what is older than `life`; gives how many admitted requests that were.
    fn drop_old(&mut self, now: Timestamp, life: Duration) -> u32 {
        let mut dropped = 0;
        while let Some(slot) = self.slots.front().filter(|slot| now.since(slot.began) > life) {
            dropped += slot.admitted;
            self.slots.pop_front();
        }
        dropped
    }

    /// What is reported. Of a time longer than usual, as many arrivals as in the usual one.
    fn as_use(&self, now: Timestamp, tenant: TenantName) -> TenantUse {
        let arrived: u32 = self.slots.iter().map(|slot| slot.arrived).sum();
        let admitted = self.slots.iter().map(|slot| slot.admitted).sum();
        let began = self.slots.front().map_or(now, |slot| slot.began);
        let counted = now.since(began).max(ARRIVALS_OF);
        let part = ARRIVALS_OF.as_secs_f64() / counted.as_secs_f64();
        let arrived = (f64::from(arrived) * part).ceil() as u32;
        TenantUse { tenant, arrived, admitted }
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
        let count = self.fresh.entry(tenant.clone()).or_default();
        count.add(now, 1, u32::from(admitted));
        count.drop_old(now, self.life)
    }

    /// An admitted request does not count after all. False when it is reported already.
    pub(super) fn give_back(&mut self, tenant: &TenantName) -> bool {
        let slots = self.fresh.get_mut(tenant).map(|count| count.slots.iter_mut().rev());
        let slot = slots.and_then(|mut slots| slots.find(|slot| slot.admitted > 0));
        if let Some(slot) = slot {
            slot.admitted -= 1;
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
        let uses = fresh.map(|(tenant, count)| count.as_use(now, tenant));
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
        let mut later = std::mem::take(&mut self.fresh);
        for (sent, report) in std::mem::take(&mut self.on_the_way) {
            if now.since(sent) > self.life {
                dropped.extend(report.uses);
                continue;
            }
            for used in report.uses {
                let count = self.fresh.entry(used.tenant).or_default();
                count.add(sent, used.arrived, used.admitted);
            }
        }
        for (tenant, count) in &mut later {
            let all = self.fresh.entry(tenant.clone()).or_default();
            all.slots.append(&mut count.slots);
        }
        dropped
    }
}
