//! Findings that a control process relays to the brokers it feeds: those of these brokers, and
//! suspicions received through the log.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{CrashFinding, RequestDigest, Verdict};
use crate::time::Timestamp;

/// Maximum number of findings, equal to the limit of a broker.
const MAX_FINDINGS: usize = 1024;
/// Leaves that must have terminated under a request before its finding is relayed.
const MIN_LEAVES: u32 = 2;

/// A finding and its expiry.
#[derive(Debug)]
struct Kept {
    finding: CrashFinding,
    until: Timestamp,
}

/// The unexpired findings by request digest.
#[derive(Debug, Default)]
pub struct FindingStore {
    kept: BTreeMap<RequestDigest, Kept>,
}

impl FindingStore {
    /// Records findings of a broker. Returns those to relay to the other brokers.
    pub fn report(&mut self, now: Timestamp, findings: Vec<CrashFinding>) -> Vec<CrashFinding> {
        self.kept.retain(|_, kept| now < kept.until);
        findings.into_iter().filter(|finding| self.take(now, finding)).collect()
    }

    /// Removes the finding on a request.
    pub fn forget(&mut self, digest: RequestDigest) {
        self.kept.remove(&digest);
    }

    /// The unexpired findings with their remaining validity, for a broker that has just connected.
    pub fn current(&self, now: Timestamp) -> Vec<CrashFinding> {
        let lasting = self.kept.values().filter(|kept| now < kept.until);
        let left = |kept: &Kept| CrashFinding {
            for_ms: kept.until.since(now).as_millis() as u32,
            ..kept.finding.clone()
        };
        lasting.map(left).collect()
    }

    /// Stores a finding if it is stronger or lasts longer than the stored one. Returns whether it
    /// is to be relayed.
    fn take(&mut self, now: Timestamp, finding: &CrashFinding) -> bool {
        if finding.verdict == Verdict::Cleared {
            return self.kept.remove(&finding.digest).is_some();
        }
        if finding.leaves < MIN_LEAVES {
            return false;
        }
        let until = now.after(Duration::from_millis(finding.for_ms.into()));
        if let Some(kept) = self.kept.get(&finding.digest) {
            // Two brokers may reach the same verdict at about the same time.
            let half = now.after(Duration::from_millis((finding.for_ms / 2).into()));
            let says_more = finding.verdict > kept.finding.verdict
                || finding.verdict == kept.finding.verdict && kept.until < half;
            if !says_more {
                return false;
            }
        }
        if self.kept.len() >= MAX_FINDINGS && !self.kept.contains_key(&finding.digest) {
            return false;
        }
        self.kept.insert(finding.digest, Kept { finding: finding.clone(), until });
        true
    }
}
