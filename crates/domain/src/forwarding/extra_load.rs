//! The budget of extra requests: hedges and retries of one service.
//!
//! All brokers together may send a share of the requests of a service again, and a few more, in
//! every window. Each broker keeps to the share of its own requests and to its part of the rest,
//! so that the sum holds without a word between them, also while some of them are cut off from the
//! others or have just been started again. A window that has moved on a little may hold
//! fewer requests than those that allowed its extra ones: settings belong somewhat below a bound that
//! has to be kept.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Timestamp;

/// Parts into which a window is cut; one more is counted, so that no window is cut short.
const WINDOW_PARTS: u32 = 10;

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

/// What one broker may take of the slack.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct SlackShare(f64);

impl SlackShare {
    /// The share of one of `brokers`: all that may be serving, those that are cut off included,
    /// because they go on taking their shares. Nothing while their number is not known (0), and
    /// nothing until the process is older than a window: whatever ran under its name before may
    /// have taken the share of that window.
    pub fn of(settings: &ExtraLoadSettings, brokers: usize, age: Duration) -> Self {
        if brokers == 0 || age < settings.window {
            return Self::default();
        }
        Self(settings.slack / brokers as f64)
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct Part {
    number: u64,
    requests: u32,
    extra: u32,
}

/// The budget of one service at one broker.
#[derive(Debug, Default)]
pub struct ExtraLoadBudget {
    parts: VecDeque<Part>,
}

impl ExtraLoadBudget {
    /// A request was sent for the first time.
    pub fn earn(&mut self, settings: &ExtraLoadSettings, now: Timestamp) {
        self.current(settings, now).requests += 1;
    }

    /// Takes one extra request; false when there is no room.
    pub fn take(
        &mut self,
        settings: &ExtraLoadSettings,
        now: Timestamp,
        slack: SlackShare,
    ) -> bool {
        self.current(settings, now);
        let requests: u32 = self.parts.iter().map(|part| part.requests).sum();
        let extra: u32 = self.parts.iter().map(|part| part.extra).sum();
        // The oldest part lies outside the window in part: its requests do not count in full.
        let oldest = self.parts.front().filter(|_| self.parts.len() > WINDOW_PARTS as usize);
        let counted = requests - oldest.map_or(0, |part| part.requests);
        let allowed = settings.ratio * f64::from(counted) + slack.0;
        if f64::from(extra + 1) > allowed {
            return false;
        }
        self.current(settings, now).extra += 1;
        true
    }

    /// Counts an extra request that was not known to be one when it was sent, whether there is room or not.
    pub fn cover(&mut self, settings: &ExtraLoadSettings, now: Timestamp) {
        self.current(settings, now).extra += 1;
    }

    /// The part of the present time; parts that lie outside the window are forgotten.
    fn current(&mut self, settings: &ExtraLoadSettings, now: Timestamp) -> &mut Part {
        let length = (settings.window / WINDOW_PARTS).as_micros().max(1) as u64;
        let number = now.as_micros() / length;
        let oldest = number.saturating_sub(u64::from(WINDOW_PARTS));
        while self.parts.front().is_some_and(|part| part.number < oldest) {
            self.parts.pop_front();
        }
        if self.parts.back().is_none_or(|part| part.number != number) {
            self.parts.push_back(Part { number, ..Part::default() });
        }
        let newest = self.parts.len() - 1;
        &mut self.parts[newest]
    }
}
