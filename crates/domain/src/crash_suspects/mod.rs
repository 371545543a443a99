//! Requests under which leaves crash.
//!
//! A request that crashes every leaf which runs it takes one leaf of each shard with it, and its retries the
//! rest. All leaves that end do so with requests under way, most of them innocent ones. So a broker keeps, by a
//! digest of the request, under which requests leaves have ended that nobody has answered since: they are
//! *suspected*. A suspected request goes to one leaf alone, as a canary. An answer clears it; if that leaf ends
//! too, the request is *refused* by all brokers: the control tier keeps that in its replicated state, tells each
//! broker, and grants a few trials at one leaf, one at a time, so that a wrong verdict heals. Suspicions are not
//! replicated, and end by themselves.
//! Why so, and what else was weighed: `docs/design/crashing-requests.md`.

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

/// Time for which a request stays refused of which nothing more is heard.
pub const REFUSAL_RETENTION: Duration = Duration::from_secs(24 * 60 * 60);

/// Whether a leaf that replies with this status has worked on the request and survived it. One that fails or refuses may
/// have answered for its queue.
pub fn is_survived(status: u16) -> bool {
    (200..=499).contains(&status) && !matches!(status, 408 | 421 | 429)
}

/// Digest of what leaves see of a request that is the same in all its tries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestDigest(pub u64);

impl fmt::Display for RequestDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// What is held of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Verdict {
    /// Leaves have ended under it: it is sent to one leaf first.
    Suspected,
    /// A leaf ended under it alone, after another one: it is sent to nobody.
    Refused,
    /// A leaf replied to it after it was refused, or an operator released it.
    Cleared,
}

impl Verdict {
    /// In one word, as logs say it.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Suspected => "suspected",
            Self::Refused => "refused",
            Self::Cleared => "cleared",
        }
    }
}

/// What a broker found of a request, as brokers tell each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashFinding {
    /// The request.
    pub digest: RequestDigest,
    /// Name of its route.
    pub route: String,
    /// Leaves that have ended under it, as far as is known.
    pub leaves: u32,
    /// What is held of it.
    pub verdict: Verdict,
    /// For how many milliseconds from now.
    pub for_ms: u32,
}
