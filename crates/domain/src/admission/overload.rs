//! Overload report of one broker; the control tier aggregates the reports of all brokers.

use serde::{Deserialize, Serialize};

use crate::identifiers::ServiceName;

/// Threshold that admits every class.
pub const ADMIT_ALL: u8 = u8::MAX;

/// Queries of one class: offered and refused since the broker started, and queued now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClassPressure {
    /// Priority of the class.
    pub priority: u8,
    /// Queries offered for admission; a counter that never decreases.
    pub offered: u64,
    /// Queries refused by admission or evicted; a counter that never decreases.
    pub refused: u64,
    /// Queries queued now.
    pub waiting: u32,
}

/// Load and refusals of one service on one broker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OverloadReport {
    /// Service that the report is about.
    pub service: ServiceName,
    /// Queries running now.
    pub running: u32,
    /// Number of slots: queries that may run at the same time.
    pub concurrency: u32,
    /// Greatest priority number that this broker admits.
    pub lowest_admitted: u8,
    /// Classes of the service, highest priority first.
    pub classes: Vec<ClassPressure>,
}

impl OverloadReport {
    /// Whether every slot is busy and at least one query is queued.
    pub fn is_saturated(&self) -> bool {
        self.running >= self.concurrency && self.classes.iter().any(|class| class.waiting > 0)
    }
}
