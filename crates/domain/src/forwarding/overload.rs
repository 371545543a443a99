//! Admission of requests for one destination when its leaves run short of capacity.
//!
//! While most requests are answered in time everything is admitted. When many are late or refused
//! by leaves, the requests under way are limited: the limit falls while it stays so and rises
//! slowly when it is over. A request to many shards of which only a few were late does not count. Requests of lower priority are refused first, at once, since a request
//! that cannot be answered in time only takes capacity from those that can.

use std::time::Duration;

use crate::time::Timestamp;

/// Bounds of admission.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OverloadGateSettings {
    /// Time over which outcomes are judged together.
    pub round: Duration,
    /// Share of late or refused requests above which a round is bad.
    pub bad_share: f64,
    /// Share of the parts of a late request that came in time from which on it tells of the shards
    /// that were late, and not of a lack of capacity.
    pub few_late_parts: f64,
    /// Requests that a round needs to be judged.
    pub least_samples: u32,
    /// Factor of the limit after a bad round.
    pub decrease: f64,
    /// Factor of the limit after a good round.
    pub increase: f64,
    /// Least limit.
    pub least_limit: f64,
    /// Part of the limit that each lower rank may not use.
    pub reserve: f64,
    /// Bounds of the time after which a refused caller may come back.
    pub retry_after: [Duration; 2],
}

impl Default for OverloadGateSettings {
    fn default() -> Self {
        Self {
            round: Duration::from_millis(200),
            bad_share: 0.2,
            few_late_parts: 0.75,
            least_samples: 8,
            decrease: 0.8,
            increase: 1.05,
            least_limit: 2.0,
            reserve: 0.3,
            retry_after: [Duration::from_millis(800), Duration::from_secs(4)],
        }
    }
}

/// Whether a request is served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admitted {
    /// It is; [`OverloadGate::finish`] has to follow.
    Yes,
    /// It is not; its caller may come back after this time.
    No(Duration),
}

/// How a request that was admitted has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ended {
    /// It was answered within its target latency.
    InTime,
    /// It was not.
    Late {
        /// Parts that came within the target latency, and all parts, of a request to many shards.
        parts: Option<(usize, usize)>,
    },
    /// Its caller gave it up.
    GivenUp,
}

impl Ended {
    /// Whether it tells that leaves run short; none where it tells nothing. All shards of a request
    /// get the same load: where few of them are late, these are slow, and fewer requests would not
    /// make them faster.
    fn tells_of_shortage(self, settings: &OverloadGateSettings) -> Option<bool> {
        match self {
            Self::InTime => Some(false),
            Self::Late { parts: None } => Some(true),
            Self::Late { parts: Some((in_time, whole)) } => {
                Some((in_time as f64) < whole as f64 * settings.few_late_parts)
            }
            Self::GivenUp => None,
        }
    }
}

/// Admission for one destination.
#[derive(Debug, Default)]
pub struct OverloadGate {
    in_flight: u32,
    /// None while nothing is limited.
    limit: Option<f64>,
    limited_since: Timestamp,
    round_began: Timestamp,
    good: u32,
    bad: u32,
    /// Most requests under way in the round.
    most: u32,
}

impl OverloadGate {
    /// Whether requests are limited.
    pub fn is_limiting(&self) -> bool {
        self.limit.is_some()
    }

    /// Requests under way.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Whether a request may start whose route has the `rank`-th highest priority, from 0.
    pub fn admit(
        &mut self,
        now: Timestamp,
        settings: &OverloadGateSettings,
        rank: u32,
    ) -> Admitted {
        if let Some(limit) = self.limit {
            let rank = i32::try_from(rank).unwrap_or(i32::MAX);
            let share = (1.0 - settings.reserve).powi(rank);
            let allowed = (limit * share).max(if rank == 0 { 1.0 } else { 0.0 });
            if f64::from(self.in_flight) >= allowed {
                return Admitted::No(self.retry_after(now, settings));
            }
        }
        self.in_flight += 1;
        self.most = self.most.max(self.in_flight);
        Admitted::Yes
    }

    /// A request has ended.
    pub fn finish(&mut self, now: Timestamp, settings: &OverloadGateSettings, ended: Ended) {
        self.in_flight = self.in_flight.saturating_sub(1);
        match ended.tells_of_shortage(settings) {
            Some(true) => self.bad += 1,
            Some(false) => self.good += 1,
            None => {}
        }
        if now.since(self.round_began) >= settings.round {
            self.judge(now, settings);
        }
    }

    /// As long as it has lasted already, within bounds: nobody knows how long it goes on.
    fn retry_after(&self, now: Timestamp, settings: &OverloadGateSettings) -> Duration {
        let [least, most] = settings.retry_after;
        now.since(self.limited_since).clamp(least, most)
    }

    fn judge(&mut self, now: Timestamp, settings: &OverloadGateSettings) {
        let samples = self.good + self.bad;
        if samples < settings.least_samples && now.since(self.round_began) < settings.round * 4 {
            return;
        }
        let is_bad = f64::from(self.bad) > f64::from(samples) * settings.bad_share
            && samples >= settings.least_samples;
        match (self.limit, is_bad) {
            (None, true) => {
                self.limit = Some(self.lowered(f64::from(self.most), settings));
                self.limited_since = now;
            }
            (Some(limit), true) => self.limit = Some(self.lowered(limit, settings)),
            (Some(limit), false) => {
                let raised = (limit * settings.increase).max(limit + 1.0);
                // A limit that nothing comes near is none.
                self.limit = (f64::from(self.most) * 2.0 > raised).then_some(raised);
            }
            (None, false) => {}
        }
        self.round_began = now;
        (self.good, self.bad, self.most) = (0, 0, self.in_flight);
    }

    fn lowered(&self, limit: f64, settings: &OverloadGateSettings) -> f64 {
        let used = limit.min(f64::from(self.most.max(1)));
        (used * settings.decrease).max(settings.least_limit)
    }
}
