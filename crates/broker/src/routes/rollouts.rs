//! Roll-outs at this broker: which versions a request may go to, and what is reported of their answers.
//!
//! The state is borrowed between two waits only, never across one.

use std::cell::RefCell;
use std::time::{Duration, Instant};

use gingerkeel_domain::directory::ListedLeaf;
use gingerkeel_domain::forwarding::{AttemptError, Distance};
use gingerkeel_domain::identifiers::ServiceName;
use gingerkeel_domain::rollout::{
    Evidence, GatheredEvidence, LatencyBucket, Rollout, RolloutReport, RolloutStage, Rollouts,
    Standing, Stratum, Tally, VersionRules,
};
use tracing::info;

/// Least status that tells of a leaf's failure.
const FIRST_FAILURE: u16 = 500;

/// Roll-outs in force at this broker.
#[derive(Default)]
pub struct RolloutTable {
    in_force: RefCell<Rollouts>,
    /// What came to light since the last report.
    evidence: RefCell<GatheredEvidence>,
}

/// How an attempt at a leaf ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Conclusion {
    /// The leaf answered with this status.
    Answered(u16),
    /// There was no answer, for this reason.
    Unanswered(AttemptError),
    /// It was given up.
    GivenUp,
}

impl RolloutTable {
    /// Takes over the roll-outs that control has in force.
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

    /// Which leaves of a service a request may go to.
    pub fn rules(&self, service: &ServiceName, standing: Standing) -> VersionRules {
        self.in_force.borrow().rules(service, standing)
    }

    /// Whether a leaf gets no request of this broker, as roll-outs are, for as long as they stay so.
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

    /// How many roll-outs are under way.
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

    /// A request for a service begins.
    pub fn requested(&self, service: &ServiceName) {
        self.update_evidence(service, |_, evidence| evidence.requests += 1);
    }

    /// A request is sent to a leaf.
    pub fn sent(&self, leaf: &ListedLeaf) {
        self.update_evidence(&leaf.service, |rollout, evidence| {
            evidence.exposed += u64::from(leaf.version == rollout.order.target);
        });
    }

    /// An attempt has ended after this time.
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

    /// Changes the evidence of the roll-out of a service that is under way, if there is one.
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

    /// What came to light since this was asked last.
    pub fn take_reports(&self) -> Vec<RolloutReport> {
        self.evidence.borrow_mut().take_reports()
    }
}

fn count(tally: &mut Tally, conclusion: Conclusion, bucket: LatencyBucket) {
    match conclusion {
        Conclusion::Answered(status) if status < FIRST_FAILURE => {
            *tally.answered.entry(bucket).or_default() += 1;
        }
        Conclusion::Answered(_)
        | Conclusion::Unanswered(AttemptError::Lost | AttemptError::Unusable) => tally.failed += 1,
        Conclusion::GivenUp => *tally.given_up.entry(bucket).or_default() += 1,
        // The leaf has not run it, or was not there: that says nothing of its version.
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
    /// An attempt begins.
    pub fn begin(
        table: &'attempt RolloutTable,
        route: &'attempt str,
        leaf: &'attempt ListedLeaf,
        distance: Distance,
    ) -> Self {
        let (began, conclusion) = (Instant::now(), Conclusion::GivenUp);
        Self { table, route, leaf, distance, began, conclusion }
    }

    /// It has ended by itself.
    pub fn conclude(mut self, conclusion: Conclusion) {
        self.conclusion = conclusion;
    }
}

impl Drop for ObservedAttempt<'_> {
    fn drop(&mut self) {
        self.table.ended(self, self.conclusion, self.began.elapsed());
    }
}
