//! Per-leaf state that a broker keeps from its own attempts, from the directory and from other
//! brokers' warnings.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::liveness::Liveness;
use super::load_report::ObservedLoad;
use super::replica_set::{Connectivity, ReplicaSettings};
use crate::directory::{LeafAvailability, ListedLeaf};
use crate::identifiers::ZoneName;
use crate::time::Timestamp;

/// Weight of the newest sample in the exponentially smoothed latency.
const LATENCY_SMOOTHING: f64 = 0.25;
/// An answer slower than this multiple of the baseline latency does not clear suspicion.
const SLOW_FACTOR: f64 = 3.0;
/// Number of failures in a row after which a leaf is ejected.
const EJECTION_THRESHOLD: u32 = 2;
/// Maximum number of doublings of the ejection time.
const EJECTION_DOUBLINGS: u32 = 3;
/// Maximum number of doublings of the time for which a late leaf is deprioritized.
const SUSPICION_DOUBLINGS: u32 = 3;

/// Network distance between a broker and a leaf.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Distance {
    /// In the broker's zone.
    Zone,
    /// In another zone of the same region.
    Region,
    /// In another region.
    Far,
}

impl Distance {
    /// Distance between two zones; `regions` maps a zone to its region. Zones without a known
    /// region count as far.
    pub fn between(from: &ZoneName, to: &ZoneName, regions: &BTreeMap<String, String>) -> Self {
        let region = |zone: &ZoneName| regions.get(zone.as_str());
        match from == to {
            true => Self::Zone,
            false if region(from).is_some() && region(from) == region(to) => Self::Region,
            false => Self::Far,
        }
    }
}

/// Outcome of an attempt at a leaf.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The leaf answered, with this latency.
    Answered(Duration),
    /// The leaf refused the request and did not run it.
    Rejected,
    /// Another leaf answered at the leaf's address.
    AddressTaken,
    /// The leaf's address refused the connection.
    ConnectionRefused,
    /// The connection failed or the answer was unusable.
    Failed,
    /// The attempt was cancelled after this time without an outcome.
    Abandoned(Duration),
}

/// Observed state of one leaf.
#[derive(Debug)]
pub struct Replica {
    pub(super) distance: Distance,
    pub(super) slots: u32,
    pub(super) leaving: bool,
    /// Address given by the directory.
    address: SocketAddr,
    /// Whether another leaf answered at the address. A leaf that has ended does not come back: its
    /// successor has another identity.
    address_taken: bool,
    pub(super) liveness: Liveness,
    pub(super) in_flight: u32,
    latency: Option<f64>,
    observed: Timestamp,
    /// Time of the last answer to this broker.
    answered_at: Option<Timestamp>,
    pub(super) load: ObservedLoad,
    /// Late attempts since the last answer; doubles the time of suspicion.
    late_attempts: u32,
    suspect_until: Timestamp,
    consecutive_failures: u32,
    ejections: u32,
    ejected_until: Timestamp,
    rejected_until: Timestamp,
    /// End of the current warning of other brokers that the leaf is slow.
    pub(super) slow_until: Timestamp,
    /// End of the current warning of other brokers that the leaf loses answers or refuses requests.
    pub(super) failing_until: Timestamp,
}

impl Replica {
    pub(super) fn new(now: Timestamp, leaf: &ListedLeaf, distance: Distance) -> Self {
        Self {
            distance,
            slots: leaf.slots.max(1),
            leaving: leaf.availability == LeafAvailability::Leaving,
            address: leaf.address,
            address_taken: false,
            liveness: Liveness::listed(now),
            in_flight: 0,
            latency: None,
            observed: Timestamp::ZERO,
            answered_at: None,
            load: ObservedLoad::default(),
            late_attempts: 0,
            suspect_until: Timestamp::ZERO,
            consecutive_failures: 0,
            ejections: 0,
            ejected_until: Timestamp::ZERO,
            rejected_until: Timestamp::ZERO,
            slow_until: Timestamp::ZERO,
            failing_until: Timestamp::ZERO,
        }
    }

    /// Applies a directory entry. A new address resets what was known of the old one.
    pub(super) fn update(&mut self, now: Timestamp, leaf: &ListedLeaf, distance: Distance) {
        self.slots = leaf.slots.max(1);
        self.leaving = leaf.availability == LeafAvailability::Leaving;
        self.distance = distance;
        if self.address != leaf.address {
            self.address = leaf.address;
            self.address_taken = false;
            self.liveness = Liveness::listed(now);
        }
    }

    /// Whether another leaf has taken the leaf's address.
    pub(super) fn is_address_taken(&self) -> bool {
        self.address_taken
    }

    /// Whether the leaf has most likely ended, so that another leaf may have its address.
    pub(super) fn is_presumed_ended(&self, now: Timestamp, settings: &ReplicaSettings) -> bool {
        self.liveness.is_presumed_ended(now, settings)
    }

    /// Whether the leaf is in service: not leaving, not ejected, its address not taken, and not
    /// presumed ended.
    pub(super) fn is_in_service(&self, now: Timestamp, settings: &ReplicaSettings) -> bool {
        let gone = self.leaving || self.address_taken || self.is_presumed_ended(now, settings);
        !gone && !self.is_ejected(now)
    }

    /// Whether the leaf is ejected after consecutive failures.
    pub(super) fn is_ejected(&self, now: Timestamp) -> bool {
        if self.consecutive_failures < EJECTION_THRESHOLD {
            return false;
        }
        // After the ejection time a single probing attempt at a time is allowed.
        now < self.ejected_until || self.in_flight > 0
    }

