//! Extra-load budget: limits hedges and retries of one service.
//!
//! In every window all brokers together may send a fixed ratio of the requests of a service as
//! extra requests, plus a slack. Each broker earns its part with each of its requests and saves up
//! no more than its share of the slack. Whatever is sent in a window was therefore earned in that
//! window or saved up before it, and the sum holds without coordination between brokers, also when
//! processes are killed and restarted or callers move between brokers.

use std::time::Duration;

use crate::time::Timestamp;

/// Least number of extra requests that a broker may save up; below 1 it could never send one. Where
/// the slack is smaller than the number of brokers, each may exceed its share by one.
const MIN_SAVED: f64 = 1.0;
/// Tolerance for rounding errors of the accumulated level.
const ROUNDING: f64 = 1e-9;

/// Limits on extra requests of one service over all brokers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ExtraLoadSettings {
    /// Extra requests as a ratio of first requests.
    pub ratio: f64,
    /// Length of the window.
    pub window: Duration,
    /// Extra requests of all brokers together beyond the ratio.
    pub slack: f64,
}

/// Share of one broker in the budget.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ExtraLoadShare {
    /// Extra requests earned with each request.
    per_request: f64,
    /// Maximum number of saved extra requests.
    saved: f64,
    /// Length of the window.
    window: Duration,
}

impl ExtraLoadShare {
    /// The share of one of `brokers`: all that may be serving, including partitioned ones, because
    /// they go on using their shares. While their number is unknown (0), only the minimum is saved
    /// up.
    pub fn of(settings: &ExtraLoadSettings, brokers: usize) -> Self {
        let slack = if brokers == 0 { 0.0 } else { settings.slack / brokers as f64 };
        let saved = slack.max(MIN_SAVED);
        Self { per_request: settings.ratio, saved, window: settings.window }
    }
}

/// Budget of one service at one broker. Times count from the start of the process.
#[derive(Debug, Default)]
pub struct ExtraLoadBudget {
    /// Extra requests available now; negative after uncovered ones were sent.
    level: f64,
    /// Time of the last extra request, or the start of the process: a predecessor under the same
    /// name may have sent some until then.
    last_sent: Timestamp,
}

impl ExtraLoadBudget {
    /// Earns from a request that is sent for the first time.
    pub fn earn(&mut self, share: &ExtraLoadShare, now: Timestamp) {
        self.level = (self.level(share, now) + share.per_request).min(share.saved);
    }

    /// Takes one extra request; returns false if none is available.
    pub fn take(&mut self, share: &ExtraLoadShare, now: Timestamp) -> bool {
        let has_room = self.level(share, now) + ROUNDING >= 1.0;
        if has_room {
            self.cover(share, now);
        }
        has_room
    }

    /// Charges an extra request that was not known to be one when it was sent, even without budget.
    pub fn cover(&mut self, share: &ExtraLoadShare, now: Timestamp) {
        self.level = self.level(share, now) - 1.0;
        self.last_sent = now;
    }

    /// Extra requests available now: the full savings after a window without any, since no window
    /// can then hold more than the savings and what is earned in it. A service with few requests
    /// could otherwise not retry for long.
    fn level(&self, share: &ExtraLoadShare, now: Timestamp) -> f64 {
        let was_idle = now.since(self.last_sent) >= share.window;
        if was_idle { share.saved } else { self.level.min(share.saved) }
    }
}
