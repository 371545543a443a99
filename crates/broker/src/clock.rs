//! The monotonic clock of a broker.

use std::time::{Duration, Instant};

use gingerkeel_domain::time::Timestamp;

/// Tells the time since the process started.
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

    /// The time of a moment since the process started.
    pub fn at(&self, moment: Instant) -> Timestamp {
        Timestamp::ZERO.after(moment.saturating_duration_since(self.origin))
    }

    /// Time from now until `due`; zero when it has passed.
    pub fn until(&self, due: Timestamp) -> Duration {
        due.since(self.now())
    }
}
