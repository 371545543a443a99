//! Lower bound of the run time of the queries of a class.

use std::time::Duration;

use crate::time::Timestamp;

/// Length of one half of the sliding window.
const HALF_WINDOW: Duration = Duration::from_secs(1);

/// Shortest run time within a sliding window of one to two seconds.
///
/// Admission refuses a query that would miss its deadline even with this run time. Samples expire,
/// so that a class whose queries are all refused is tried again.
#[derive(Debug, Clone, Copy, Default)]
pub struct FastestRun {
    current: Option<Duration>,
    former: Option<Duration>,
    rotated: Timestamp,
}

impl FastestRun {
    /// Records the run time of an answered query.
    pub fn record(&mut self, now: Timestamp, run_time: Duration) {
        self.rotate(now);
        self.current = Some(self.current.map_or(run_time, |fastest| fastest.min(run_time)));
    }

    /// Shortest run time in the window; zero without samples.
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
