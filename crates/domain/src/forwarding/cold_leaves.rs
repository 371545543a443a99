//! What a leaf gets while it is cold: after its start, or after its zone was restored.
//!
//! All brokers together may send it a stated rate. They share it without a word between them: the
//! rate is cut into whole requests a second, and these go to the brokers in an order that all of
//! them compute alike, those of the leaf's zone first. A broker that gets none sends none, so that
//! the sum does not round up however many brokers there are. The ways weighed are in
//! `docs/design/cold-leaves.md`.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::replica::Distance;
use crate::feed::KnownBroker;
use crate::hash::hash;
use crate::identifiers::{BrokerName, LeafIdentity};
use crate::time::Timestamp;

/// Salt of the hash that orders brokers for a leaf.
const ORDER_SALT: u64 = 0x636f_6c64;
/// Part by which the time between two requests is longer than the rate says, so that no window of a
/// second holds one more at its edge.
const SPACING: f64 = 1.02;

/// How the leaves of a service start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdStart {
    /// How long a leaf is cold, in milliseconds.
    pub span_ms: u64,
    /// Requests that a cold leaf takes in 1,000 seconds from all brokers together; 0 for no limit.
    pub requests_per_1000_s: u32,
}

impl ColdStart {
    /// How long a leaf is cold.
    pub fn span(self) -> Duration {
        Duration::from_millis(self.span_ms)
    }

    /// Whether cold leaves are limited.
    pub fn is_limited(self) -> bool {
        self.requests_per_1000_s > 0
    }
}

/// What one broker may send to one cold leaf: a request each so often, or none.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdShare {
    interval: Option<Duration>,
}

impl ColdShare {
    /// Nothing.
    pub const NOTHING: Self = Self { interval: None };
    /// Age of a process from which it takes part: whatever ran under its name before may have sent in
    /// the last second.
    pub const LEAST_AGE: Duration = Duration::from_millis(1_100);

    /// The share of `own` among all `brokers` that may be serving; `distance` is theirs from the leaf. Nothing while `own` is not among
    /// them, or its process is so young that another one may have sent under its name.
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
            // Less than one a second: the first of all sends them.
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
    /// When this broker may send the next request.
    next: Timestamp,
}

/// The leaves that are cold, as one broker knows them.
#[derive(Debug, Default)]
pub struct ColdLeaves {
    leaves: BTreeMap<LeafIdentity, ColdLeaf>,
}

impl ColdLeaves {
    /// A leaf is cold until then, unless it is known to be for longer.
    pub fn mark_cold(&mut self, leaf: &LeafIdentity, until: Timestamp) {
        let known = self.leaves.entry(leaf.clone());
        let cold = known.or_insert(ColdLeaf { until, next: Timestamp::ZERO });
        cold.until = cold.until.max(until);
    }

    /// Whether a leaf is cold.
    pub fn is_cold(&self, now: Timestamp, leaf: &LeafIdentity) -> bool {
        self.leaves.get(leaf).is_some_and(|cold| now < cold.until)
    }

    /// Whether a request may be sent to a leaf now: one that is not cold, or that has room in the
    /// share of this broker.
    pub fn has_room(&self, now: Timestamp, leaf: &LeafIdentity, share: ColdShare) -> bool {
        match self.leaves.get(leaf).filter(|cold| now < cold.until) {
            Some(cold) => share.interval.is_some() && now >= cold.next,
            None => true,
        }
    }

    /// A request is sent to a leaf.
    pub fn sent(&mut self, now: Timestamp, leaf: &LeafIdentity, share: ColdShare) {
        if let (Some(cold), Some(interval)) = (self.leaves.get_mut(leaf), share.interval) {
            cold.next = now.after(interval);
        }
    }

    /// Forgets the leaves that are cold no more.
    pub fn forget_warm(&mut self, now: Timestamp) {
        self.leaves.retain(|_, cold| now < cold.until);
    }

    /// How many leaves are cold.
    pub fn count(&self, now: Timestamp) -> usize {
        self.leaves.values().filter(|cold| now < cold.until).count()
    }
}
