//! Attempts that were abandoned while in flight. Their leaves may still terminate because of them.

use std::collections::BTreeSet;
use std::time::Duration;

use super::RequestDigest;
use crate::identifiers::{LeafIdentity, ServiceName};
use crate::time::Timestamp;

/// Time after an abandoned attempt in which the termination of its leaf counts against the request:
/// longer than a leaf works on most requests.
const ABANDONED_TTL: Duration = Duration::from_secs(1);
/// Age of an abandoned attempt at which its leaf is checked a second time: it may have run the
/// request for a while before it terminated. Early enough for the result to arrive within
/// [`ABANDONED_TTL`].
const SECOND_CHECK_AGE: Duration = Duration::from_millis(600);
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
    /// Checks of its leaf since.
    checks: u32,
    under_way: InFlightAttempt,
}

impl Abandoned {
    /// Whether its leaf is to be checked: at once, and again after [`SECOND_CHECK_AGE`].
    fn is_check_due(&self, now: Timestamp) -> bool {
        match self.checks {
            0 => true,
            1 => now.since(self.at) >= SECOND_CHECK_AGE,
            _ => false,
        }
    }
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
            self.kept.push(Abandoned { at: now, checks: 0, under_way });
        }
    }

    /// The leaves that are due for a check, which count as checked afterwards.
    pub fn take_due_checks(&mut self, now: Timestamp) -> BTreeSet<LeafIdentity> {
        self.forget(now);
        let due = self.kept.iter_mut().filter(|abandoned| abandoned.is_check_due(now));
        let leaf = |abandoned: &mut Abandoned| {
            abandoned.checks += 1;
            abandoned.under_way.leaf.clone()
        };
        due.map(leaf).collect()
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
