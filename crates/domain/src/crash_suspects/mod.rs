//! Detection and quarantine of requests that crash leaves.
//!
//! A request that crashes every leaf that runs it takes down one leaf of each shard, and its
//! retries take down the rest. A leaf that terminates has many requests in flight, most of them
//! harmless. A broker therefore records, by request digest, the requests that were in flight at
//! terminated leaves and have not been answered since: these are *suspected*. A suspected request
//! is sent to a single leaf as a canary. A reply clears it; if that leaf terminates too, all
//! brokers *refuse* the request. The control tier replicates refusals, distributes them to the
//! brokers, and grants single trials at one leaf, so that a wrong verdict is corrected. Suspicions
//! are not replicated and expire. Rationale and alternatives: `docs/design/crashing-requests.md`.

mod canary_gate;
mod canary_room;
mod fold;
mod given_up;
mod suspects;

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

pub use canary_gate::{CanaryGate, Caution, Permission};
pub use canary_room::CanaryHeadroom;
pub use fold::FindingStore;
pub use given_up::{AbandonedRequests, InFlightAttempt};
pub use suspects::{CrashSuspects, LeafEnd, SendPolicy};

/// Time after which a refusal without further findings expires.
pub const REFUSAL_RETENTION: Duration = Duration::from_secs(24 * 60 * 60);

/// Whether a reply with this HTTP status shows that the leaf processed the request and survived. A
/// leaf that fails or refuses may have answered without processing the request.
pub fn is_survived(status: u16) -> bool {
    (200..=499).contains(&status) && !matches!(status, 408 | 421 | 429)
}

/// Digest of the parts of a request that leaves see and that are equal in all its attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestDigest(pub u64);

impl fmt::Display for RequestDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// The verdict on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Verdict {
    /// Leaves terminated while it was in flight: it is sent to one leaf at a time.
    Suspected,
    /// A second leaf terminated while the request was in flight there alone: it is not sent.
    Refused,
    /// A leaf replied to it after a refusal, or an operator released it.
    Cleared,
}

impl Verdict {
    /// The verdict as one word, as written to logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Suspected => "suspected",
            Self::Refused => "refused",
            Self::Cleared => "cleared",
        }
    }
}

/// A finding of a broker on a request, as exchanged between brokers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashFinding {
    /// Digest of the request.
    pub digest: RequestDigest,
    /// Name of its route.
    pub route: String,
    /// Known number of leaves that terminated while it was in flight.
    pub leaves: u32,
    /// The verdict.
    pub verdict: Verdict,
    /// Validity of the finding in milliseconds from now.
    pub for_ms: u32,
}
