//! Findings on their way to the brokers that one control process feeds: those of these brokers, and suspicions that
//! came by the log.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{CrashFinding, RequestDigest, Verdict};
use crate::time::Timestamp;

/// Findings that are kept, as many as a broker keeps.
const MOST_FINDINGS: usize = 1024;
/// Leaves that have to have ended under a request before anybody is told.
const LEAST_LEAVES: u32 = 2;

/// A finding that lasts.
#[derive(Debug)]
struct Kept {
    finding: CrashFinding,
    until: Timestamp,
}

/// The findings that last.
#[derive(Debug, Default)]
pub struct FindingStore {
    kept: BTreeMap<RequestDigest, Kept>,
}

impl FindingStore {
    /// A broker reports; gives what the others are to be told.
    pub fn report(&mut self, now: Timestamp, findings: Vec<CrashFinding>) -> Vec<CrashFinding> {
        self.kept.retain(|_, kept| now < kept.until);
        findings.into_iter().filter(|finding| self.take(now, finding)).collect()
    }

    /// Nothing is held against a request any more.
    pub fn forget(&mut self, digest: RequestDigest) {
        self.kept.remove(&digest);
    }

    /// What lasts, for a broker that has just come.
    pub fn current(&self, now: Timestamp) -> Vec<CrashFinding> {
        let lasting = self.kept.values().filter(|kept| now < kept.until);
        let left = |kept: &Kept| CrashFinding {
            for_ms: kept.until.since(now).as_millis() as u32,
            ..kept.finding.clone()
        };
        lasting.map(left).collect()
    }

    /// Keeps a finding that says more than the one that is held.
    fn take(&mut self, now: Timestamp, finding: &CrashFinding) -> bool {
        if finding.verdict == Verdict::Cleared {
            return self.kept.remove(&finding.digest).is_some();
        }
        if finding.leaves < LEAST_LEAVES {
            return false;
        }
        let until = now.after(Duration::from_millis(finding.for_ms.into()));
        if let Some(kept) = self.kept.get(&finding.digest) {
            // Two brokers come to the same verdict at about the same time.
            let half = now.after(Duration::from_millis((finding.for_ms / 2).into()));
            let says_more = finding.verdict > kept.finding.verdict
                || finding.verdict == kept.finding.verdict && kept.until < half;
            if !says_more {
                return false;
            }
        }
        if self.kept.len() >= MOST_FINDINGS && !self.kept.contains_key(&finding.digest) {
            return false;
        }
        self.kept.insert(finding.digest, Kept { finding: finding.clone(), until });
        true
    }
}
