//! The budget of extra requests: hedges and retries of one service.
//!
//! All brokers together may send a share of the requests of a service again, and a few more, the slack, in every
//! window. Each broker earns its share with each of its requests, and some of its part of the slack with time;
//! the rest of that part is all that it saves up. It begins with nothing saved. So whatever is sent in a window was
//! earned in that window or saved up before it, and the sum holds without a word between brokers: also where
//! processes are killed and begin anew, and where callers move from one broker to another.

use std::time::Duration;

use crate::time::Timestamp;

/// Part of a broker's slack that it saves up; the rest comes with time. More is there at once when leaves turn
/// slow, less in each second that they stay so.
const SAVED_PART: f64 = 0.5;
/// Extra requests that a broker saves up at least, as it could never send one otherwise. Where the slack is smaller
/// than the number of brokers, each may so exceed its part by one.
const LEAST_SAVED: f64 = 1.0;
/// Tolerance for the rounding of what is added up.
const ROUNDING: f64 = 1e-9;

/// Bounds of extra requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ExtraLoadSettings {
    /// Extra requests as a share of requests.
    pub ratio: f64,
    /// The window.
    pub window: Duration,
    /// Extra requests of all brokers together beyond the share.
    pub slack: f64,
}

/// What one broker may send.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ExtraLoadShare {
    /// Extra requests that it earns with a request.
    per_request: f64,
    /// Extra requests that it earns in a second.
    per_second: f64,
    /// Extra requests that it saves up at most.
    saved: f64,
}

impl ExtraLoadShare {
    /// The share of one of `brokers`: all that may be serving, those that are cut off included,
    /// because they go on taking their shares. No slack but the least while their number is not known (0).
    pub fn of(settings: &ExtraLoadSettings, brokers: usize) -> Self {
        let slack = if brokers == 0 { 0.0 } else { settings.slack / brokers as f64 };
        let saved = (slack * SAVED_PART).max(LEAST_SAVED);
        let with_time = (slack - saved).max(0.0);
        let per_second = with_time / settings.window.as_secs_f64();
        Self { per_request: settings.ratio, per_second, saved }
    }
}

/// The budget of one service at one broker.
#[derive(Debug, Default)]
pub struct ExtraLoadBudget {
    /// Extra requests that may be sent; below 0 where some were sent that had to be.
    level: f64,
    /// Until when what comes with time was added.
    refilled: Option<Timestamp>,
}

impl ExtraLoadBudget {
    /// A request was sent for the first time.
    pub fn earn(&mut self, share: &ExtraLoadShare, now: Timestamp) {
        self.add(share, now, share.per_request);
    }

    /// Takes one extra request; false when there is no room.
    pub fn take(&mut self, share: &ExtraLoadShare, now: Timestamp) -> bool {
        self.add(share, now, 0.0);
        if self.level + ROUNDING < 1.0 {
            return false;
        }
        self.level -= 1.0;
        true
    }

    /// Counts an extra request that was not known to be one when it was sent, whether there is room or not.
    pub fn cover(&mut self, share: &ExtraLoadShare, now: Timestamp) {
        self.add(share, now, 0.0);
        self.level -= 1.0;
    }

    /// Adds what was earned, and what has come with time.
    fn add(&mut self, share: &ExtraLoadShare, now: Timestamp, earned: f64) {
        let passed = self.refilled.map_or(Duration::ZERO, |refilled| now.since(refilled));
        let gained = earned + share.per_second * passed.as_secs_f64();
        self.level = (self.level + gained).min(share.saved);
        self.refilled = Some(now);
    }
}
