//! Roll-outs: collects brokers' reports and proposes the next stages.

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

/// Local state of a roll-out in progress.
struct TrackedRollout {
    /// When this process first saw the roll-out.
    since: Timestamp,
    stage: RolloutStage,
    /// When all brokers first had the stage in force.
    everywhere_since: Option<Timestamp>,
}

/// Timers and unsent reports of roll-outs. Evidence and stages are replicated.
#[derive(Default)]
pub struct RolloutTracker {
    tracked: BTreeMap<RolloutKey, TrackedRollout>,
    /// Evidence from brokers since the last report tick.
    reported: PendingEvidence,
}

impl RolloutTracker {
    /// Merges reports of a broker that is subscribed here.
    pub fn report(&mut self, reports: Vec<RolloutReport>) {
        for report in reports {
            self.reported.of((report.service, report.begun)).merge(&report.evidence);
        }
    }

    /// The stage changes that are due.
    fn due(&mut self, now: Timestamp, wall_ms: u64, state: &ClusterState) -> Vec<RolloutAdvance> {
        let rollouts = state.catalog().rollouts();
        self.tracked.retain(|(service, begun), _| {
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
        let fresh = TrackedRollout { since: now, stage: rollout.stage, everywhere_since: None };
        let tracked = self.tracked.entry(rollout.key()).or_insert(fresh);
        if tracked.stage != rollout.stage {
            (tracked.stage, tracked.everywhere_since) = (rollout.stage, None);
        }
        // The newest revision may be later than the stage: a broker that has it has the stage, too.
        let is_everywhere = state.members().lagging(state.catalog().revision()).next().is_none();
        tracked.everywhere_since = match is_everywhere {
            true => tracked.everywhere_since.or(Some(now)),
            false => tracked.everywhere_since,
        };
        // After a restart the local timer starts anew, so the time of the order counts as well.
        let by_clock = wall_ms.saturating_sub(rollout.order.ordered_at_ms);
        let by_clock = by_clock.min(rollout.order.duration_ms);
        let elapsed = now.since(tracked.since).max(Duration::from_millis(by_clock));
        let everywhere_for = tracked.everywhere_since.map(|since| now.since(since));
        let none = Evidence::default();
        let evidence = state.rollout_evidence().of(rollout).unwrap_or(&none);
        let stage = next_stage(rollout, evidence, Progress { elapsed, everywhere_for })?;
        let (service, begun) = rollout.key();
        Some(RolloutAdvance { service, begun, stage })
    }
}

impl ClusterTask {
    /// Proposes brokers' reports and, if this process is the leader, the stage changes that are
    /// due.
    pub(super) fn advance_rollouts(&mut self) {
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
                // Later reports include lost ones, and a stage change stays due.
                if let Err(error) = replication.propose(command).await {
                    debug!(event = "rollout_command_not_taken", %error);
                }
            }
        });
    }

    /// Logs new stages of roll-outs with the evidence behind the decision.
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
