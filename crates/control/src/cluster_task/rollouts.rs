//! Roll-outs: what brokers report of them, and when they go on.

use std::collections::BTreeMap;
use std::time::Duration;

use gingerkeel_domain::cluster::{ClusterState, CommandBody};
use gingerkeel_domain::consensus::RoleName;
use gingerkeel_domain::rollout::{
    Evidence, PendingEvidence, Progress, RollBackCause, Rollout, RolloutAdvance, RolloutKey,
    RolloutReport, RolloutStage, compare, next_stage,
};
use gingerkeel_domain::time::Timestamp;
use tracing::{debug, info};

use super::ClusterTask;
use crate::wall_clock::wall_time;

/// What this process knows of a roll-out that is under way.
struct Followed {
    /// When it came to be known here.
    since: Timestamp,
    stage: RolloutStage,
    /// Since when all brokers have the stage in force.
    everywhere_since: Option<Timestamp>,
}

/// Roll-outs as this process follows them; what decides is replicated.
#[derive(Default)]
pub struct RolloutWatch {
    followed: BTreeMap<RolloutKey, Followed>,
    /// What brokers reported since the last round.
    reported: PendingEvidence,
}

impl RolloutWatch {
    /// A broker that is fed here reported.
    pub fn report(&mut self, reports: Vec<RolloutReport>) {
        for report in reports {
            self.reported.of((report.service, report.begun)).merge(&report.evidence);
        }
    }

    /// The steps that are due.
    fn due(&mut self, now: Timestamp, wall_ms: u64, state: &ClusterState) -> Vec<RolloutAdvance> {
        let rollouts = state.catalog().rollouts();
        self.followed.retain(|(service, begun), _| {
            let newest = rollouts.get(service);
            newest.is_some_and(|newest| newest.begun == *begun && newest.stage.is_under_way())
        });
        let under_way = rollouts.all().filter(|rollout| rollout.stage.is_under_way());
        under_way.filter_map(|rollout| self.step(now, wall_ms, state, rollout)).collect()
    }

    fn step(
        &mut self,
        now: Timestamp,
        wall_ms: u64,
        state: &ClusterState,
        rollout: &Rollout,
    ) -> Option<RolloutAdvance> {
        let fresh = Followed { since: now, stage: rollout.stage, everywhere_since: None };
        let followed = self.followed.entry(rollout.key()).or_insert(fresh);
        if followed.stage != rollout.stage {
            (followed.stage, followed.everywhere_since) = (rollout.stage, None);
        }
        // The last change may be a later one: a broker that has it has the stage, too.
        let moved = state.members().lagging(state.catalog().revision()).next().is_none();
        followed.everywhere_since = match moved {
            true => followed.everywhere_since.or(Some(now)),
            false => followed.everywhere_since,
        };
        // A process that has just started was not there when the order came.
        let by_clock = wall_ms.saturating_sub(rollout.order.ordered_at_ms);
        let by_clock = by_clock.min(rollout.order.duration_ms);
        let elapsed = now.since(followed.since).max(Duration::from_millis(by_clock));
        let everywhere_for = followed.everywhere_since.map(|since| now.since(since));
        let none = Evidence::default();
        let evidence = state.rollout_evidence().of(rollout).unwrap_or(&none);
        let stage = next_stage(rollout, evidence, Progress { elapsed, everywhere_for })?;
        let (service, begun) = rollout.key();
        Some(RolloutAdvance { service, begun, stage })
    }
}

impl ClusterTask {
    /// Passes on what brokers reported, and has roll-outs go on that are due, where this process leads.
    pub(super) fn follow_rollouts(&mut self) {
        let reports = self.rollouts.reported.take_reports();
        let mut commands = Vec::new();
        if !reports.is_empty() {
            commands.push(CommandBody::ReportRollouts(reports));
        }
        let due = self.rollouts.due(self.clock.now(), wall_time().0, &self.state);
        if commands.is_empty() && due.is_empty() {
            return;
        }
        let replication = self.replication.clone();
        monoio::spawn(async move {
            if !due.is_empty() && replication.role().await == Some(RoleName::Leader) {
                commands.extend(due.into_iter().map(CommandBody::AdvanceRollout));
            }
            for command in commands {
                // What is lost of reports is told by the next ones, and a step is due again.
                if let Err(error) = replication.propose(command).await {
                    debug!(event = "rollout_command_not_taken", %error);
                }
            }
        });
    }

    /// Logs the stages that roll-outs have come to, with the answers by which they were decided.
    pub(super) fn rollouts_advanced(&self, steps: &[RolloutAdvance]) {
        for step in steps {
            let Some(rollout) = self.state.catalog().rollouts().get(&step.service) else {
                continue;
            };
            let evidence = self.state.rollout_evidence().of(rollout);
            let counts = evidence.map(|evidence| compare(evidence, None)).unwrap_or_default();
            info!(
                event = "rollout_advanced",
                service = %step.service,
                version = %rollout.order.target,
                stage = step.stage.as_str(),
                share_ppm = step.stage.trial_share().map(|share| share.0),
                cause = step.stage.roll_back_cause().map(RollBackCause::as_str),
                requests = evidence.map(|evidence| evidence.requests),
                exposed = evidence.map(|evidence| evidence.exposed),
                answers = counts.target.all,
                failed = counts.target.failed,
                slow = counts.target.slow,
                present_answers = counts.present.all,
                present_failed = counts.present.failed,
                present_slow = counts.present.slow,
            );
        }
    }
}
