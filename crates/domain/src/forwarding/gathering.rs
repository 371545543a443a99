//! Decides when an answer merged from one part per shard is complete enough to be sent.

use std::time::Duration;

use crate::routes::PartsPerMillion;
use crate::time::Timestamp;

/// Share of parts whose arrival time predicts the rest: the parts of one request take similar
/// times.
const MOST_PARTS_SHARE: f64 = 0.6;
/// Extra time for the other parts, relative to the time until most parts had arrived.
const OVERDUE_FACTOR: f64 = 0.3;
/// Constant extra time for the other parts.
const OVERDUE_OFFSET: Duration = Duration::from_millis(6);

/// Points in time of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GatherTimes {
    /// Time of receipt.
    pub received: Timestamp,
    /// Soft deadline: from here on the answer is sent as soon as the least share of parts has
    /// arrived.
    pub soft: Timestamp,
    /// Hard deadline of the answer.
    pub deadline: Timestamp,
}

/// Next step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GatherStep {
    /// Wait for another part until this moment.
    WaitUntil(Timestamp),
    /// Send what has arrived.
    Finish,
}

/// Progress of one gathered answer.
#[derive(Debug)]
pub struct Gathering {
    whole: usize,
    present: usize,
    /// Parts that arrived before the soft deadline.
    present_in_time: usize,
    failed: usize,
    least_share: PartsPerMillion,
    times: GatherTimes,
    overdue_at: Option<Timestamp>,
}

impl Gathering {
    /// Starts with none of `whole` parts present.
    pub fn new(whole: usize, least_share: PartsPerMillion, times: GatherTimes) -> Self {
        Self {
            whole,
            present: 0,
            present_in_time: 0,
            failed: 0,
            least_share,
            times,
            overdue_at: None,
        }
    }

    /// Records that a part has arrived or, if `came` is false, that it has failed.
    pub fn record_part(&mut self, now: Timestamp, came: bool) {
        if !came {
            self.failed += 1;
            return;
        }
        self.present += 1;
        self.present_in_time += usize::from(now < self.times.soft);
        if self.overdue_at.is_none() && self.most_are_present() {
            let taken = now.since(self.times.received);
            self.overdue_at = Some(now.after(taken.mul_f64(OVERDUE_FACTOR) + OVERDUE_OFFSET));
        }
    }

    /// Returns the next step.
    pub fn step(&self, now: Timestamp) -> GatherStep {
        let GatherTimes { soft, deadline, .. } = self.times;
        let settled = self.present + self.failed == self.whole || !self.can_reach();
        if settled || now >= deadline || (now >= soft && self.reaches_least_share()) {
            return GatherStep::Finish;
        }
        let wake = if now >= soft { deadline } else { soft };
        let overdue = self.overdue_at.filter(|at| *at > now);
        GatherStep::WaitUntil(overdue.map_or(wake, |at| at.min(wake)))
    }

    /// Whether the missing parts take longer than the arrival of the others predicts.
    pub fn is_overdue(&self, now: Timestamp) -> bool {
        self.overdue_at.is_some_and(|at| now >= at)
    }

    /// Whether the parts present suffice for an answer.
    pub fn reaches_least_share(&self) -> bool {
        self.present > 0 && self.least_share.reached_by(self.present, self.whole)
    }

    /// Number of further parts that may be given up without falling below the least share.
    pub fn spare(&self) -> usize {
        let left = self.whole - self.failed;
        let enough = |kept: &usize| *kept > 0 && self.least_share.reached_by(*kept, self.whole);
        (1..=left).find(enough).map_or(0, |least| left - least)
    }

    /// Number of parts that are not present.
    pub fn missing(&self) -> usize {
        self.whole - self.present
    }

    /// Parts that arrived before the soft deadline, and all parts.
    pub fn in_time(&self) -> (usize, usize) {
        (self.present_in_time, self.whole)
    }

    fn most_are_present(&self) -> bool {
        self.present as f64 >= self.whole as f64 * MOST_PARTS_SHARE
    }

    /// Whether the least share can still be reached.
    fn can_reach(&self) -> bool {
        let most = self.whole - self.failed;
        most > 0 && self.least_share.reached_by(most, self.whole)
    }
}
