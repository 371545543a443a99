//! When a replica that does badly is left out, and for how long.

use std::time::Duration;

use crate::time::Timestamp;

/// Failures in a row after which a replica is left out.
const CONSECUTIVE_FAILURES: u32 = 5;
/// Failures in a row after which a replica on probation is left out again.
const PROBATION_FAILURES: u32 = 1;
/// Answers that end probation.
const PROBATION_ANSWERS: u32 = 20;
/// Time for which a replica is left out at first; doubles each time.
const FIRST_EJECTION: Duration = Duration::from_secs(1);
/// Longest time for which a replica is left out.
const LONGEST_EJECTION: Duration = Duration::from_secs(60);
/// Doublings that lead from the first to the longest ejection.
const MAXIMUM_DOUBLINGS: u32 = 6;

/// Own outcomes of one replica as far as they bear on leaving it out.
#[derive(Debug, Clone, Copy, Default)]
pub struct Ejection {
    failures: u32,
    ejections: u32,
    ejected_until: Option<Timestamp>,
    probation_left: u32,
}

impl Ejection {
    /// Whether the replica is left out now.
    pub fn is_out(&self, now: Timestamp) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// When the last ejection ended or will end.
    pub fn returns_at(&self) -> Option<Timestamp> {
        self.ejected_until
    }

    /// Whether the replica returned from an ejection and has not proved itself yet.
    pub fn on_probation(&self) -> bool {
        self.probation_left > 0
    }

    /// The replica answered.
    pub fn answered(&mut self) {
        self.failures = 0;
        if self.probation_left > 0 {
            self.probation_left -= 1;
            if self.probation_left == 0 {
                self.ejections = 0;
            }
        }
    }

    /// The replica failed; true when it ought to be left out.
    pub fn failed(&mut self) -> bool {
        self.failures += 1;
        let bound = if self.on_probation() { PROBATION_FAILURES } else { CONSECUTIVE_FAILURES };
        self.failures >= bound
    }

    /// Leaves the replica out, each time for longer.
    pub fn eject(&mut self, now: Timestamp) {
        let doublings = self.ejections.min(MAXIMUM_DOUBLINGS);
        let span = (FIRST_EJECTION * (1 << doublings)).min(LONGEST_EJECTION);
        self.ejections += 1;
        self.failures = 0;
        self.ejected_until = Some(now.after(span));
        self.probation_left = PROBATION_ANSWERS;
    }
}
