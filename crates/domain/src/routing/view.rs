//! What this broker knows of one leaf.

use std::time::Duration;

use super::Observation;
use super::ejection::Ejection;
use crate::time::Timestamp;

/// Weight of the newest latency in the smoothed latency.
const LATENCY_SMOOTHING: f64 = 0.2;
/// Weight of the newest reply in the smoothed share of refusals.
const REFUSAL_SMOOTHING: f64 = 0.2;
/// How much dearer a leaf counts that refuses everything.
const REFUSAL_PENALTY: f64 = 16.0;
/// Time over which an unrefreshed latency loses half its distance to the common one.
const LATENCY_HALF_LIFE: f64 = 5.0;
/// Latency in seconds below which leaves count as equally fast.
const LATENCY_FLOOR: f64 = 0.000_1;
/// Time over which a cold or returned leaf is given its full share.
const SLOW_START: Duration = Duration::from_secs(10);
/// Share that a cold leaf starts with.
const SLOW_START_SHARE: f64 = 0.1;
/// Silence of a leaf after which it is asked for its mark.
const PROBE_AFTER: Duration = Duration::from_secs(1);
/// Silence of a leaf after which what it said of itself is out of date.
const CURRENT_FOR: Duration = Duration::from_millis(2500);
/// Latencies that make a leaf's smoothed latency comparable with its peers'.
const COMPARABLE_LATENCIES: u32 = 20;

/// Who says that a leaf is leaving.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DrainSources {
    /// The operator, in the catalog.
    pub operator: bool,
    /// The leaf, on a reply.
    pub leaf: bool,
    /// The platform, on its list of leaving machines.
    pub platform: bool,
    /// The operator, for the whole zone.
    pub zone: bool,
}

impl DrainSources {
    /// Whether any source says so; the first to arrive wins.
    pub fn any(self) -> bool {
        self.operator || self.leaf || self.platform || self.zone
    }
}

/// What this broker knows of one leaf.
#[derive(Debug, Default)]
pub struct LeafView {
    /// Requests in flight from this broker.
    pub in_flight: u32,
    /// Who says that the leaf is leaving.
    pub drain: DrainSources,
    /// Whether it is left out for doing badly.
    pub ejection: Ejection,
    /// Connections that this broker may open to it.
    pub connection_limit: usize,
    smoothed_latency: f64,
    latencies: u32,
    observed: Timestamp,
    refusals: f64,
    cold_since: Option<Timestamp>,
    marked: Timestamp,
    heard: Timestamp,
    probed: Option<Timestamp>,
}

impl LeafView {
    /// A leaf that this broker meets at `now` together with all others.
    pub fn first(now: Timestamp) -> Self {
        Self { heard: now, ..Self::default() }
    }

    /// A leaf that this broker meets at `now` while others are known already.
    pub fn cold(now: Timestamp) -> Self {
        Self { cold_since: Some(now), ..Self::first(now) }
    }

    /// Whether the leaf said lately whether it is leaving.
    pub fn is_current(&self, now: Timestamp) -> bool {
        now.since(self.heard) <= CURRENT_FOR
    }

    /// Whether the leaf was silent for so long that it is to be asked for its mark.
    pub fn wants_probe(&self, now: Timestamp) -> bool {
        let last = self.probed.map_or(self.heard, |probed| probed.max(self.heard));
        now.since(last) >= PROBE_AFTER
    }

    /// A probe is sent.
    pub fn probe_sent(&mut self, now: Timestamp) {
        self.probed = Some(now);
    }

    /// The leaf answered the last probe that was sent.
    pub fn probe_answered(&mut self, now: Timestamp, draining: bool) {
        if let Some(sent) = self.probed {
            self.mark(now, sent, draining);
        }
    }

    /// Whether new work may be sent to it.
    pub fn takes_new_work(&self) -> bool {
        !self.drain.any()
    }

    /// Starts the slow start anew.
    pub fn cool(&mut self, now: Timestamp) {
        self.cold_since = Some(now);
    }

    /// Takes in how a request ended.
    pub fn observe(&mut self, now: Timestamp, observation: Observation) {
        match observation {
            Observation::Answered(latency) => {
                self.record_latency(now, latency);
                self.refusals -= REFUSAL_SMOOTHING * self.refusals;
            }
            Observation::Refused => self.refusals += REFUSAL_SMOOTHING * (1.0 - self.refusals),
            // What was waited for in vain is a lower bound of the latency.
            Observation::Cancelled(waited) | Observation::Failed(waited)
                if waited.as_secs_f64() > self.smoothed_latency =>
            {
                self.record_latency(now, waited);
            }
            Observation::Cancelled(_) | Observation::Failed(_) => {}
        }
    }

    /// The leaf said on the reply to a request sent at `sent` whether it is leaving. A word
    /// that it is not counts only on a request sent after the word that it is.
    pub fn mark(&mut self, now: Timestamp, sent: Timestamp, draining: bool) {
        self.heard = now;
        if draining {
            self.drain.leaf = true;
            self.marked = now;
        } else if self.drain.leaf && sent > self.marked {
            self.drain.leaf = false;
            self.cool(now);
        }
    }

    /// Smoothed latency in seconds, if enough was measured to compare it with others'.
    pub fn comparable_latency(&self) -> Option<f64> {
        (self.latencies >= COMPARABLE_LATENCIES).then_some(self.smoothed_latency)
    }

    /// Forgets the latency, so that a returned leaf is judged by new ones.
    pub fn forget_latency(&mut self) {
        self.latencies = 0;
    }

    /// Expected time to serve one more request, in seconds; `common` stands in for a leaf that
    /// was not measured.
    pub fn cost(&self, now: Timestamp, common: f64) -> f64 {
        let queue = f64::from(self.in_flight + 1);
        let penalty = 1.0 + REFUSAL_PENALTY * self.refusals;
        queue * self.latency(now, common).max(LATENCY_FLOOR) * penalty / self.share(now)
    }

    fn latency(&self, now: Timestamp, common: f64) -> f64 {
        if self.latencies == 0 {
            return common;
        }
        let idle = now.since(self.observed).as_secs_f64();
        let kept = (-idle / LATENCY_HALF_LIFE).exp2();
        common + (self.smoothed_latency - common) * kept
    }

    /// Share of its full load that the leaf is given, from [`SLOW_START_SHARE`] to 1.
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
        if self.latencies == 0 {
            self.smoothed_latency = seconds;
        }
        self.smoothed_latency += LATENCY_SMOOTHING * (seconds - self.smoothed_latency);
        self.latencies = self.latencies.saturating_add(1);
        self.observed = now;
    }
}
