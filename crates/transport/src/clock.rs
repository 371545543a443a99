//! The steady clock of a process, as aggregates see time.

use std::time::{Duration, Instant};

use gingerkeel_domain::time::Timestamp;

/// Tells the time since it was started. Jumps of the time of day do not move it.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// A clock whose origin is now.
    pub fn start() -> Self {
        Self { origin: Instant::now() }
    }

    /// The current time.
    pub fn now(&self) -> Timestamp {
        Timestamp::ZERO.after(self.origin.elapsed())
    }

    /// The time of a moment since the clock was started.
    pub fn at(&self, moment: Instant) -> Timestamp {
        Timestamp::ZERO.after(moment.saturating_duration_since(self.origin))
    }

    /// Time from now until `due`; zero when it has passed.
    pub fn until(&self, due: Timestamp) -> Duration {
        due.since(self.now())
    }
}
