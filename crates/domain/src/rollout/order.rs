//! Rollout orders of operators.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::identifiers::{ServiceName, SoftwareVersion};
use crate::routes::PartsPerMillion;

/// Time within which an equal order counts as a retry after a lost reply. Clients retry for
/// seconds, and the clocks of the machines that accept orders may differ by some seconds.
const RETRY_WINDOW: Duration = Duration::from_secs(60);
/// Maximum duration of a rollout.
const MAX_DURATION: Duration = Duration::from_secs(7 * 24 * 3_600);

/// Limit of the requests, over all brokers, that may reach a version before it is known to be
/// healthy: a share of the requests for its service, plus a constant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExposureLimit {
    /// The share of the requests for the service.
    pub share: PartsPerMillion,
    /// Additional requests.
    pub slack: u32,
}

impl Default for ExposureLimit {
    /// A tenth, plus the requests that an evaluation needs on a service with little traffic.
    fn default() -> Self {
        Self { share: PartsPerMillion(100_000), slack: 50 }
    }
}

/// An operator's order to roll out a version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutOrder {
    /// The service whose requests move to the target version.
    pub service: ServiceName,
    /// The target version.
    pub target: SoftwareVersion,
    /// Time in milliseconds within which all requests are to move.
    pub duration_ms: u64,
    /// Limit of the requests to a version that is not known to be healthy.
    pub limit: ExposureLimit,
    /// When the order was accepted, in milliseconds since 1970 by the clock of the accepting
    /// process.
    pub ordered_at_ms: u64,
}

impl RolloutOrder {
    /// Time within which all requests are to move.
    pub fn duration(&self) -> Duration {
        Duration::from_millis(self.duration_ms)
    }

    /// Whether this is a retry of `earlier`.
    pub fn repeats(&self, earlier: &Self) -> bool {
        let apart = self.ordered_at_ms.abs_diff(earlier.ordered_at_ms);
        let same = self.service == earlier.service
            && self.target == earlier.target
            && self.duration_ms == earlier.duration_ms;
        same && u128::from(apart) <= RETRY_WINDOW.as_millis()
    }

    /// Whether the duration and the version are valid.
    pub(super) fn is_usable(&self) -> bool {
        let valid_duration = self.duration_ms > 0 && self.duration() <= MAX_DURATION;
        valid_duration && !self.target.as_str().is_empty()
    }
}
