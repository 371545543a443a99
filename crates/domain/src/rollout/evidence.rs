//! What brokers report of the answers of two versions.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::latency_bucket::LatencyBucket;
use crate::forwarding::Distance;
use crate::identifiers::{LeafIdentity, Revision, ServiceName};

/// Requests that are alike: their latencies can be compared.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Stratum {
    /// Name of their route.
    pub route: String,
    /// How far the leaf was.
    pub distance: Distance,
}

/// What became of requests to leaves.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeCounts {
    /// Requests that were answered, by how long that took.
    pub answered: BTreeMap<LatencyBucket, u32>,
    /// Requests whose answer tells of a failure of the leaf, or that the leaf lost.
    pub failed: u32,
    /// Requests that were given up before an answer, by how long it had not come.
    pub given_up: BTreeMap<LatencyBucket, u32>,
}

impl OutcomeCounts {
    /// Adds what another one counted.
    pub fn merge(&mut self, other: &Self) {
        add_all(&mut self.answered, &other.answered);
        self.failed += other.failed;
        add_all(&mut self.given_up, &other.given_up);
    }

    /// Requests that were answered.
    pub fn answers(&self) -> u32 {
        self.answered.values().sum()
    }
}

fn add_all(sum: &mut BTreeMap<LatencyBucket, u32>, more: &BTreeMap<LatencyBucket, u32>) {
    for (bucket, count) in more {
        *sum.entry(*bucket).or_default() += count;
    }
}

/// What became of requests to each leaf of a version: one leaf that ails is no fault of its version.
pub type LeafOutcomes = BTreeMap<LeafIdentity, OutcomeCounts>;

/// What became of the requests for a service while a roll-out of it is under way. A leaf whose version is not the one
/// that is rolled out is a present one.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// Requests for the service.
    pub requests: u64,
    /// Requests that were sent to the version that is rolled out.
    pub exposed: u64,
    /// Those to present leaves.
    pub present: BTreeMap<Stratum, OutcomeCounts>,
    /// Those to leaves of the version.
    pub target: BTreeMap<Stratum, LeafOutcomes>,
}

impl Evidence {
    /// Adds what another one counted.
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

/// What came to light of one roll-out since the last report. A report that is lost is not sent again: the next ones
/// tell as much.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutReport {
    /// The service.
    pub service: ServiceName,
    /// The revision that began the roll-out.
    pub begun: Revision,
    /// What came to light.
    pub evidence: Evidence,
}
