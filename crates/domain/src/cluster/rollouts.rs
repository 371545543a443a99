//! Roll-outs in the replicated state: evidence from brokers and the transitions it causes.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{AcceptedChange, ClusterState, WallTime};
use crate::catalog::Change;
use crate::identifiers::{Revision, ServiceName, SessionName};
use crate::rollout::{
    Evidence, Rollout, RolloutAdvance, RolloutReport, RolloutStage, Verdict, evaluate,
};

/// Session name of catalog changes made by the control processes themselves.
const CONTROL_SESSION: &str = "control";

/// Evidence that brokers reported on the newest roll-out of each service. It is kept after the
/// roll-out ends, so that operators can see what decided it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutEvidence {
    by_service: BTreeMap<ServiceName, (Revision, Evidence)>,
}

impl RolloutEvidence {
    /// Evidence reported on a roll-out, if any.
    pub fn of(&self, rollout: &Rollout) -> Option<&Evidence> {
        let (begun, evidence) = self.by_service.get(&rollout.order.service)?;
        (*begun == rollout.begun).then_some(evidence)
    }

    fn add(&mut self, report: &RolloutReport) -> &Evidence {
        let fresh = || (report.begun, Evidence::default());
        let known = self.by_service.entry(report.service.clone()).or_insert_with(fresh);
        if known.0 != report.begun {
            *known = fresh();
        }
        known.1.merge(&report.evidence);
        &known.1
    }
}

impl ClusterState {
    /// Records evidence and rolls a version back as soon as the evidence shows it to be bad.
    /// Returns the roll-outs that advanced to another stage.
    pub(super) fn report_rollouts(
        &mut self,
        at: WallTime,
        reports: &[RolloutReport],
    ) -> Vec<RolloutAdvance> {
        let mut advanced = Vec::new();
        for report in reports {
            if !self.is_under_way(report) {
                continue;
            }
            if let Verdict::Regressed(cause) = evaluate(self.rollout_evidence.add(report)) {
                let stage = RolloutStage::RolledBack(cause);
                let (service, begun) = (report.service.clone(), report.begun);
                advanced
                    .extend(self.advance_rollout(at, &RolloutAdvance { service, begun, stage }));
            }
        }
        advanced
    }

    fn is_under_way(&self, report: &RolloutReport) -> bool {
        let rollout = self.catalog.rollouts().get(&report.service);
        rollout.is_some_and(|newest| newest.begun == report.begun && newest.stage.is_under_way())
    }

    /// Advances a roll-out; `None` when the catalog rejects the step, as when it was already made.
    pub(super) fn advance_rollout(
        &mut self,
        at: WallTime,
        step: &RolloutAdvance,
    ) -> Option<RolloutAdvance> {
        let change = Change::AdvanceRollout(step.clone());
        let revision = self.catalog.apply(&change).ok()?;
        let session = SessionName::new(CONTROL_SESSION);
        self.history.push(AcceptedChange { revision, at, session, change });
        Some(step.clone())
    }
}
