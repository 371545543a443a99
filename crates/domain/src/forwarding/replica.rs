//! What a broker has observed of one leaf.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::load_report::ObservedLoad;
use super::replica_set::{Connectivity, ReplicaSettings};
use super::signs_of_life::SignsOfLife;
use crate::directory::{LeafAvailability, ListedLeaf};
use crate::identifiers::ZoneName;
use crate::time::Timestamp;

/// Weight of the newest latency in the smoothed one.
const SMOOTHING: f64 = 0.25;
/// How many times the ordinary latency an answer of a slow leaf takes.
const SLOW_FACTOR: f64 = 3.0;
/// Failures in a row after which a leaf is left out for a while.
const FAILURES_TO_EJECT: u32 = 2;
/// Most doublings of the time for which a leaf is left out.
const EJECTION_DOUBLINGS: u32 = 3;

/// Most doublings of the time for which a late leaf is asked last.
const SUSPICION_DOUBLINGS: u32 = 3;

/// How far away a leaf is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Distance {
    /// In the own zone.
    Zone,
    /// In another zone of the own region.
    Region,
    /// In another region.
    Far,
}

impl Distance {
    /// How far one zone is from another; `regions` gives the region of each zone.
    pub fn between(from: &ZoneName, to: &ZoneName, regions: &BTreeMap<String, String>) -> Self {
        let region = |zone: &ZoneName| regions.get(zone.as_str());
        match from == to {
            true => Self::Zone,
            false if region(from).is_some() && region(from) == region(to) => Self::Region,
            false => Self::Far,
        }
    }
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The leaf answered after this time.
    Answered(Duration),
    /// The leaf said that it did not run the request.
    Rejected,
    /// Another leaf answered at its address.
    AddressTaken,
    /// Nobody listens at its address.
    ConnectionRefused,
    /// The connection failed, or the answer was not usable.
    Failed,
    /// The attempt was given up after this time, before an outcome came.
    Abandoned(Duration),
}

