//! Request counts of a broker that control has not acknowledged yet.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::usage::{TenantUse, UsageReport};
use crate::identifiers::TenantName;
use crate::time::Timestamp;

/// Interval of empty reports (heartbeats) of an idle broker, so that control can detect a broker
/// that is partitioned or suspended.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Longest period whose arrivals are reported. Control takes reported arrivals for the current
/// load: those of a whole link outage would look like many times the load, and requests within the
/// quota would be refused.
const MAX_ARRIVAL_SPAN: Duration = Duration::from_millis(300);

/// Length of one slot of a count, the granularity at which expired requests are dropped.
const SLOT: Duration = Duration::from_secs(1);

/// Requests of one tenant in one time slot.
#[derive(Debug, Clone, Copy)]
struct Slot {
    began: Timestamp,
    arrived: u32,
    admitted: u32,
}

/// Requests of one tenant that are not reported yet, oldest slot first.
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

    /// Drops slots older than `life`. Returns the number of admitted requests in them.
    fn drop_old(&mut self, now: Timestamp, life: Duration) -> u32 {
        let mut dropped = 0;
        while let Some(slot) = self.slots.front().filter(|slot| now.since(slot.began) > life) {
            dropped += slot.admitted;
            self.slots.pop_front();
        }
        dropped
    }

    /// The entry to report. Arrivals of a longer period are scaled down to [`MAX_ARRIVAL_SPAN`].
    fn as_use(&self, now: Timestamp, tenant: TenantName) -> TenantUse {
        let arrived: u32 = self.slots.iter().map(|slot| slot.arrived).sum();
        let admitted = self.slots.iter().map(|slot| slot.admitted).sum();
        let began = self.slots.front().map_or(now, |slot| slot.began);
        let counted = now.since(began).max(MAX_ARRIVAL_SPAN);
        let part = MAX_ARRIVAL_SPAN.as_secs_f64() / counted.as_secs_f64();
        let arrived = (f64::from(arrived) * part).ceil() as u32;
        TenantUse { tenant, arrived, admitted }
    }
}

/// Counts to report, and reports in flight.
#[derive(Debug)]
pub(super) struct Counts {
    /// Time after which an unreported request is dropped.
    life: Duration,
    fresh: BTreeMap<TenantName, Count>,
    in_flight: VecDeque<(Timestamp, UsageReport)>,
    sequence: u64,
    reported: Option<Timestamp>,
}

impl Counts {
    /// No counts yet; unreported requests expire after `life`.
    pub(super) fn new(life: Duration) -> Self {
        Self {
            life,
            fresh: BTreeMap::new(),
            in_flight: VecDeque::new(),
            sequence: 0,
            reported: None,
        }
    }

    /// Counts a request. Returns the number of admitted requests that expired unreported.
    pub(super) fn count(&mut self, now: Timestamp, tenant: &TenantName, admitted: bool) -> u32 {
        let count = self.fresh.entry(tenant.clone()).or_default();
        count.add(now, 1, u32::from(admitted));
        count.drop_old(now, self.life)
    }

    /// Removes one admitted request from the counts. Returns false if all are already reported.
    pub(super) fn give_back(&mut self, tenant: &TenantName) -> bool {
        let slots = self.fresh.get_mut(tenant).map(|count| count.slots.iter_mut().rev());
        let slot = slots.and_then(|mut slots| slots.find(|slot| slot.admitted > 0));
        if let Some(slot) = slot {
            slot.admitted -= 1;
            return true;
        }
        false
    }

    /// The report that is due now, if any.
    pub(super) fn report(&mut self, now: Timestamp) -> Option<UsageReport> {
        let quiet = self.reported.is_some_and(|at| now.since(at) < HEARTBEAT_INTERVAL);
        if self.fresh.is_empty() && quiet {
            return None;
        }
        self.reported = Some(now);
        self.sequence += 1;
        let fresh = std::mem::take(&mut self.fresh).into_iter();
        let uses = fresh.map(|(tenant, count)| count.as_use(now, tenant));
        let report = UsageReport { sequence: self.sequence, uses: uses.collect() };
        self.in_flight.push_back((now, report.clone()));
        Some(report)
    }

    /// Time since the oldest unacknowledged report was sent.
    pub(super) fn unacknowledged_for(&self, now: Timestamp) -> Duration {
        self.in_flight.front().map_or(Duration::ZERO, |(sent, _)| now.since(*sent))
    }

    /// Drops the reports up to sequence `heard`. Returns their entries.
    pub(super) fn acknowledge(&mut self, heard: u64) -> Vec<TenantUse> {
        let mut acknowledged = Vec::new();
        while self.in_flight.front().is_some_and(|(_, report)| report.sequence <= heard) {
            let report = self.in_flight.pop_front();
            acknowledged.extend(report.into_iter().flat_map(|(_, report)| report.uses));
        }
        acknowledged
    }

    /// Queues the reports in flight, which may be lost, to be reported again. Returns the entries
    /// of those that have expired.
    pub(super) fn take_back(&mut self, now: Timestamp) -> Vec<TenantUse> {
        self.reported = None;
        let mut dropped = Vec::new();
        let mut later = std::mem::take(&mut self.fresh);
        for (sent, report) in std::mem::take(&mut self.in_flight) {
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
