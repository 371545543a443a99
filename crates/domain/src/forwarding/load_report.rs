//! What a leaf says of its load on an answer. It is counted and logged; leaves are chosen by their own
//! answers, because what a broker was told last is mostly out of date when it asks next.

use std::time::Duration;

use crate::time::Timestamp;

/// What work takes on a machine that nothing else disturbs, in percent.
pub const NOMINAL_PACE_PERCENT: u32 = 100;
/// Age after which a report says nothing any more: what else runs on the machine changes many times a
/// second, and a queue of some requests is worked off by then.
const REPORT_LIFE: Duration = Duration::from_millis(200);

/// Load of a leaf when it answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that it worked on.
    pub running: u32,
    /// Requests that waited.
    pub waiting: u32,
    /// Requests that it works on at once.
    pub slots: u32,
    /// How long work took on its machine, in percent of the usual.
    pub pace_percent: u32,
}

/// The newest report of a leaf, with its age.
#[derive(Debug, Clone, Copy, Default)]
pub struct ObservedLoad {
    newest: Option<(LoadReport, Timestamp)>,
}

impl ObservedLoad {
    /// A report came with an answer.
    pub fn observe(&mut self, now: Timestamp, report: LoadReport) {
        self.newest = Some((report, now));
    }

    /// The newest report, while it says something.
    pub fn current(&self, now: Timestamp) -> Option<LoadReport> {
        let fresh = |at: Timestamp| now.since(at) < REPORT_LIFE;
        self.newest.filter(|(_, at)| fresh(*at)).map(|(report, _)| report)
    }
}
