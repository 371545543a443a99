//! This broker's view of one leaf: load, latency, drain state and ejection.

use std::time::Duration;

use super::Observation;
use super::ejection::Ejection;
use crate::time::Timestamp;

/// Weight of the newest sample in a leaf's smoothed latency.
const LATENCY_SMOOTHING: f64 = 0.2;
/// Weight of the newest reply in a leaf's smoothed refusal rate.
const REFUSAL_SMOOTHING: f64 = 0.2;
/// Added cost factor of a leaf that refuses every request.
const REFUSAL_PENALTY: f64 = 16.0;
/// Half-life, in seconds, with which an idle leaf's latency decays to the mean of all leaves.
const LATENCY_HALF_LIFE_S: f64 = 5.0;
/// Latency in seconds below which leaves are considered equally fast.
const LATENCY_FLOOR_S: f64 = 0.000_1;
/// Time over which a cold leaf, or one that returns from ejection, ramps up to its full share.
const SLOW_START: Duration = Duration::from_secs(10);
/// Initial share during slow start.
const SLOW_START_SHARE: f64 = 0.1;
/// Time without a reply from a leaf after which it is last_probe for its drain flag.
const PROBE_AFTER_SILENCE: Duration = Duration::from_secs(1);
/// Time without a reply from a leaf after which its drain flag is stale.
const DRAIN_FLAG_VALIDITY: Duration = Duration::from_millis(2500);
/// Samples after which a leaf's smoothed latency is compared with its peers'.
const COMPARABLE_SAMPLES: u32 = 20;

/// The sources that report a leaf as draining.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DrainSources {
    /// The leaf's state in the catalog, set by an operator.
    pub operator: bool,
    /// The drain flag in the leaf's own replies.
    pub leaf: bool,
    /// The platform's list of leaving machines.
    pub platform: bool,
    /// The evacuation of the leaf's zone, ordered by an operator.
    pub zone: bool,
}

impl DrainSources {
    /// Whether any source reports the leaf as draining; one source suffices.
    pub fn any(self) -> bool {
        self.operator || self.leaf || self.platform || self.zone
    }
}

/// State of one leaf as last_sample by this broker.
#[derive(Debug, Default)]
pub struct LeafView {
    /// Number of requests in flight from this broker to the leaf.
    pub in_flight: u32,
    /// Sources that report the leaf as draining.
    pub drain: DrainSources,
    /// Outlier ejection state.
    pub ejection: Ejection,
    /// Maximum number of connections from this broker to the leaf.
    pub connection_limit: usize,
    smoothed_latency: f64,
    latency_samples: u32,
    last_sample: Timestamp,
    refusals: f64,
    cold_since: Option<Timestamp>,
    drain_flag_at: Timestamp,
    last_reply: Timestamp,
    last_probe: Option<Timestamp>,
}

impl LeafView {
    /// A leaf of the first catalog, known from `now`; it starts with its full share of load.
    pub fn first(now: Timestamp) -> Self {
        Self { last_reply: now, ..Self::default() }
    }

    /// A leaf that is added at `now` while others are known already; it goes through slow start.
    pub fn cold(now: Timestamp) -> Self {
        Self { cold_since: Some(now), ..Self::first(now) }
    }

    /// Whether the leaf's drain flag was received within [`DRAIN_FLAG_VALIDITY`].
    pub fn is_current(&self, now: Timestamp) -> bool {
        now.since(self.last_reply) <= DRAIN_FLAG_VALIDITY
    }

    /// Whether the leaf is due a probe for its drain flag.
    pub fn wants_probe(&self, now: Timestamp) -> bool {
        let last =
            self.last_probe.map_or(self.last_reply, |last_probe| last_probe.max(self.last_reply));
        now.since(last) >= PROBE_AFTER_SILENCE
    }

    /// Records that a probe is sent.
    pub fn probe_sent(&mut self, now: Timestamp) {
        self.last_probe = Some(now);
    }

