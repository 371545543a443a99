//! Load shedding: aggregates the overload reports of all brokers of a service into one threshold.
//!
//! Brokers do not communicate with each other, so one that serves a low class may occupy leaf
//! slots that another needs for a higher class. The rules, explained in
//! `docs/design/admission.md`:
//!
//! - A class is overloaded when a broker without a free slot refuses a share of its requests. The
//!   highest class that is overloaded at any broker becomes the lowest one admitted at all brokers,
//!   at once.
//! - The threshold steps down by one class after a period in which the brokers had spare capacity
//!   and no admitted class was overloaded, except the lowest one.
//! - The threshold expires when no broker reports any more.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{Threshold, Thresholds, WallTime};
use crate::admission::OverloadReport;
use crate::identifiers::{BrokerName, ServiceName};

/// Conditions under which a threshold rises, steps down and expires.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OverloadSettings {
    /// Refused percentage of a class's requests from which the class counts as overloaded.
    pub refused_percent: u64,
    /// Percentage of busy slots over all brokers below which there is spare capacity.
    pub utilization_percent: u64,
    /// Period of spare capacity without overload before the threshold steps down by one class.
    pub step_down_after: Duration,
    /// Time for which a broker's report is valid.
    pub report_ttl: Duration,
    /// Time from the last report of a service to the expiry of its threshold.
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

/// Overload report of one broker; `offered` and `refused` count since its previous report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BrokerOverload {
    /// The reporting broker.
    pub broker: BrokerName,
    /// Slots and classes of one service.
    pub report: OverloadReport,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct ReceivedReport {
    at: WallTime,
    report: OverloadReport,
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
struct ServiceOverload {
    brokers: BTreeMap<BrokerName, ReceivedReport>,
    headroom_since: Option<WallTime>,
}

/// Valid overload reports of all brokers, by service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OverloadAggregator {
    services: BTreeMap<ServiceName, ServiceOverload>,
}

impl OverloadAggregator {
    /// Records a report and updates the threshold of its service.
    pub fn report(
        &mut self,
        settings: &OverloadSettings,
        now: WallTime,
        reported: &BrokerOverload,
        thresholds: &mut Thresholds,
    ) {
        let name = &reported.report.service;
        let service = self.services.entry(name.clone()).or_default();
        let received = ReceivedReport { at: now, report: reported.report.clone() };
        service.brokers.insert(reported.broker.clone(), received);
        let before = thresholds.of(name).map(|threshold| threshold.lowest_admitted);
        let lowest_admitted = service.update(settings, now, before);
        let until = now.after(settings.threshold_ttl);
        let threshold = lowest_admitted.map(|lowest_admitted| Threshold { lowest_admitted, until });
        thresholds.set(name.clone(), threshold);
    }

    /// Drops services without a recent report.
    pub fn expire(&mut self, settings: &OverloadSettings, now: WallTime) {
        let lives = |received: &ReceivedReport| now.since(received.at) < settings.threshold_ttl;
        self.services.retain(|_, service| service.brokers.values().any(lives));
    }
}

impl ServiceOverload {
    /// Lowest class to admit from now on; `None` admits every class.
    fn update(
        &mut self,
        settings: &OverloadSettings,
        now: WallTime,
        before: Option<u8>,
    ) -> Option<u8> {
        self.brokers.retain(|_, received| now.since(received.at) < settings.report_ttl);
        let overloaded =
            self.reports().filter_map(|report| highest_overloaded_class(settings, report)).min();
        if let Some(overloaded) = overloaded
            && before.is_none_or(|before| overloaded <= before)
        {
            self.headroom_since = None;
            return self.unless_lowest_class(overloaded);
        }
        let before = before?;
        if overloaded.is_some() || !self.has_headroom(settings) {
            self.headroom_since = None;
            return Some(before);
        }
        let headroom_since = *self.headroom_since.get_or_insert(now);
        if now.since(headroom_since) < settings.step_down_after {
            return Some(before);
        }
        self.headroom_since = Some(now);
        let next = self.classes().filter(|priority| *priority > before).min();
        next.and_then(|next| self.unless_lowest_class(next))
    }

    fn reports(&self) -> impl Iterator<Item = &OverloadReport> {
        self.brokers.values().map(|received| &received.report)
    }

    fn classes(&self) -> impl Iterator<Item = u8> {
        self.reports().flat_map(|report| report.classes.iter().map(|class| class.priority))
    }

    /// `priority`, unless it is the lowest class: a threshold there would refuse nothing.
    fn unless_lowest_class(&self, priority: u8) -> Option<u8> {
        self.classes().any(|other| other > priority).then_some(priority)
    }

    fn has_headroom(&self, settings: &OverloadSettings) -> bool {
        let running: u64 = self.reports().map(|report| u64::from(report.running)).sum();
        let slots: u64 = self.reports().map(|report| u64::from(report.concurrency)).sum();
        running * 100 < slots * settings.utilization_percent
    }
}

/// Highest admitted class that is overloaded, for a broker without a free slot.
fn highest_overloaded_class(settings: &OverloadSettings, report: &OverloadReport) -> Option<u8> {
    if report.running < report.concurrency {
        return None;
    }
    let admitted = report.classes.iter().filter(|class| class.priority <= report.lowest_admitted);
    let overloaded = admitted.filter(|class| {
        class.refused > 0 && class.refused * 100 >= class.offered * settings.refused_percent
    });
    overloaded.map(|class| class.priority).min()
}