/// What was observed of one leaf.
#[derive(Debug)]
pub struct Replica {
    pub(super) distance: Distance,
    pub(super) slots: u32,
    pub(super) leaving: bool,
    /// Where the list says that it is.
    address: SocketAddr,
    /// Whether another leaf answered there. A leaf that has ended does not come back: its successor has
    /// another identity.
    address_taken: bool,
    pub(super) life: SignsOfLife,
    pub(super) in_flight: u32,
    latency: Option<f64>,
    observed: Timestamp,
    /// When it last answered this broker.
    answered_at: Option<Timestamp>,
    pub(super) load: ObservedLoad,
    /// Attempts that have waited longer than expected since the last answer.
    late: u32,
    suspect_until: Timestamp,
    failures: u32,
    ejections: u32,
    ejected_until: Timestamp,
    rejected_until: Timestamp,
    /// Until when other brokers' word says that the leaf is slow.
    pub(super) slow_until: Timestamp,
    /// Until when other brokers' word says that the leaf loses answers, or refuses requests.
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
            life: SignsOfLife::listed(now),
            in_flight: 0,
            latency: None,
            observed: Timestamp::ZERO,
            answered_at: None,
            load: ObservedLoad::default(),
            late: 0,
            suspect_until: Timestamp::ZERO,
            failures: 0,
            ejections: 0,
            ejected_until: Timestamp::ZERO,
            rejected_until: Timestamp::ZERO,
            slow_until: Timestamp::ZERO,
            failing_until: Timestamp::ZERO,
        }
    }

    /// Takes over what the list says of the leaf.
    pub(super) fn list(&mut self, now: Timestamp, leaf: &ListedLeaf, distance: Distance) {
        self.slots = leaf.slots.max(1);
        self.leaving = leaf.availability == LeafAvailability::Leaving;
        self.distance = distance;
        if self.address != leaf.address {
            self.address = leaf.address;
            self.address_taken = false;
            self.life = SignsOfLife::listed(now);
        }
    }

    /// Whether another leaf has its address.
    pub(super) fn is_address_taken(&self) -> bool {
        self.address_taken
    }

    /// Whether the leaf has most likely ended, and another one may have its address.
    pub(super) fn is_presumed_ended(&self, now: Timestamp, settings: &ReplicaSettings) -> bool {
        self.life.is_presumed_ended(now, settings)
    }

    /// Whether the leaf is there and stays, as far as is known, and is not left out for its failures.
    pub(super) fn is_there(&self, now: Timestamp, settings: &ReplicaSettings) -> bool {
        let gone = self.leaving || self.address_taken || self.is_presumed_ended(now, settings);
        !gone && !self.is_ejected(now)
    }

    /// Whether the leaf is left out for its failures.
    pub(super) fn is_ejected(&self, now: Timestamp) -> bool {
        if self.failures < FAILURES_TO_EJECT {
            return false;
        }
        // Once the time is over, one attempt at a time finds out whether the leaf is back.
        now < self.ejected_until || self.in_flight > 0
    }

    /// Whether the leaf owes an answer for longer than expected, or has just refused work. Once
    /// the time is over, one attempt at a time finds out whether it answers again.
    pub(super) fn is_suspect(&self, now: Timestamp) -> bool {
        let late = self.late > 0 && (now < self.suspect_until || self.in_flight > 0);
        let warned_of = now < self.slow_until || now < self.failing_until;
        late || now < self.rejected_until || warned_of
    }

    /// Whether the leaf answered this broker so short a time ago.
    pub(super) fn has_answered_within(&self, span: Duration, now: Timestamp) -> bool {
        self.answered_at.is_some_and(|at| now.since(at) <= span)
    }

    pub(super) fn finish(
        &mut self,
        now: Timestamp,
        settings: &ReplicaSettings,
        ordinary: f64,
        outcome: Outcome,
    ) {
        self.in_flight = self.in_flight.saturating_sub(1);
        match outcome {
            Outcome::Answered(latency) => self.answered(now, ordinary, latency),
            Outcome::Rejected => {
                self.life.replied(now);
                self.late = 0;
                self.rejected_until = now.after(settings.rejection_pause);
            }
            Outcome::AddressTaken => self.address_taken = true,
            Outcome::ConnectionRefused => {
                self.life.refused_connection();
                self.failed(now, settings);
            }
            Outcome::Failed => self.failed(now, settings),
            Outcome::Abandoned(waited) => self.abandoned(now, settings, ordinary, waited),
        }
    }

    fn answered(&mut self, now: Timestamp, ordinary: f64, latency: Duration) {
        let known = self.latency.unwrap_or(latency.as_secs_f64());
        self.observe(now, known, latency);
        // A leaf that answers far too late is not sound again.
        if latency.as_secs_f64() <= ordinary * SLOW_FACTOR {
            self.late = 0;
            self.slow_until = Timestamp::ZERO;
        }
        self.failures = 0;
        self.ejections = 0;
        self.answered_at = Some(now);
        self.life.replied(now);
    }

    /// The leaf takes at least as long as was waited: that counts where it is news.
    fn abandoned(
        &mut self,
        now: Timestamp,
        settings: &ReplicaSettings,
        ordinary: f64,
        waited: Duration,
    ) {
        let known = self.known_latency(now, settings, ordinary);
        if waited.as_secs_f64() > known {
            self.observe(now, known, waited);
        }
    }

    fn observe(&mut self, now: Timestamp, known: f64, sample: Duration) {
        self.latency = Some(known + SMOOTHING * (sample.as_secs_f64() - known));
        self.observed = now;
    }

    fn failed(&mut self, now: Timestamp, settings: &ReplicaSettings) {
        self.failures += 1;
        self.life.missed(now, settings);
        if self.failures >= FAILURES_TO_EJECT {
            let span = settings.ejection * 2u32.pow(self.ejections.min(EJECTION_DOUBLINGS));
            self.ejected_until = now.after(span);
            self.ejections += 1;
        }
    }

    /// An attempt has waited longer than expected.
    pub(super) fn mark_late(&mut self, now: Timestamp, settings: &ReplicaSettings) {
        // Attempts that wait together are late for one and the same reason.
        if now < self.suspect_until {
            return;
        }
        let doublings = self.late.min(SUSPICION_DOUBLINGS);
        self.suspect_until =
            self.suspect_until.max(now.after(settings.suspicion * (1 << doublings)));
        self.late += 1;
        self.life.missed(now, settings);
    }

    /// An attempt got no answer at all.
    pub(super) fn mark_silent(&mut self, now: Timestamp, settings: &ReplicaSettings) {
        self.mark_late(now, settings);
        self.failed(now, settings);
    }

    /// The smoothed latency in seconds, which tends to the ordinary one while nothing is observed.
    fn known_latency(&self, now: Timestamp, settings: &ReplicaSettings, ordinary: f64) -> f64 {
        let Some(latency) = self.latency else {
            return ordinary;
        };
        let age = now.since(self.observed).as_secs_f64() / settings.observation_decay.as_secs_f64();
        ordinary.min(latency) + (latency - ordinary).max(0.0) * (-age).exp()
    }

    /// What an attempt is expected to take, in seconds: the smoothed latency with the queue in front
    /// of the slots.
    pub(super) fn expected_cost(
        &self,
        now: Timestamp,
        settings: &ReplicaSettings,
        ordinary: f64,
    ) -> f64 {
        let known = self.known_latency(now, settings, ordinary);
        let waiting = (self.in_flight + 1).saturating_sub(self.slots);
        let queue = 1.0 + f64::from(waiting) / f64::from(self.slots);
        let share =
            1.0 + f64::from(self.in_flight) / f64::from(self.slots) * settings.in_flight_weight;
        known * queue * share + settings.distance_cost(self.distance).as_secs_f64()
    }

    /// What it takes until a connection is there, in seconds. One that is in use is free once its
    /// request is answered; the more there are, the sooner the first is.
    pub(super) fn connection_cost(
        &self,
        settings: &ReplicaSettings,
        ordinary: f64,
        connectivity: Connectivity,
    ) -> f64 {
        match connectivity {
            Connectivity::Idle => 0.0,
            Connectivity::Openable => settings.connect_cost(self.distance),
            Connectivity::Exhausted => ordinary / f64::from(self.in_flight.max(1)),
        }
    }
}
