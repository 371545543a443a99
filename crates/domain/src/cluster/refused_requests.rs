//! Requests that all brokers refuse because they crash leaves.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::WallTime;
use crate::crash_suspects::{CrashFinding, REFUSAL_RETENTION, RequestDigest, Verdict};

/// Maximum refused requests kept; less than a broker's own limit.
const REFUSED_LIMIT: usize = 512;
/// Maximum trials of a request over all brokers. Each trial crashes a leaf if the verdict is right;
/// after the last one only an operator can release the request.
const TRIAL_LIMIT: u32 = 2;
/// Minimum interval between trials when no leaf crashes in the earlier one.
const TRIAL_INTERVAL: Duration = Duration::from_secs(300);
/// Wait reported to brokers when no trial is left.
const NO_TRIAL_MS: u32 = u32::MAX;

/// A request that has crashed leaves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusedRequest {
    /// Name of the request's route.
    pub route: String,
    /// Known number of leaves that the request crashed.
    pub leaves: u32,
    /// Number of trials granted so far.
    pub trials: u32,
    /// Earliest time of the next trial; `None` when no trial is left.
    pub next_trial: Option<WallTime>,
    /// Time of the last proof of a crash or the last granted trial.
    changed: WallTime,
}

/// All refused requests. A request is kept until a leaf answers it, an operator releases it, or it
/// has neither been proved to crash leaves nor been granted a trial for a day.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusedRequests {
    by_digest: BTreeMap<RequestDigest, RefusedRequest>,
}

impl RefusedRequests {
    /// Looks up a refused request.
    pub fn get(&self, digest: RequestDigest) -> Option<&RefusedRequest> {
        self.by_digest.get(&digest)
    }

    /// All refused requests, in the order of their digests.
    pub fn all(&self) -> impl Iterator<Item = (RequestDigest, &RefusedRequest)> {
        self.by_digest.iter().map(|(digest, refused)| (*digest, refused))
    }

    /// Records a broker's proof that a request crashes leaves; trials already granted still count.
    pub fn refuse(&mut self, now: WallTime, finding: &CrashFinding) {
        self.evict_for(finding.digest);
        let unknown = || RefusedRequest {
            route: finding.route.clone(),
            leaves: 0,
            trials: 0,
            next_trial: None,
            changed: now,
        };
        let refused = self.by_digest.entry(finding.digest).or_insert_with(unknown);
        refused.leaves = refused.leaves.max(finding.leaves);
        refused.schedule_trial(now, Duration::from_millis(finding.for_ms.into()));
    }

    /// Grants a trial of a request if one is due; returns whether it did.
    pub fn grant_trial(&mut self, now: WallTime, digest: RequestDigest) -> bool {
        let Some(refused) = self.by_digest.get_mut(&digest) else {
            return false;
        };
        if refused.next_trial.is_none_or(|due| now < due) {
            return false;
        }
        refused.trials += 1;
        refused.schedule_trial(now, TRIAL_INTERVAL);
        true
    }

    /// Releases a request that a leaf answered or an operator cleared; returns whether it existed.
    pub fn release(&mut self, digest: RequestDigest) -> bool {
        self.by_digest.remove(&digest).is_some()
    }

    /// Drops requests without a proof or a trial for [`REFUSAL_RETENTION`].
    pub fn expire(&mut self, now: WallTime) {
        self.by_digest.retain(|_, refused| now.since(refused.changed) < REFUSAL_RETENTION);
    }

    /// The finding that brokers receive for a refused request.
    pub fn finding(&self, now: WallTime, digest: RequestDigest) -> Option<CrashFinding> {
        let refused = self.by_digest.get(&digest)?;
        let left =
            |due: WallTime| u32::try_from(due.0.saturating_sub(now.0)).unwrap_or(NO_TRIAL_MS);
        Some(CrashFinding {
            digest,
            route: refused.route.clone(),
            leaves: refused.leaves,
            verdict: Verdict::Refused,
            for_ms: refused.next_trial.map_or(NO_TRIAL_MS, left),
        })
    }

    /// Evicts the least recently changed request when the limit is reached.
    fn evict_for(&mut self, digest: RequestDigest) {
        if self.by_digest.len() < REFUSED_LIMIT || self.by_digest.contains_key(&digest) {
            return;
        }
        let oldest = self.by_digest.iter().min_by_key(|(_, refused)| refused.changed);
        if let Some(oldest) = oldest.map(|(digest, _)| *digest) {
            self.by_digest.remove(&oldest);
        }
    }
}

impl RefusedRequest {
    fn schedule_trial(&mut self, now: WallTime, span: Duration) {
        self.changed = now;
        self.next_trial = (self.trials < TRIAL_LIMIT).then_some(now.after(span));
    }
}
