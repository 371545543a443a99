//! Faults that are switched on and off while a leaf runs: `POST /admin`.

use serde::{Deserialize, Serialize};

/// A change to one leaf of a process, or to all of them; absent fields change nothing.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AdminCommand {
    /// Number of the leaf; all leaves of the process when absent.
    pub leaf: Option<u32>,
    /// How many times slower requests run.
    pub slow_factor: Option<f64>,
    /// Whether the leaf is leaving.
    pub draining: Option<bool>,
    /// Index versions that are held.
    pub versions: Option<Vec<u64>>,
    /// Partition epochs that are held.
    pub epochs: Option<Vec<u64>>,
    /// How replies are disturbed; see [`ReplyFaultKind::None`] to end it.
    pub reply_fault: Option<ReplyFault>,
    /// What the health endpoint says whatever is true.
    pub claimed_health: Option<bool>,
}

/// What the leaves of a process did since their start: `GET /counters`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeafCounters {
    /// Requests that began to run.
    pub started: u64,
}

/// A disturbance of replies.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReplyFault {
    /// What is done.
    pub kind: ReplyFaultKind,
    /// Share of replies to which it is done.
    #[serde(default = "all_replies")]
    pub share: f64,
    /// Milliseconds by which late replies are late.
    #[serde(default)]
    pub late_ms: u64,
}

fn all_replies() -> f64 {
    1.0
}

/// What is done to a reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReplyFaultKind {
    /// Nothing.
    None,
    /// It says that another index version was read.
    OtherVersion,
    /// It carries the identifier of another request.
    OtherRequest,
    /// Its status, headers and body make no sense.
    Garbage,
    /// It leaves later.
    Late,
    /// It never leaves, and the connection stays open.
    Freeze,
    /// The connection closes without it.
    Cut,
    /// The leaf reports an error of its own.
    Error,
}
