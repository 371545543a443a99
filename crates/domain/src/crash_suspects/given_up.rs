//! Attempts that were abandoned while in flight. Their leaves may still terminate because of them.

use std::collections::BTreeSet;
use std::time::Duration;

use super::RequestDigest;
use crate::identifiers::{LeafIdentity, ServiceName};
use crate::time::Timestamp;

/// Time after an abandoned attempt in which the termination of its leaf counts against the request:
/// longer than a leaf works on most requests.
const ABANDONED_TTL: Duration = Duration::from_secs(1);
/// Maximum number of abandoned attempts that are kept.
const MAX_ABANDONED: usize = 256;

/// An attempt in flight at a leaf.
#[derive(Debug, Clone)]
pub struct InFlightAttempt {
    /// Id of the request, as written to logs.
    pub request: String,
    /// Digest of the request, equal in all its attempts.
    pub digest: RequestDigest,
    /// Name of its route.
    pub route: String,
    /// Service of the leaf.
    pub service: ServiceName,
    /// Identity of the leaf.
    pub leaf: LeafIdentity,
    /// When the request was sent to the leaf.
    pub sent: Timestamp,
    /// Whether the request was in flight at no other leaf meanwhile.
    pub alone: bool,
}

/// An abandoned attempt and the time when it was abandoned.
#[derive(Debug)]
struct Abandoned {
    at: Timestamp,
    /// Whether its leaf has been checked since.
    is_checked: bool,
    under_way: InFlightAttempt,
}

/// Recently abandoned attempts.
#[derive(Debug, Default)]
pub struct AbandonedRequests {
    kept: Vec<Abandoned>,
}

impl AbandonedRequests {
    /// Records an abandoned attempt.
    pub fn add(&mut self, now: Timestamp, under_way: InFlightAttempt) {
        self.forget(now);
        if self.kept.len() < MAX_ABANDONED {
            self.kept.push(Abandoned { at: now, is_checked: false, under_way });
        }
    }

    /// The leaves that have not been checked since, which count as checked afterwards.
    pub fn take_unchecked(&mut self) -> BTreeSet<LeafIdentity> {
        let unchecked = self.kept.iter_mut().filter(|abandoned| !abandoned.is_checked);
        let leaf = |abandoned: &mut Abandoned| {
            abandoned.is_checked = true;
            abandoned.under_way.leaf.clone()
        };
        unchecked.map(leaf).collect()
    }

    /// Removes and returns the abandoned attempts at a leaf.
    pub fn take_at(&mut self, now: Timestamp, leaf: &LeafIdentity) -> Vec<InFlightAttempt> {
        self.forget(now);
        let (there, elsewhere) = std::mem::take(&mut self.kept)
            .into_iter()
            .partition(|abandoned| abandoned.under_way.leaf == *leaf);
        self.kept = elsewhere;
        let there: Vec<Abandoned> = there;
        there.into_iter().map(|abandoned| abandoned.under_way).collect()
    }

    fn forget(&mut self, now: Timestamp) {
        self.kept.retain(|abandoned| now.since(abandoned.at) < ABANDONED_TTL);
    }
}
