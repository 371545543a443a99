//! How many requests of one broker may be under way at a destination, and how that follows what is seen.
//!
//! A fleet of a hundred brokers may have room for twenty requests at a destination. A limit may therefore be
//! below one: a broker that may have a quarter of a request under way pauses after each for three times as long
//! as it took. Limits fall in proportion to what went wrong, so that brokers that see the same leaves come to
//! similar limits without a word between them.

use std::time::Duration;

use super::overload::OverloadGateSettings;
use crate::time::Timestamp;

/// Longest pause of a broker whose limit is below one: about the time after which refused callers come back,
/// who should find out that there is room again.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);
/// Weight of the newest request in the usual time of one.
const TIME_SMOOTHING: f64 = 0.25;

/// How many requests may be under way.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Limit {
    /// As many as come.
    None,
    /// So many, and more with each that is in time: nothing is known yet.
    Rising(f64),
    /// So many on average, since leaves run short.
    Short(f64),
}

impl Limit {
    /// The limit of a rank: each lower one has a part less.
    pub(super) fn of_rank(self, settings: &OverloadGateSettings, rank: u32) -> Option<f64> {
        let (Self::Rising(limit) | Self::Short(limit)) = self else {
            return None;
        };
        let rank = i32::try_from(rank).unwrap_or(i32::MAX);
        Some(limit * (1.0 - settings.reserve).powi(rank))
    }

    /// The limit, and no more than `most` where that is not below the least one.
    pub(super) fn at_most(self, most: f64, settings: &OverloadGateSettings) -> Self {
        match self {
            Self::Short(limit) => Self::Short(limit.min(most.max(settings.least_limit))),
            Self::None | Self::Rising(_) => self,
        }
    }

    /// The limit after a sign of room, where it is below one.
    pub(super) fn raised_below_one(self, settings: &OverloadGateSettings) -> Self {
        match self {
            Self::Short(limit) if limit < 1.0 => Self::Short(raised(limit, settings)),
            other => other,
        }
    }

    /// The limit after a sign of shortage, where `most` requests were under way.
    pub(super) fn lowered(self, most: u32, factor: f64, settings: &OverloadGateSettings) -> Self {
        let most = f64::from(most.max(1));
        let used = match self {
            Self::Short(limit) => limit.min(most),
            Self::None | Self::Rising(_) => most,
        };
        Self::Short((used * factor).max(settings.least_limit))
    }
}

/// A limit after a round without shortage.
pub(super) fn raised(limit: f64, settings: &OverloadGateSettings) -> f64 {
    let step = (limit * (settings.increase_below_one - 1.0)).min(1.0);
    (limit * settings.increase).max(limit + step)
}

/// The pauses of a broker whose limit is below one.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Pauses {
    last_begun: Timestamp,
    last_ended: Timestamp,
    /// How long the last request took.
    last_took: Duration,
    /// How long requests that are answered in time take, smoothed.
    usual: Duration,
}

impl Pauses {
    /// A request begins.
    pub(super) fn begun(&mut self, now: Timestamp) {
        self.last_begun = now;
    }

    /// The request that began last has ended, as has any other.
    pub(super) fn ended(&mut self, now: Timestamp, in_time: bool) {
        self.last_ended = now;
        self.last_took = now.since(self.last_begun);
        if in_time {
            let change = self.last_took.mul_f64(TIME_SMOOTHING);
            self.usual = self.usual.mul_f64(1.0 - TIME_SMOOTHING) + change;
        }
    }

    /// Time from the end of one request to the beginning of the next for which there is a limit below one. A
    /// request that failed at once pauses as long as an answered one.
    pub(super) fn length(&self, limit: f64) -> Duration {
        let took = self.last_took.max(self.usual).as_secs_f64();
        let pause = took * (1.0 / limit.max(f64::EPSILON) - 1.0);
        Duration::from_secs_f64(pause.clamp(0.0, LONGEST_PAUSE.as_secs_f64()))
    }

    /// When the next request may begin where none is under way.
    pub(super) fn over_at(&self, limit: f64) -> Timestamp {
        self.last_ended.after(self.length(limit))
    }

    /// Time from the beginning of one request to that of the next.
    pub(super) fn interval(&self, limit: f64) -> Duration {
        self.last_took.max(self.usual) + self.length(limit)
    }
}
