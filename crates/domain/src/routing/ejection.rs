//! Outlier ejection: when a replica is ejected and for how long.

use std::time::Duration;

use crate::time::Timestamp;

/// Consecutive failures after which a replica is ejected.
const CONSECUTIVE_FAILURES: u32 = 5;
/// Consecutive failures after which a replica on probation is ejected again.
const PROBATION_FAILURES: u32 = 1;
/// Successful replies that end probation.
const PROBATION_ANSWERS: u32 = 20;
/// Duration of the first ejection; each further ejection lasts twice as long.
const FIRST_EJECTION: Duration = Duration::from_secs(1);
/// Upper bound on the duration of an ejection.
const LONGEST_EJECTION: Duration = Duration::from_secs(60);
/// Doublings after which the duration has reached [`LONGEST_EJECTION`].
const MAXIMUM_DOUBLINGS: u32 = 6;

/// Ejection state of one replica, derived from this broker's own requests to it.
#[derive(Debug, Clone, Copy, Default)]
pub struct Ejection {
    failures: u32,
    ejections: u32,
    ejected_until: Option<Timestamp>,
    probation_replies_left: u32,
}

impl Ejection {
    /// Whether the replica is ejected at `now`.
    pub fn is_ejected(&self, now: Timestamp) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// End of the latest ejection, past or future.
    pub fn returns_at(&self) -> Option<Timestamp> {
        self.ejected_until
    }

    /// Whether the replica returned from an ejection less than [`PROBATION_ANSWERS`] replies ago.
    pub fn on_probation(&self) -> bool {
        self.probation_replies_left > 0
    }

    /// Records a successful reply.
    pub fn answered(&mut self) {
        self.failures = 0;
        if self.probation_replies_left > 0 {
            self.probation_replies_left -= 1;
            if self.probation_replies_left == 0 {
                self.ejections = 0;
            }
        }
    }

    /// Records a failure; returns whether the replica should now be ejected.
    pub fn failed(&mut self) -> bool {
        self.failures += 1;
        let bound = if self.on_probation() { PROBATION_FAILURES } else { CONSECUTIVE_FAILURES };
        self.failures >= bound
    }

    /// Ejects the replica with exponential backoff.
    pub fn eject(&mut self, now: Timestamp) {
        let doublings = self.ejections.min(MAXIMUM_DOUBLINGS);
        let ejection_time = (FIRST_EJECTION * (1 << doublings)).min(LONGEST_EJECTION);
        self.ejections += 1;
        self.failures = 0;
        self.ejected_until = Some(now.after(ejection_time));
        self.probation_replies_left = PROBATION_ANSWERS;
    }
}