    /// Whether the leaf is deprioritized: an attempt is late, it has just refused work, or other
    /// brokers warn of it. After the time of suspicion a single probing attempt at a time counts as
    /// normal.
    pub(super) fn is_suspect(&self, now: Timestamp) -> bool {
        let late = self.late_attempts > 0 && (now < self.suspect_until || self.in_flight > 0);
        let is_warned = now < self.slow_until || now < self.failing_until;
        late || now < self.rejected_until || is_warned
    }

    /// Whether the leaf answered this broker within the last `span`.
    pub(super) fn has_answered_within(&self, span: Duration, now: Timestamp) -> bool {
        self.answered_at.is_some_and(|at| now.since(at) <= span)
    }

    pub(super) fn finish(
        &mut self,
        now: Timestamp,
        settings: &ReplicaSettings,
        baseline: f64,
        outcome: Outcome,
    ) {
        self.in_flight = self.in_flight.saturating_sub(1);
        match outcome {
            Outcome::Answered(latency) => self.record_answer(now, baseline, latency),
            Outcome::Rejected => {
                self.liveness.record_reply(now);
                self.late_attempts = 0;
                self.rejected_until = now.after(settings.rejection_pause);
            }
            Outcome::AddressTaken => self.address_taken = true,
            Outcome::ConnectionRefused => {
                self.liveness.record_connection_refused();
                self.record_failure(now, settings);
            }
            Outcome::Failed => self.record_failure(now, settings),
            Outcome::Abandoned(waited) => self.record_abandoned(now, settings, baseline, waited),
        }
    }

    fn record_answer(&mut self, now: Timestamp, baseline: f64, latency: Duration) {
        let known = self.latency.unwrap_or(latency.as_secs_f64());
        self.observe(now, known, latency);
        // An answer far slower than the baseline does not clear the suspicion.
        if latency.as_secs_f64() <= baseline * SLOW_FACTOR {
            self.late_attempts = 0;
            self.slow_until = Timestamp::ZERO;
        }
        self.consecutive_failures = 0;
        self.ejections = 0;
        self.answered_at = Some(now);
        self.liveness.record_reply(now);
    }

    /// An abandoned attempt gives a lower bound of the latency; it counts only above the known
    /// latency.
    fn record_abandoned(
        &mut self,
        now: Timestamp,
        settings: &ReplicaSettings,
        baseline: f64,
        waited: Duration,
    ) {
        let known = self.known_latency(now, settings, baseline);
        if waited.as_secs_f64() > known {
            self.observe(now, known, waited);
        }
    }

    fn observe(&mut self, now: Timestamp, known: f64, sample: Duration) {
        self.latency = Some(known + LATENCY_SMOOTHING * (sample.as_secs_f64() - known));
        self.observed = now;
    }

    fn record_failure(&mut self, now: Timestamp, settings: &ReplicaSettings) {
        self.consecutive_failures += 1;
        self.liveness.record_miss(now, settings);
        if self.consecutive_failures >= EJECTION_THRESHOLD {
            let span = settings.ejection * 2u32.pow(self.ejections.min(EJECTION_DOUBLINGS));
            self.ejected_until = now.after(span);
            self.ejections += 1;
        }
    }

    /// Records that an attempt has exceeded its expected latency.
    pub(super) fn mark_late(&mut self, now: Timestamp, settings: &ReplicaSettings) {
        // Attempts that are late at the same time share one cause and count once.
        if now < self.suspect_until {
            return;
        }
        let doublings = self.late_attempts.min(SUSPICION_DOUBLINGS);
        self.suspect_until =
            self.suspect_until.max(now.after(settings.suspicion * (1 << doublings)));
        self.late_attempts += 1;
        self.liveness.record_miss(now, settings);
    }

    /// Records that an attempt got no answer within its deadline.
    pub(super) fn mark_silent(&mut self, now: Timestamp, settings: &ReplicaSettings) {
        self.mark_late(now, settings);
        self.record_failure(now, settings);
    }

    /// The smoothed latency in seconds, decaying to the baseline while there are no new samples.
    fn known_latency(&self, now: Timestamp, settings: &ReplicaSettings, baseline: f64) -> f64 {
        let Some(latency) = self.latency else {
            return baseline;
        };
        let age = now.since(self.observed).as_secs_f64() / settings.observation_decay.as_secs_f64();
        baseline.min(latency) + (latency - baseline).max(0.0) * (-age).exp()
    }

    /// Expected cost of an attempt in seconds: the smoothed latency, scaled by the queue in front
    /// of the slots and by the share of occupied slots, plus the cost of the distance.
    pub(super) fn expected_cost(
        &self,
        now: Timestamp,
        settings: &ReplicaSettings,
        baseline: f64,
    ) -> f64 {
        let known = self.known_latency(now, settings, baseline);
        let waiting = (self.in_flight + 1).saturating_sub(self.slots);
        let queue = 1.0 + f64::from(waiting) / f64::from(self.slots);
        let share =
            1.0 + f64::from(self.in_flight) / f64::from(self.slots) * settings.in_flight_weight;
        known * queue * share + settings.distance_cost(self.distance).as_secs_f64()
    }

    /// Expected time in seconds until a connection is available. A connection in use becomes free
    /// once its request is answered: the more are in use, the sooner the first is free.
    pub(super) fn connection_cost(
        &self,
        settings: &ReplicaSettings,
        baseline: f64,
        connectivity: Connectivity,
    ) -> f64 {
        match connectivity {
            Connectivity::Idle => 0.0,
            Connectivity::Openable => settings.connect_cost(self.distance),
            Connectivity::Exhausted => baseline / f64::from(self.in_flight.max(1)),
        }
    }
}
