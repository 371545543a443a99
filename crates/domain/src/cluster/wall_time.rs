//! Time of day as commands carry it.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Furthest that one command moves the replicated time, so that a control process whose clock is
/// wrong cannot end every lease and session at once.
const LONGEST_STEP: Duration = Duration::from_secs(10);

/// Milliseconds since 1970-01-01 UTC.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct WallTime(pub u64);

impl WallTime {
    /// This time moved forward, saturating at the far end.
    pub fn after(self, span: Duration) -> Self {
        let milliseconds = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(milliseconds))
    }

    /// The time that passed since `earlier`; zero when that lies ahead.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }

    /// The replicated time after a command of time `at`: never back, and forward by one step at
    /// most, except from the very beginning.
    pub(super) fn follow(self, at: Self) -> Self {
        if self == Self::default() {
            return at;
        }
        self.max(at.min(self.after(LONGEST_STEP)))
    }
}
