//! The requests that no broker sends to leaves, because leaves crash under them.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::WallTime;
use crate::crash_suspects::{CrashFinding, REFUSAL_RETENTION, RequestDigest, Verdict};

/// Requests that are kept: fewer than a broker keeps.
const REFUSED_LIMIT: usize = 512;
/// Trials of a request over all brokers: a leaf ends under each if the verdict is right. After them only an operator
/// can release the request.
const TRIAL_LIMIT: u32 = 2;
/// Time from a trial to the next one, if no leaf ends under the first.
const TRIAL_INTERVAL: Duration = Duration::from_secs(300);
/// What brokers are told where no trial is left.
const NO_TRIAL_MS: u32 = u32::MAX;

/// A request under which leaves have ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusedRequest {
    /// Name of its route.
    pub route: String,
    /// Leaves that ended under it, as far as is known.
    pub leaves: u32,
    /// Trials that were granted.
    pub trials: u32,
    /// From when on the next trial may be granted; none where no trial is left.
    pub next_trial: Option<WallTime>,
    /// When it was last proved to crash leaves, or a trial was granted.
    changed: WallTime,
}

/// All refused requests. They are kept until a leaf replies to one, an operator releases it, or nothing is heard of it
/// for a day.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusedRequests {
    by_digest: BTreeMap<RequestDigest, RefusedRequest>,
}

impl RefusedRequests {
    /// A request by its digest.
    pub fn get(&self, digest: RequestDigest) -> Option<&RefusedRequest> {
        self.by_digest.get(&digest)
    }

    /// All of them by digest.
    pub fn all(&self) -> impl Iterator<Item = (RequestDigest, &RefusedRequest)> {
        self.by_digest.iter().map(|(digest, refused)| (*digest, refused))
    }

    /// A broker proved that a request crashes leaves. The trials that were granted still count.
    pub fn refuse(&mut self, now: WallTime, finding: &CrashFinding) {
        self.make_room(finding.digest);
        let unknown = || RefusedRequest {
            route: finding.route.clone(),
            leaves: 0,
            trials: 0,
            next_trial: None,
            changed: now,
        };
        let refused = self.by_digest.entry(finding.digest).or_insert_with(unknown);
        refused.leaves = refused.leaves.max(finding.leaves);
        refused.wait_for_trial(now, Duration::from_millis(finding.for_ms.into()));
    }

    /// Grants a trial of a request, if one is due; gives whether it was granted.
    pub fn grant_trial(&mut self, now: WallTime, digest: RequestDigest) -> bool {
        let Some(refused) = self.by_digest.get_mut(&digest) else {
            return false;
        };
        if refused.next_trial.is_none_or(|due| now < due) {
            return false;
        }
        refused.trials += 1;
        refused.wait_for_trial(now, TRIAL_INTERVAL);
        true
    }

    /// A leaf replied to a request, or an operator releases it; gives whether it was refused.
    pub fn release(&mut self, digest: RequestDigest) -> bool {
        self.by_digest.remove(&digest).is_some()
    }

    /// Forgets what nothing was heard of for a day.
    pub fn expire(&mut self, now: WallTime) {
        self.by_digest.retain(|_, refused| now.since(refused.changed) < REFUSAL_RETENTION);
    }

    /// What brokers are told of a request.
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

    /// Drops the request that was heard of longest ago where there is no room for one more.
    fn make_room(&mut self, digest: RequestDigest) {
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
    fn wait_for_trial(&mut self, now: WallTime, span: Duration) {
        self.changed = now;
        self.next_trial = (self.trials < TRIAL_LIMIT).then_some(now.after(span));
    }
}
