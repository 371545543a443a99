//! Monotonic clock of a process.

use std::time::{Duration, Instant};

use gingerkeel_domain::time::Timestamp;

/// A monotonic clock that counts from its start; changes of the wall clock do not affect it.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Starts a clock at zero.
    pub fn start() -> Self {
        Self { origin: Instant::now() }
    }

    /// Time since the start.
    pub fn now(&self) -> Timestamp {
        Timestamp::ZERO.after(self.origin.elapsed())
    }

    /// Timestamp of a instant; zero if it precedes the start.
    pub fn at(&self, instant: Instant) -> Timestamp {
        Timestamp::ZERO.after(instant.saturating_duration_since(self.origin))
    }

    /// Time from now until `due`; zero if `due` has passed.
    pub fn until(&self, due: Timestamp) -> Duration {
        due.since(self.now())
    }
}
