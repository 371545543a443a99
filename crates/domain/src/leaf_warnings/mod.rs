//! Outlier detection across brokers: warnings about slow, failing and refusing leaves, distributed
//! by the control processes.
//!
//! One of hundreds of brokers asks a given leaf only every few seconds, too seldom to notice that
//! it has become slow, loses answers or refuses work before it has recovered. All of them together
//! ask it many times a second. Each broker therefore reports the leaves that were slow, failed or
//! refused in its requests. Its control process aggregates the reports of many brokers into
//! warnings and shares them with the other control processes, and every broker deprioritizes a leaf
//! for as long as a warning lasts. The state is soft: it is neither replicated nor stored, and
//! without a control process each broker relies on its own observations.
//!
//! `docs/design/leaf-warnings.md` gives the reasons and the alternatives.

mod aggregator;
mod observation_log;

use serde::{Deserialize, Serialize};

use crate::identifiers::LeafIdentity;

pub use aggregator::WarningAggregator;
pub use observation_log::ObservationLog;

/// Observations of one broker about a leaf that was slow, failed or refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeafObservation {
    /// Identity of the observed leaf.
    pub leaf: LeafIdentity,
    /// Age in milliseconds of the requests in which the leaf was slow, since their start.
    pub slow_ms_ago: Vec<u32>,
    /// Age in milliseconds of the requests whose answers it failed to give, since their start.
    pub failed_ms_ago: Vec<u32>,
    /// Age in milliseconds of the requests that it refused to run, since their start.
    pub refused_ms_ago: Vec<u32>,
    /// Number of requests of the last seconds without any of these.
    pub sound: u32,
}

/// Outcome of one request at a leaf.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ObservedOutcome {
    /// The leaf answered about as fast as those of the other shards.
    Sound,
    /// The leaf took far longer than those of the other shards.
    Slow,
    /// The leaf accepted the request and gave no usable answer.
    Failed,
    /// The leaf refused to run the request.
    Refused,
}

/// Cause of a warning.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum WarningCause {
    /// The leaf is slow. An answer at normal latency shows a broker that it has recovered.
    Slow,
    /// The leaf loses a part of its answers; other answers do not show that it has recovered.
    Failing,
    /// The leaf refuses a part of its requests; accepted requests do not show that it has
    /// recovered.
    Refusing,
}

/// A leaf that is to be deprioritized.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeafWarning {
    /// Identity of the leaf.
    pub leaf: LeafIdentity,
    /// Cause of the warning.
    pub cause: WarningCause,
    /// Remaining time in milliseconds.
    pub for_ms: u32,
}
