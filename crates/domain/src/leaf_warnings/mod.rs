//! What brokers tell each other of slow leaves, by way of the control process that feeds them.
//!
//! One of hundreds of brokers asks a given leaf every few seconds: too seldom to notice that it has
//! become slow before it has recovered. All of them together ask it many times a second. So each
//! broker reports the leaves near it that were slow in its requests, its control process folds the
//! reports of many brokers into warnings, and every broker that is fed there asks other leaves first
//! for as long as a warning lasts. The state is soft: nothing of it is replicated or kept on disk, and
//! without control each broker goes on by what it sees itself.
//! Why so, and what else was weighed: `docs/design/leaf-warnings.md`.

mod fold;
mod observation_log;

use serde::{Deserialize, Serialize};

use crate::identifiers::LeafIdentity;

pub use fold::WarningFold;
pub use observation_log::ObservationLog;

/// What one broker saw of a leaf that was slow.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeafObservation {
    /// The leaf.
    pub leaf: LeafIdentity,
    /// How long ago the requests began in which it was slow, in milliseconds.
    pub slow_ms_ago: Vec<u32>,
    /// In how many requests of the last seconds it was not.
    pub sound: u32,
}

/// A leaf that is not to be asked first.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeafWarning {
    /// The leaf.
    pub leaf: LeafIdentity,
    /// For how many milliseconds from now.
    pub for_ms: u32,
}
