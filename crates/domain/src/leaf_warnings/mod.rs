//! What brokers tell each other of slow, failing and refusing leaves, by way of the control processes that feed them.
//!
//! One of hundreds of brokers asks a given leaf every few seconds: too seldom to notice that it has
//! become slow, loses answers or refuses work, before it has recovered. All of them together ask it many times a second.
//! So each broker reports the leaves that were slow, failed or refused in its requests, its control process folds the
//! reports of many brokers into warnings, tells the other control processes, and every broker asks other leaves first
//! for as long as a warning lasts. The state is soft: nothing of it is replicated or kept on disk, and
//! without control each broker goes on by what it sees itself.
//! Why so, and what else was weighed: `docs/design/leaf-warnings.md`.

mod aggregator;
mod observation_log;

use serde::{Deserialize, Serialize};

use crate::identifiers::LeafIdentity;

pub use aggregator::WarningAggregator;
pub use observation_log::ObservationLog;

/// What one broker saw of a leaf that was slow or failed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeafObservation {
    /// The leaf.
    pub leaf: LeafIdentity,
    /// How long ago the requests began in which it was slow, in milliseconds.
    pub slow_ms_ago: Vec<u32>,
    /// How long ago the requests began whose answers it failed to give, in milliseconds.
    pub failed_ms_ago: Vec<u32>,
    /// How long ago the requests began that it refused to run, in milliseconds.
    pub refused_ms_ago: Vec<u32>,
    /// In how many requests of the last seconds it did none of these.
    pub sound: u32,
}

/// How a leaf did in one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ObservedOutcome {
    /// It answered about as soon as the leaves of the other shards.
    Sound,
    /// It took far longer than they did.
    Slow,
    /// It took the request and gave no usable answer.
    Failed,
    /// It said that it does not run the request.
    Refused,
}

/// Why leaves are warned of.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum WarningCause {
    /// It is slow. An ordinary answer to a broker shows it that the leaf has recovered.
    Slow,
    /// It loses a part of its answers. That it gives others shows nothing.
    Failing,
    /// It refuses a part of what it is asked. That it takes others shows nothing.
    Refusing,
}

/// A leaf that is not to be asked first.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeafWarning {
    /// The leaf.
    pub leaf: LeafIdentity,
    /// Why.
    pub cause: WarningCause,
    /// For how many milliseconds from now.
    pub for_ms: u32,
}
