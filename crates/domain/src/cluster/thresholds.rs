//! Overload thresholds: the lowest class that the brokers of a service admit.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::WallTime;
use crate::identifiers::ServiceName;

/// The lowest class that is admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Threshold {
    /// Priority of that class; classes of a greater number are refused as not run.
    pub lowest_admitted: u8,
    /// When it ends by itself, so that a threshold nobody renews refuses no work for ever.
    pub until: WallTime,
}

/// Thresholds of all services.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Thresholds {
    services: BTreeMap<ServiceName, Threshold>,
    version: u64,
}

impl Thresholds {
    /// Grows with each change, so that feeds see that there is one.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The threshold of a service; none admits every class.
    pub fn of(&self, service: &ServiceName) -> Option<Threshold> {
        self.services.get(service).copied()
    }

    /// All services that have one.
    pub fn services(&self) -> &BTreeMap<ServiceName, Threshold> {
        &self.services
    }

    pub(super) fn set(&mut self, service: ServiceName, threshold: Option<Threshold>) {
        let previous = match threshold {
            Some(threshold) => self.services.insert(service, threshold),
            None => self.services.remove(&service),
        };
        let admitted = |threshold: Threshold| threshold.lowest_admitted;
        if previous.map(admitted) != threshold.map(admitted) {
            self.version += 1;
        }
    }

    pub(super) fn expire(&mut self, now: WallTime) {
        let before = self.services.len();
        self.services.retain(|_, threshold| threshold.until > now);
        if self.services.len() != before {
            self.version += 1;
        }
    }
}
