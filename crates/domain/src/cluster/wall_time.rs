//! Wall-clock time carried by commands.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Maximum advance of the replicated time by one command, so that a control process with a wrong
/// clock cannot expire all leases and sessions at once.
const MAX_STEP: Duration = Duration::from_secs(10);

/// Milliseconds since 1970-01-01 UTC.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct WallTime(pub u64);

impl WallTime {
    /// This time plus `span`, saturating.
    pub fn after(self, span: Duration) -> Self {
        let milliseconds = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(milliseconds))
    }

    /// Time since `earlier`, saturating at zero.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }

    /// The replicated time after a command proposed at `at`. Never moves backwards, and forwards by
    /// at most [`MAX_STEP`], except for the first command.
    pub(super) fn advance_to(self, at: Self) -> Self {
        if self == Self::default() {
            return at;
        }
        self.max(at.min(self.after(MAX_STEP)))
    }
}
