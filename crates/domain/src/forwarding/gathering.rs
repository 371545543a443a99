//! When an answer that is merged from one part of each shard is complete enough.

use std::time::Duration;

use crate::routes::PartsPerMillion;
use crate::time::Timestamp;

/// Share of the parts that tells how long the others may take: those of one request take alike.
const MOST_PARTS: f64 = 0.6;
/// Part of the time until most parts were in that the others may take longer.
const OVERDUE_FACTOR: f64 = 0.3;
/// Time besides that the others may take longer.
const OVERDUE_TIME: Duration = Duration::from_millis(6);

/// The times of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GatherTimes {
    /// When it was received.
    pub received: Timestamp,
    /// When the answer leaves with the parts that are in, once they reach the least share.
    pub soft: Timestamp,
    /// When it has to be answered.
    pub deadline: Timestamp,
}

/// What is done next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GatherStep {
    /// Wait for a part until then.
    WaitUntil(Timestamp),
    /// Nothing more is waited for.
    Finish,
}

/// Which parts of one answer are in.
#[derive(Debug)]
pub struct Gathering {
    whole: usize,
    present: usize,
    /// Those that came before the soft time.
    present_in_time: usize,
    failed: usize,
    least_share: PartsPerMillion,
    times: GatherTimes,
    overdue_at: Option<Timestamp>,
}

impl Gathering {
    /// Nothing is in of `whole` parts.
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

    /// A part has come, or will not come.
    pub fn record_part(&mut self, now: Timestamp, came: bool) {
        if !came {
            self.failed += 1;
            return;
        }
        self.present += 1;
        self.present_in_time += usize::from(now < self.times.soft);
        if self.overdue_at.is_none() && self.most_are_in() {
            let taken = now.since(self.times.received);
            self.overdue_at = Some(now.after(taken.mul_f64(OVERDUE_FACTOR) + OVERDUE_TIME));
        }
    }

    /// What to do now.
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

    /// Whether the parts that are missing take longer than those that are in tell.
    pub fn is_overdue(&self, now: Timestamp) -> bool {
        self.overdue_at.is_some_and(|at| now >= at)
    }

    /// Whether the parts that are in are enough for an answer.
    pub fn reaches_least_share(&self) -> bool {
        self.present > 0 && self.least_share.reached_by(self.present, self.whole)
    }

    /// How many more parts may be given up.
    pub fn spare(&self) -> usize {
        let left = self.whole - self.failed;
        let enough = |kept: &usize| *kept > 0 && self.least_share.reached_by(*kept, self.whole);
        (1..=left).find(enough).map_or(0, |least| left - least)
    }

    /// Parts that are not in.
    pub fn missing(&self) -> usize {
        self.whole - self.present
    }

    /// Parts that came before the soft time, and all parts.
    pub fn in_time(&self) -> (usize, usize) {
        (self.present_in_time, self.whole)
    }

    fn most_are_in(&self) -> bool {
        self.present as f64 >= self.whole as f64 * MOST_PARTS
    }

    /// Whether the least share can still be reached.
    fn can_reach(&self) -> bool {
        let most = self.whole - self.failed;
        most > 0 && self.least_share.reached_by(most, self.whole)
    }
}
