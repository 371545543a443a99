//! The clocks of a control process.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use gingerkeel_domain::cluster::WallTime;
use gingerkeel_domain::time::Timestamp;

/// The time of day, for commands.
pub fn wall_time() -> WallTime {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    WallTime(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}

/// The steady clock of one task.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self { origin: Instant::now() }
    }

    /// The time since it was started.
    pub fn now(&self) -> Timestamp {
        Timestamp::ZERO.after(self.origin.elapsed())
    }

    /// The time that is left until `due`.
    pub fn until(&self, due: Timestamp) -> Duration {
        due.since(self.now())
    }
}
