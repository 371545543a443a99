//! What came to light of several roll-outs, between two reports.

use std::collections::BTreeMap;

use super::evidence::{Evidence, RolloutReport};
use crate::identifiers::{Revision, ServiceName};

/// What tells one roll-out from all others: its service, and the revision that began it.
pub type RolloutKey = (ServiceName, Revision);

/// What came to light of each roll-out since it was reported last.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PendingEvidence {
    by_rollout: BTreeMap<RolloutKey, Evidence>,
}

impl PendingEvidence {
    /// What came to light of one roll-out, to be added to.
    pub fn of(&mut self, rollout: RolloutKey) -> &mut Evidence {
        self.by_rollout.entry(rollout).or_default()
    }

    /// What is to be reported; nothing of it is held any more.
    pub fn take_reports(&mut self) -> Vec<RolloutReport> {
        let gathered = std::mem::take(&mut self.by_rollout);
        let report = |((service, begun), evidence)| RolloutReport { service, begun, evidence };
        gathered.into_iter().map(report).collect()
    }
}
