//! The budget of extra requests: hedges and retries of one service.
//!
//! All brokers together may send a share of the requests of a service again, and a few more, the slack, in every
//! window. Each broker earns its share with each of its requests, and saves up no more than its part of the slack. So
//! whatever is sent in a window was earned in that window or saved up before it, and the sum holds without a word
//! between brokers: also where processes are killed and begin anew, and where callers move from one broker to another.

use std::time::Duration;

use crate::time::Timestamp;

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
    /// Extra requests that it saves up at most.
    saved: f64,
    /// The window.
    window: Duration,
}

impl ExtraLoadShare {
    /// The share of one of `brokers`: all that may be serving, those that are cut off included,
    /// because they go on taking their shares. No slack but the least while their number is not known (0).
    pub fn of(settings: &ExtraLoadSettings, brokers: usize) -> Self {
        let slack = if brokers == 0 { 0.0 } else { settings.slack / brokers as f64 };
        let saved = slack.max(LEAST_SAVED);
        Self { per_request: settings.ratio, saved, window: settings.window }
    }
}

/// The budget of one service at one broker. Its times count from the start of the process.
#[derive(Debug, Default)]
pub struct ExtraLoadBudget {
    /// Extra requests that may be sent; below 0 where some were sent that had to be.
    level: f64,
    /// When the last extra request was sent, or the process began: whoever ran under its name before may have sent
    /// some until then.
    last_sent: Timestamp,
}

impl ExtraLoadBudget {
    /// A request was sent for the first time.
    pub fn earn(&mut self, share: &ExtraLoadShare, now: Timestamp) {
        self.level = (self.level(share, now) + share.per_request).min(share.saved);
    }

    /// Takes one extra request; false when there is no room.
    pub fn take(&mut self, share: &ExtraLoadShare, now: Timestamp) -> bool {
        let has_room = self.level(share, now) + ROUNDING >= 1.0;
        if has_room {
            self.cover(share, now);
        }
        has_room
    }

    /// Counts an extra request that was not known to be one when it was sent, whether there is room or not.
    pub fn cover(&mut self, share: &ExtraLoadShare, now: Timestamp) {
        self.level = self.level(share, now) - 1.0;
        self.last_sent = now;
    }

    /// What may be sent now: all that may be saved up where nothing was sent for a window, since no window then holds
    /// more than that and what is earned in it. A service with few requests could have no retry for long otherwise.
    fn level(&self, share: &ExtraLoadShare, now: Timestamp) -> f64 {
        let has_rested = now.since(self.last_sent) >= share.window;
        if has_rested { share.saved } else { self.level.min(share.saved) }
    }
}
