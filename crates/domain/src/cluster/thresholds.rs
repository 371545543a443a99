//! Load-shedding thresholds: the lowest class that the brokers of a service admit.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::WallTime;
use crate::identifiers::ServiceName;

/// Load-shedding threshold of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Threshold {
    /// Priority of the lowest admitted class; classes with a greater number are refused unexecuted.
    pub lowest_admitted: u8,
    /// Expiry time, so that a threshold that is no longer renewed does not refuse work for ever.
    pub until: WallTime,
}

/// Load-shedding thresholds by service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Thresholds {
    services: BTreeMap<ServiceName, Threshold>,
    version: u64,
}

impl Thresholds {
    /// Version that increases with each change, by which feeds detect changes.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Threshold of a service; `None` admits every class.
    pub fn of(&self, service: &ServiceName) -> Option<Threshold> {
        self.services.get(service).copied()
    }

    /// Thresholds of all services that have one.
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
