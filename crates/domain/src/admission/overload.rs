//! Overload of one broker as measured, for the control tier to fold over all brokers.

use serde::{Deserialize, Serialize};

use crate::identifiers::ServiceName;

/// Lowest class admitted when nothing is shut out.
pub const ADMIT_ALL: u8 = u8::MAX;

/// What one class was offered and refused since the broker started; both only grow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClassPressure {
    /// Priority of the class.
    pub priority: u8,
    /// Queries that asked to be admitted.
    pub offered: u64,
    /// Queries that were refused for want of capacity.
    pub refused: u64,
    /// Queries that wait now.
    pub waiting: u32,
}

/// Load and refusals of one service at one broker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OverloadReport {
    /// The service.
    pub service: ServiceName,
    /// Queries that run now.
    pub running: u32,
    /// Queries that may run at the same time.
    pub concurrency: u32,
    /// Lowest class that this broker admits now.
    pub lowest_admitted: u8,
    /// Its classes, highest first.
    pub classes: Vec<ClassPressure>,
}

impl OverloadReport {
    /// Whether every slot is busy and more queries wait.
    pub fn is_saturated(&self) -> bool {
        self.running >= self.concurrency && self.classes.iter().any(|class| class.waiting > 0)
    }
}
