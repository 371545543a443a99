//! Overload of all brokers of a service, folded into one threshold.
//!
//! Brokers never talk to each other: one that is asked for a low class may take the slots of
//! leaves that another needs for a higher one. The rules, whose reasons are in
//! `docs/design/admission.md`:
//!
//! - A class presses when a broker with every slot busy refuses a share of it. The highest class
//!   that presses anywhere becomes the lowest one admitted everywhere, at once.
//! - The threshold falls by one class after a time in which no admitted class but the lowest
//!   pressed and the brokers had room.
//! - It ends by itself when nobody reports.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{Threshold, Thresholds, WallTime};
use crate::admission::OverloadReport;
use crate::identifiers::{BrokerName, ServiceName};

/// When a threshold rises and falls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OverloadSettings {
    /// Refused share of a class, in hundredths, from which it presses.
    pub refused_percent: u64,
    /// Share of busy slots over all brokers, in hundredths, below which there is room.
    pub utilization_percent: u64,
    /// Time with room, without a class that presses, before the threshold falls by one class.
    pub step_down_after: Duration,
    /// Time for which a report counts.
    pub report_ttl: Duration,
    /// Time from the last report of a service to the end of its threshold.
    pub threshold_ttl: Duration,
}

impl Default for OverloadSettings {
    fn default() -> Self {
        Self {
            refused_percent: 5,
            utilization_percent: 70,
            step_down_after: Duration::from_secs(5),
            report_ttl: Duration::from_secs(3),
            threshold_ttl: Duration::from_secs(10),
        }
    }
}

/// What one broker reported of one service; `offered` and `refused` count since its report before.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BrokerOverload {
    /// The broker.
    pub broker: BrokerName,
    /// Its report.
    pub report: OverloadReport,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Received {
    at: WallTime,
    report: OverloadReport,
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
struct ServiceOverload {
    brokers: BTreeMap<BrokerName, Received>,
    room_since: Option<WallTime>,
}

/// The reports of all brokers.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OverloadAggregator {
    services: BTreeMap<ServiceName, ServiceOverload>,
}

impl OverloadAggregator {
    /// Takes a report in and sets the threshold of its service.
    pub fn report(
        &mut self,
        settings: &OverloadSettings,
        now: WallTime,
        reported: &BrokerOverload,
        thresholds: &mut Thresholds,
    ) {
        let name = &reported.report.service;
        let service = self.services.entry(name.clone()).or_default();
        let received = Received { at: now, report: reported.report.clone() };
        service.brokers.insert(reported.broker.clone(), received);
        let before = thresholds.of(name).map(|threshold| threshold.lowest_admitted);
        let lowest_admitted = service.fold(settings, now, before);
        let until = now.after(settings.threshold_ttl);
        let threshold = lowest_admitted.map(|lowest_admitted| Threshold { lowest_admitted, until });
        thresholds.set(name.clone(), threshold);
    }

    /// Forgets services that nobody reports on any more.
    pub fn expire(&mut self, settings: &OverloadSettings, now: WallTime) {
        let lives = |received: &Received| now.since(received.at) < settings.threshold_ttl;
        self.services.retain(|_, service| service.brokers.values().any(lives));
    }
}

impl ServiceOverload {
    /// The lowest class to admit now; none when all are.
    fn fold(
        &mut self,
        settings: &OverloadSettings,
        now: WallTime,
        before: Option<u8>,
    ) -> Option<u8> {
        self.brokers.retain(|_, received| now.since(received.at) < settings.report_ttl);
        let pressing = self.reports().filter_map(|report| pressing_class(settings, report)).min();
        if let Some(pressing) = pressing
            && before.is_none_or(|before| pressing <= before)
        {
            self.room_since = None;
            return self.unless_lowest(pressing);
        }
        let before = before?;
        if pressing.is_some() || !self.has_room(settings) {
            self.room_since = None;
            return Some(before);
        }
        let room_since = *self.room_since.get_or_insert(now);
        if now.since(room_since) < settings.step_down_after {
            return Some(before);
        }
        self.room_since = Some(now);
        let next = self.classes().filter(|priority| *priority > before).min();
        next.and_then(|next| self.unless_lowest(next))
    }

    fn reports(&self) -> impl Iterator<Item = &OverloadReport> {
        self.brokers.values().map(|received| &received.report)
    }

    fn classes(&self) -> impl Iterator<Item = u8> {
        self.reports().flat_map(|report| report.classes.iter().map(|class| class.priority))
    }

    /// A threshold at the lowest class shuts nothing out.
    fn unless_lowest(&self, priority: u8) -> Option<u8> {
        self.classes().any(|other| other > priority).then_some(priority)
    }

    fn has_room(&self, settings: &OverloadSettings) -> bool {
        let running: u64 = self.reports().map(|report| u64::from(report.running)).sum();
        let slots: u64 = self.reports().map(|report| u64::from(report.concurrency)).sum();
        running * 100 < slots * settings.utilization_percent
    }
}

/// The highest admitted class of which a broker without a free slot refuses a share.
fn pressing_class(settings: &OverloadSettings, report: &OverloadReport) -> Option<u8> {
    if report.running < report.concurrency {
        return None;
    }
    let admitted = report.classes.iter().filter(|class| class.priority <= report.lowest_admitted);
    let pressing = admitted.filter(|class| {
        class.refused > 0 && class.refused * 100 >= class.offered * settings.refused_percent
    });
    pressing.map(|class| class.priority).min()
}
