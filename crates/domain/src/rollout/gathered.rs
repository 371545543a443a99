//! Evidence on rollouts collected between two reports.

use std::collections::BTreeMap;

use super::evidence::{Evidence, RolloutReport};
use crate::identifiers::{Revision, ServiceName};

/// Unique key of a rollout: its service, and the revision that began it.
pub type RolloutKey = (ServiceName, Revision);

/// Evidence on each rollout since its last report.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PendingEvidence {
    by_rollout: BTreeMap<RolloutKey, Evidence>,
}

impl PendingEvidence {
    /// The evidence on one rollout, created if missing.
    pub fn of(&mut self, rollout: RolloutKey) -> &mut Evidence {
        self.by_rollout.entry(rollout).or_default()
    }

    /// Removes all evidence and returns it as reports.
    pub fn take_reports(&mut self) -> Vec<RolloutReport> {
        let gathered = std::mem::take(&mut self.by_rollout);
        let report = |((service, begun), evidence)| RolloutReport { service, begun, evidence };
        gathered.into_iter().map(report).collect()
    }
}
