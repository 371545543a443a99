//! The monotonic clock of the replicated log.

use std::time::{Duration, Instant};

use gingerkeel_domain::time::Timestamp;

/// Tells the time since the log was started.
#[derive(Debug, Clone, Copy)]
pub(super) struct Clock {
    origin: Instant,
}

impl Clock {
    pub fn start() -> Self {
        Self { origin: Instant::now() }
    }

    pub fn now(&self) -> Timestamp {
        Timestamp::ZERO.after(self.origin.elapsed())
    }

    pub fn until(&self, due: Timestamp) -> Duration {
        due.since(self.now())
    }
}
