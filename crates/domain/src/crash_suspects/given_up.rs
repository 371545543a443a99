//! Requests that were given up while they were under way at leaves, which may end under them all the same.

use std::collections::BTreeSet;
use std::time::Duration;

use super::RequestDigest;
use crate::identifiers::{LeafIdentity, ServiceName};
use crate::time::Timestamp;

/// Time after a request was given up in which the end of its leaf is held against it: longer than a leaf works on most
/// requests.
const GIVEN_UP_LIFE: Duration = Duration::from_secs(1);
/// Requests that are kept.
const MOST_GIVEN_UP: usize = 256;

/// A request that was under way at a leaf.
#[derive(Debug, Clone)]
pub struct InFlightAttempt {
    /// The request's id, as logs give it.
    pub request: String,
    /// What is the same in all tries of the request.
    pub digest: RequestDigest,
    /// Name of its route.
    pub route: String,
    /// Service of the leaf.
    pub service: ServiceName,
    /// The leaf.
    pub leaf: LeafIdentity,
    /// When the request was sent to it.
    pub sent: Timestamp,
    /// Whether the request was under way at no other leaf meanwhile.
    pub alone: bool,
}

/// A request that was given up, and when.
#[derive(Debug)]
struct GivenUp {
    at: Timestamp,
    /// Whether its leaf was looked at since.
    is_checked: bool,
    under_way: InFlightAttempt,
}

/// The requests that were given up lately.
#[derive(Debug, Default)]
pub struct AbandonedRequests {
    kept: Vec<GivenUp>,
}

impl AbandonedRequests {
    /// A request was given up while it was under way.
    pub fn add(&mut self, now: Timestamp, under_way: InFlightAttempt) {
        self.forget(now);
        if self.kept.len() < MOST_GIVEN_UP {
            self.kept.push(GivenUp { at: now, is_checked: false, under_way });
        }
    }

    /// The leaves that were not looked at since.
    pub fn take_unchecked(&mut self) -> BTreeSet<LeafIdentity> {
        let unchecked = self.kept.iter_mut().filter(|given_up| !given_up.is_checked);
        let leaf = |given_up: &mut GivenUp| {
            given_up.is_checked = true;
            given_up.under_way.leaf.clone()
        };
        unchecked.map(leaf).collect()
    }

    /// What was given up at a leaf, which is not kept any more then.
    pub fn take_at(&mut self, now: Timestamp, leaf: &LeafIdentity) -> Vec<InFlightAttempt> {
        self.forget(now);
        let (there, elsewhere) = std::mem::take(&mut self.kept)
            .into_iter()
            .partition(|given_up| given_up.under_way.leaf == *leaf);
        self.kept = elsewhere;
        let there: Vec<GivenUp> = there;
        there.into_iter().map(|given_up| given_up.under_way).collect()
    }

    fn forget(&mut self, now: Timestamp) {
        self.kept.retain(|given_up| now.since(given_up.at) < GIVEN_UP_LIFE);
    }
}
