//! Outcomes of requests to two versions, as reported by brokers.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::latency_bucket::LatencyBucket;
use crate::forwarding::Distance;
use crate::identifiers::{LeafIdentity, Revision, ServiceName};

/// A group of requests with comparable latencies.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Stratum {
    /// Route name.
    pub route: String,
    /// Distance of the leaf.
    pub distance: Distance,
}

/// Counted outcomes of requests to leaves.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeCounts {
    /// Answered requests by latency.
    pub answered: BTreeMap<LatencyBucket, u32>,
    /// Requests that the leaf failed or lost.
    pub failed: u32,
    /// Requests abandoned before an answer, by the time waited.
    pub given_up: BTreeMap<LatencyBucket, u32>,
}

impl OutcomeCounts {
    /// Adds the counts of `other`.
    pub fn merge(&mut self, other: &Self) {
        add_all(&mut self.answered, &other.answered);
        self.failed += other.failed;
        add_all(&mut self.given_up, &other.given_up);
    }

    /// Number of answered requests.
    pub fn answers(&self) -> u32 {
        self.answered.values().sum()
    }
}

fn add_all(sum: &mut BTreeMap<LatencyBucket, u32>, more: &BTreeMap<LatencyBucket, u32>) {
    for (bucket, count) in more {
        *sum.entry(*bucket).or_default() += count;
    }
}

/// Outcomes by leaf of a version, to distinguish a single faulty leaf from a faulty version.
pub type LeafOutcomes = BTreeMap<LeafIdentity, OutcomeCounts>;

/// Outcomes of the requests for a service during a rollout. Leaves of any version other than the
/// target are present leaves.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// Number of requests for the service.
    pub requests: u64,
    /// Number of requests sent to the target version.
    pub exposed: u64,
    /// Outcomes at present leaves.
    pub present: BTreeMap<Stratum, OutcomeCounts>,
    /// Outcomes at leaves of the target version.
    pub target: BTreeMap<Stratum, LeafOutcomes>,
}

impl Evidence {
    /// Adds the counts of `other`.
    pub fn merge(&mut self, other: &Self) {
        self.requests += other.requests;
        self.exposed += other.exposed;
        for (stratum, tally) in &other.present {
            self.present.entry(stratum.clone()).or_default().merge(tally);
        }
        for (stratum, leaves) in &other.target {
            let sum = self.target.entry(stratum.clone()).or_default();
            for (leaf, tally) in leaves {
                sum.entry(leaf.clone()).or_default().merge(tally);
            }
        }
    }
}

/// Evidence on one rollout since the last report. Lost reports are not sent again, since later
/// reports carry equivalent evidence.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutReport {
    /// The service of the rollout.
    pub service: ServiceName,
    /// The catalog revision that began the rollout.
    pub begun: Revision,
    /// The evidence since the last report.
    pub evidence: Evidence,
}
