//! Slow start: limits the request rate to a cold leaf, after its start or the restoration of its
//! zone.
//!
//! The configured rate holds for all brokers together and is divided without coordination: it is
//! split into whole requests per second, which are assigned to the brokers in an order that each of
//! them computes alike, those of the leaf's zone first. A broker without an assigned request sends
//! none, so that the sum does not round up however many brokers there are.
//! `docs/design/cold-leaves.md` compares the alternatives.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::replica::Distance;
use crate::feed::KnownBroker;
use crate::hash::hash;
use crate::identifiers::{BrokerName, LeafIdentity};
use crate::time::Timestamp;

/// Salt of the hash that orders the brokers for a leaf.
const ORDER_SALT: u64 = 0x636f_6c64;
/// Factor by which the interval between two requests exceeds the nominal one, so that no window of
/// a second holds an extra request at its edge.
const SPACING: f64 = 1.02;

/// Slow-start settings of a service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdStart {
    /// Time for which a leaf is cold, in milliseconds.
    pub span_ms: u64,
    /// Limit of requests to a cold leaf from all brokers together, per 1,000 seconds; 0 for no
    /// limit.
    pub requests_per_1000_s: u32,
}

impl ColdStart {
    /// Time for which a leaf is cold.
    pub fn span(self) -> Duration {
        Duration::from_millis(self.span_ms)
    }

    /// Whether the rate to cold leaves is limited.
    pub fn is_limited(self) -> bool {
        self.requests_per_1000_s > 0
    }
}

/// Share of one broker in the rate to a cold leaf: one request per interval, or none.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdShare {
    interval: Option<Duration>,
}

impl ColdShare {
    /// No request.
    pub const NOTHING: Self = Self { interval: None };
    /// Minimum age of a process to get a share: a predecessor under the same name may have sent
    /// within the last second.
    pub const LEAST_AGE: Duration = Duration::from_millis(1_100);

    /// The share of `own` among all `brokers` that may be serving; `distance` gives the distance of
    /// a broker from the leaf. The share is nothing while `own` is not among them or its process is
    /// younger than [`Self::LEAST_AGE`].
    pub fn of(
        start: ColdStart,
        leaf: &LeafIdentity,
        own: &BrokerName,
        age: Duration,
        brokers: &[KnownBroker],
        distance: impl Fn(&KnownBroker) -> Distance,
    ) -> Self {
        let known = brokers.iter().find(|broker| &broker.entry.name == own);
        let Some(known) = known.filter(|_| age >= Self::LEAST_AGE) else {
            return Self::NOTHING;
        };
        let place = |broker: &KnownBroker| {
            let name = broker.entry.name.as_str();
            let key = format!("{}/{name}", leaf.as_str());
            (distance(broker), hash(key.as_bytes(), ORDER_SALT), name.to_owned())
        };
        let own_place = place(known);
        let rank = brokers.iter().filter(|broker| place(broker) < own_place).count();
        let requests = (start.requests_per_1000_s / 1_000) as usize;
        if requests == 0 {
            // Below one request per second a single broker, the first in the order, sends them all.
            let each = 1_000.0 / f64::from(start.requests_per_1000_s.max(1));
            return if rank == 0 { Self::every(each) } else { Self::NOTHING };
        }
        let own_requests = requests / brokers.len() + usize::from(rank < requests % brokers.len());
        match own_requests {
            0 => Self::NOTHING,
            count => Self::every(1.0 / count as f64),
        }
    }

    fn every(seconds: f64) -> Self {
        Self { interval: Some(Duration::from_secs_f64(seconds * SPACING)) }
    }
}

#[derive(Debug, Clone, Copy)]
struct ColdLeaf {
    until: Timestamp,
    /// Earliest time of the next request of this broker.
    next: Timestamp,
}

/// Cold leaves as one broker knows them.
#[derive(Debug, Default)]
pub struct ColdLeaves {
    leaves: BTreeMap<LeafIdentity, ColdLeaf>,
}

impl ColdLeaves {
    /// Marks a leaf as cold until `until`, or until the known end if that is later.
    pub fn mark_cold(&mut self, leaf: &LeafIdentity, until: Timestamp) {
        let entry = self.leaves.entry(leaf.clone());
        let cold = entry.or_insert(ColdLeaf { until, next: Timestamp::ZERO });
        cold.until = cold.until.max(until);
    }

    /// Whether a leaf is cold at `now`.
    pub fn is_cold(&self, now: Timestamp, leaf: &LeafIdentity) -> bool {
        self.leaves.get(leaf).is_some_and(|cold| now < cold.until)
    }

    /// Whether a request may be sent to a leaf now: the leaf is not cold, or the share of this
    /// broker has room.
    pub fn has_room(&self, now: Timestamp, leaf: &LeafIdentity, share: ColdShare) -> bool {
        match self.leaves.get(leaf).filter(|cold| now < cold.until) {
            Some(cold) => share.interval.is_some() && now >= cold.next,
            None => true,
        }
    }

    /// Records a request to a leaf.
    pub fn sent(&mut self, now: Timestamp, leaf: &LeafIdentity, share: ColdShare) {
        if let (Some(cold), Some(interval)) = (self.leaves.get_mut(leaf), share.interval) {
            cold.next = now.after(interval);
        }
    }

    /// Removes the leaves that are no longer cold.
    pub fn forget_warm(&mut self, now: Timestamp) {
        self.leaves.retain(|_, cold| now < cold.until);
    }

    /// Number of cold leaves.
    pub fn count(&self, now: Timestamp) -> usize {
        self.leaves.values().filter(|cold| now < cold.until).count()
    }
}
