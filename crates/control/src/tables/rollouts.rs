//! Table of roll-outs.

use gingerkeel_domain::cluster::{ClusterState, Target};
use gingerkeel_domain::rollout::{AnswerCounts, Rollout, RolloutStage, compare};
use gingerkeel_statement::StatementReply;

use super::table;

/// One row per service with its newest roll-out: the answers of leaves with the target version and
/// with the present version, which decide on the roll-out, and the number of brokers on which the
/// last stage is not in force yet.
pub fn rollouts(state: &ClusterState) -> StatementReply {
    let rows = state.catalog().rollouts().all().map(|rollout| row(state, rollout)).collect();
    let columns = [
        "service",
        "version",
        "stage",
        "detail",
        "within ms",
        "requests",
        "exposed",
        "answers",
        "present answers",
        "brokers without the last stage",
    ];
    table(&columns, rows)
}

fn row(state: &ClusterState, rollout: &Rollout) -> Vec<String> {
    let evidence = state.rollout_evidence().of(rollout);
    let counts = evidence.map(|evidence| compare(evidence, None)).unwrap_or_default();
    let (requests, exposed) =
        evidence.map_or((0, 0), |evidence| (evidence.requests, evidence.exposed));
    let target = Target::Rollout(rollout.order.service.clone());
    let last = state.history().last_change(&target);
    let without = last.map_or(0, |revision| state.members().lagging(revision).count());
    vec![
        rollout.order.service.to_string(),
        rollout.order.target.to_string(),
        rollout.stage.as_str().to_owned(),
        detail(rollout.stage),
        rollout.order.duration_ms.to_string(),
        requests.to_string(),
        exposed.to_string(),
        answers(counts.target),
        answers(counts.present),
        without.to_string(),
    ]
}

fn detail(stage: RolloutStage) -> String {
    match stage {
        RolloutStage::Trial { share } => format!("{} of 1000000", share.0),
        RolloutStage::RolledBack(cause) => cause.as_str().to_owned(),
        RolloutStage::Moving | RolloutStage::Completed => String::new(),
    }
}

fn answers(counts: AnswerCounts) -> String {
    format!("{} ({} failed, {} slow)", counts.all, counts.failed, counts.slow)
}
