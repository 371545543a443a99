//! The measured run time of a class: what a query needs at least.

use std::time::Duration;

use crate::time::Timestamp;

/// Length of one half of the window.
const HALF_WINDOW: Duration = Duration::from_secs(1);

/// The shortest run of the last one to two seconds.
///
/// Only a query that would miss its deadline even if it ran as fast as this one is refused. The
/// window forgets, so that a class whose queries are all refused is tried again.
#[derive(Debug, Clone, Copy, Default)]
pub struct FastestRun {
    current: Option<Duration>,
    former: Option<Duration>,
    rotated: Timestamp,
}

impl FastestRun {
    /// Records the run of an answered query.
    pub fn record(&mut self, now: Timestamp, run_time: Duration) {
        self.rotate(now);
        self.current = Some(self.current.map_or(run_time, |fastest| fastest.min(run_time)));
    }

    /// The shortest run in the window; zero when there was none.
    pub fn get(&self, now: Timestamp) -> Duration {
        let age = now.since(self.rotated);
        let current = self.current.filter(|_| age < 2 * HALF_WINDOW);
        let former = self.former.filter(|_| age < HALF_WINDOW);
        current.into_iter().chain(former).min().unwrap_or_default()
    }

    fn rotate(&mut self, now: Timestamp) {
        let age = now.since(self.rotated);
        if age < HALF_WINDOW {
            return;
        }
        self.former = self.current.take().filter(|_| age < 2 * HALF_WINDOW);
        self.rotated = now;
    }
}
