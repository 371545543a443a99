//! Load that leaves report with their answers. It is counted and logged but not used for selection,
//! because the last report is mostly out of date when the next request is sent.

use std::time::Duration;

use crate::time::Timestamp;

/// Pace of a machine that nothing else disturbs, in percent.
pub const NOMINAL_PACE_PERCENT: u32 = 100;
/// Age at which a report expires: the load of the machine changes many times per second, and a
/// short queue is worked off by then.
const REPORT_LIFETIME: Duration = Duration::from_millis(200);

/// Load of a leaf at the time of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests in execution.
    pub running: u32,
    /// Requests in the queue.
    pub waiting: u32,
    /// Maximum number of requests executed at once.
    pub slots: u32,
    /// Execution time of work in percent of that on an undisturbed machine.
    pub pace_percent: u32,
}

/// Latest report of a leaf with its time of arrival.
#[derive(Debug, Clone, Copy, Default)]
pub struct ObservedLoad {
    latest: Option<(LoadReport, Timestamp)>,
}

impl ObservedLoad {
    /// Records a report that arrived with an answer.
    pub fn observe(&mut self, now: Timestamp, report: LoadReport) {
        self.latest = Some((report, now));
    }

    /// The latest report, until it expires.
    pub fn current(&self, now: Timestamp) -> Option<LoadReport> {
        let fresh = |at: Timestamp| now.since(at) < REPORT_LIFETIME;
        self.latest.filter(|(_, at)| fresh(*at)).map(|(report, _)| report)
    }
}
