//! Roll-outs at this broker: which versions a request may go to, and the evidence reported of them.
//!
//! No borrow of the state is held across an `await`.

use std::cell::RefCell;
use std::time::{Duration, Instant};

use gingerkeel_domain::directory::ListedLeaf;
use gingerkeel_domain::forwarding::{AttemptError, Distance};
use gingerkeel_domain::identifiers::ServiceName;
use gingerkeel_domain::rollout::{
    Evidence, LatencyBucket, OutcomeCounts, PendingEvidence, Rollout, RolloutReport, RolloutStage,
    Rollouts, RuleContext, Stratum, VersionRules,
};
use tracing::info;

/// Lowest HTTP status that counts as a failure of the leaf.
const FIRST_FAILURE: u16 = 500;

/// Roll-outs in force at this broker.
#[derive(Default)]
pub struct RolloutTable {
    in_force: RefCell<Rollouts>,
    /// Evidence since the last report.
    evidence: RefCell<PendingEvidence>,
}

/// How an attempt at a leaf ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Conclusion {
    /// The leaf answered with this status.
    Answered(u16),
    /// The attempt failed without an answer.
    Unanswered(AttemptError),
    /// The attempt was abandoned.
    GivenUp,
}

impl RolloutTable {
    /// Replaces the roll-outs with those that control has in force.
    pub fn put_in_force(&self, rollouts: Rollouts) {
        let before = self.in_force.replace(rollouts);
        let in_force = self.in_force.borrow();
        for rollout in in_force.all() {
            let service = &rollout.order.service;
            if before.get(service) == Some(rollout) {
                continue;
            }
            let (version, stage) = (&rollout.order.target, rollout.stage.as_str());
            let share_ppm = rollout.stage.trial_share().map(|share| share.0);
            info!(event = "rollout_in_force", %service, %version, stage, share_ppm);
        }
    }

    /// Rules for the versions of a service that a request may go to.
    pub fn rules(&self, service: &ServiceName, standing: RuleContext) -> VersionRules {
        self.in_force.borrow().rules(service, standing)
    }

    /// Whether the roll-outs, in their present stage, keep all requests from a leaf.
    pub fn excludes(&self, leaf: &ListedLeaf) -> bool {
        let in_force = self.in_force.borrow();
        let Some(rollout) = in_force.get(&leaf.service) else {
            return false;
        };
        if in_force.is_taken_back(&leaf.service, &leaf.version) {
            return true;
        }
        let is_target = leaf.version == rollout.order.target;
        match rollout.stage {
            RolloutStage::RolledBack(_) => is_target,
            RolloutStage::Completed => !is_target,
            RolloutStage::Trial { .. } | RolloutStage::Moving => false,
        }
    }

    /// Number of roll-outs under way.
    pub fn under_way(&self) -> usize {
        let in_force = self.in_force.borrow();
        in_force.all().filter(|rollout| rollout.stage.is_under_way()).count()
    }

    /// Whether the version of a leaf is on trial.
    pub fn is_on_trial(&self, leaf: &ListedLeaf) -> bool {
        let in_force = self.in_force.borrow();
        in_force.get(&leaf.service).is_some_and(|rollout| {
            rollout.stage.trial_share().is_some() && leaf.version == rollout.order.target
        })
    }

    /// Counts a request for a service.
    pub fn requested(&self, service: &ServiceName) {
        self.update_evidence(service, |_, evidence| evidence.requests += 1);
    }

    /// Counts a request sent to a leaf if the leaf runs the target version.
    pub fn sent(&self, leaf: &ListedLeaf) {
        self.update_evidence(&leaf.service, |rollout, evidence| {
            evidence.exposed += u64::from(leaf.version == rollout.order.target);
        });
    }

    /// Counts the outcome and the duration of an attempt.
    pub fn ended(&self, attempt: &ObservedAttempt<'_>, conclusion: Conclusion, took: Duration) {
        let leaf = attempt.leaf;
        self.update_evidence(&leaf.service, |rollout, evidence| {
            let stratum = Stratum { route: attempt.route.to_owned(), distance: attempt.distance };
            let tally = if leaf.version == rollout.order.target {
                let leaves = evidence.target.entry(stratum).or_default();
                leaves.entry(leaf.identity.clone()).or_default()
            } else {
                evidence.present.entry(stratum).or_default()
            };
            count(tally, conclusion, LatencyBucket::of(took));
        });
    }

    /// Changes the evidence of the service's roll-out, if one is under way.
    fn update_evidence(&self, service: &ServiceName, change: impl FnOnce(&Rollout, &mut Evidence)) {
        let in_force = self.in_force.borrow();
        if in_force.is_empty() {
            return;
        }
        let newest = in_force.get(service).filter(|rollout| rollout.stage.is_under_way());
        if let Some(rollout) = newest {
            change(rollout, self.evidence.borrow_mut().of(rollout.key()));
        }
    }

    /// Takes the reports of the evidence since the last call.
    pub fn take_reports(&self) -> Vec<RolloutReport> {
        self.evidence.borrow_mut().take_reports()
    }
}

fn count(tally: &mut OutcomeCounts, conclusion: Conclusion, bucket: LatencyBucket) {
    match conclusion {
        Conclusion::Answered(status) if status < FIRST_FAILURE => {
            *tally.answered.entry(bucket).or_default() += 1;
        }
        Conclusion::Answered(_)
        | Conclusion::Unanswered(AttemptError::Lost | AttemptError::Unusable) => tally.failed += 1,
        Conclusion::GivenUp => *tally.given_up.entry(bucket).or_default() += 1,
        // The leaf was unavailable or has not run the request, which says nothing of its version.
        Conclusion::Unanswered(_) => {}
    }
}

/// An attempt whose end is counted, however it ends.
pub struct ObservedAttempt<'attempt> {
    table: &'attempt RolloutTable,
    route: &'attempt str,
    leaf: &'attempt ListedLeaf,
    distance: Distance,
    began: Instant,
    conclusion: Conclusion,
}

impl<'attempt> ObservedAttempt<'attempt> {
    /// Starts the time of an attempt, which counts as abandoned until concluded.
    pub fn begin(
        table: &'attempt RolloutTable,
        route: &'attempt str,
        leaf: &'attempt ListedLeaf,
        distance: Distance,
    ) -> Self {
        let (began, conclusion) = (Instant::now(), Conclusion::GivenUp);
        Self { table, route, leaf, distance, began, conclusion }
    }

    /// Records how the attempt ended.
    pub fn conclude(mut self, conclusion: Conclusion) {
        self.conclusion = conclusion;
    }
}

impl Drop for ObservedAttempt<'_> {
    fn drop(&mut self) {
        self.table.ended(self, self.conclusion, self.began.elapsed());
    }
}