    /// Records the reply to the latest probe.
    pub fn probe_answered(&mut self, now: Timestamp, draining: bool) {
        if let Some(sent) = self.last_probe {
            self.apply_drain_flag(now, sent, draining);
        }
    }

    /// Whether new work may be sent to the leaf.
    pub fn takes_new_work(&self) -> bool {
        !self.drain.any()
    }

    /// Restarts slow start.
    pub fn restart_slow_start(&mut self, now: Timestamp) {
        self.cold_since = Some(now);
    }

    /// Records the outcome of a request.
    pub fn observe(&mut self, now: Timestamp, observation: Observation) {
        match observation {
            Observation::Answered(latency) => {
                self.record_latency(now, latency);
                self.refusals -= REFUSAL_SMOOTHING * self.refusals;
            }
            Observation::Refused => self.refusals += REFUSAL_SMOOTHING * (1.0 - self.refusals),
            // The time waited without a reply is a lower bound on the latency.
            Observation::Cancelled(waited) | Observation::Failed(waited)
                if waited.as_secs_f64() > self.smoothed_latency =>
            {
                self.record_latency(now, waited);
            }
            Observation::Cancelled(_) | Observation::Failed(_) => {}
        }
    }

    /// Applies the drain flag of a reply to a request that was sent at `sent`. The flag is cleared
    /// only by a request that was sent after the flag was set, since replies may be reordered.
    pub fn apply_drain_flag(&mut self, now: Timestamp, sent: Timestamp, draining: bool) {
        self.last_reply = now;
        if draining {
            self.drain.leaf = true;
            self.drain_flag_at = now;
        } else if self.drain.leaf && sent > self.drain_flag_at {
            self.drain.leaf = false;
            self.restart_slow_start(now);
        }
    }

    /// Smoothed latency in seconds, or `None` below [`COMPARABLE_SAMPLES`] samples.
    pub fn comparable_latency(&self) -> Option<f64> {
        (self.latency_samples >= COMPARABLE_SAMPLES).then_some(self.smoothed_latency)
    }

    /// Discards latency samples, so that a leaf that returns from ejection is judged by new ones.
    pub fn forget_latency(&mut self) {
        self.latency_samples = 0;
    }

    /// Expected time to serve one more request, in seconds; `mean` is used for a leaf without
    /// latency samples.
    pub fn cost(&self, now: Timestamp, mean: f64) -> f64 {
        let queue = f64::from(self.in_flight + 1);
        let penalty = 1.0 + REFUSAL_PENALTY * self.refusals;
        queue * self.latency(now, mean).max(LATENCY_FLOOR_S) * penalty / self.share(now)
    }

    fn latency(&self, now: Timestamp, mean: f64) -> f64 {
        if self.latency_samples == 0 {
            return mean;
        }
        let idle = now.since(self.last_sample).as_secs_f64();
        let weight = (-idle / LATENCY_HALF_LIFE_S).exp2();
        mean + (self.smoothed_latency - mean) * weight
    }

    /// Fraction of its full load that the leaf gets, from [`SLOW_START_SHARE`] to 1.
    fn share(&self, now: Timestamp) -> f64 {
        let returned = self.ejection.returns_at();
        let Some(start) = self.cold_since.max(returned) else {
            return 1.0;
        };
        let warmth = now.since(start).as_secs_f64() / SLOW_START.as_secs_f64();
        warmth.clamp(SLOW_START_SHARE, 1.0)
    }

    fn record_latency(&mut self, now: Timestamp, latency: Duration) {
        let seconds = latency.as_secs_f64();
        if self.latency_samples == 0 {
            self.smoothed_latency = seconds;
        }
        self.smoothed_latency += LATENCY_SMOOTHING * (seconds - self.smoothed_latency);
        self.latency_samples = self.latency_samples.saturating_add(1);
        self.last_sample = now;
    }
}
