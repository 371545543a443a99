//! Decides when a rollout enters its next stage.

use std::time::Duration;

use super::evidence::Evidence;
use super::judgement::{Verdict, evaluate};
use super::order::ExposureLimit;
use super::rollouts::first_share;
use super::stage::{RollBackCause, Rollout, RolloutStage};
use crate::routes::PartsPerMillion;

/// Fraction of the rollout duration spent on the trial: a fault may show late, and all brokers have
/// to apply the move after it.
const TRIAL_FRACTION: f64 = 0.6;
/// Fraction of the rollout duration after which all requests move to a healthy version.
const MOVE_FRACTION: f64 = 0.68;
/// Share of the requests sent to a healthy version between the trial and the move, since a fault
/// may show only under load.
const WIDE_SHARE: PartsPerMillion = PartsPerMillion(300_000);
/// Maximum share before the version is known to be healthy.
const MAX_TRIAL_SHARE: PartsPerMillion = PartsPerMillion(250_000);
/// Minimum ratio of a share change, since each change is sent to all brokers.
const MIN_CHANGE_RATIO: f64 = 1.25;
/// Time for which requests are counted before the share depends on the request rate.
const MIN_COUNT_TIME: Duration = Duration::from_secs(1);
/// Time for in-flight requests at present leaves to finish after all brokers have moved.
const DRAIN_TIME: Duration = Duration::from_millis(800);

/// Progress of a rollout, apart from its evidence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Progress {
    /// Time since the order.
    pub elapsed: Duration,
    /// Time since all brokers have applied the current stage; none while some have not.
    pub everywhere_for: Option<Duration>,
}

/// The next stage if it is due; none if the rollout stays in its stage.
pub fn next_stage(
    rollout: &Rollout,
    evidence: &Evidence,
    progress: Progress,
) -> Option<RolloutStage> {
    match rollout.stage {
        RolloutStage::Trial { share } => after_trial(rollout, evidence, progress.elapsed, share),
        RolloutStage::Moving => {
            let ended = progress.everywhere_for.is_some_and(|passed| passed >= DRAIN_TIME);
            ended.then_some(RolloutStage::Completed)
        }
        RolloutStage::Completed | RolloutStage::RolledBack(_) => None,
    }
}

fn after_trial(
    rollout: &Rollout,
    evidence: &Evidence,
    elapsed: Duration,
    share: PartsPerMillion,
) -> Option<RolloutStage> {
    let duration = rollout.order.duration();
    let healthy = evaluate(evidence) == Verdict::Healthy;
    if healthy && elapsed >= duration.mul_f64(MOVE_FRACTION) {
        return Some(RolloutStage::Moving);
    }
    if elapsed >= duration {
        return Some(RolloutStage::RolledBack(RollBackCause::NotProven));
    }
    let wanted = match healthy && elapsed >= duration.mul_f64(TRIAL_FRACTION) {
        true => WIDE_SHARE.max(share),
        false => trial_share(&rollout.order.limit, evidence, elapsed, duration)?,
    };
    let ratio = f64::from(wanted.0) / f64::from(share.0.max(1));
    let is_significant = ratio >= MIN_CHANGE_RATIO || ratio <= MIN_CHANGE_RATIO.recip();
    is_significant.then_some(RolloutStage::Trial { share: wanted })
}

/// Half of the share that the limit allows, plus half of its slack spread over the trial, so that a
/// service with little traffic collects enough evidence. Once half of the limit is used, only the
/// first half of the share remains.
fn trial_share(
    limit: &ExposureLimit,
    evidence: &Evidence,
    elapsed: Duration,
    duration: Duration,
) -> Option<PartsPerMillion> {
    if elapsed < MIN_COUNT_TIME {
        return None;
    }
    let first = first_share(limit);
    let whole = f64::from(PartsPerMillion::WHOLE);
    let allowed = evidence.requests as f64 * f64::from(limit.share.0) / whole;
    let half_of_limit = (allowed + f64::from(limit.slack)) / 2.0;
    if evidence.requests == 0 || evidence.exposed as f64 >= half_of_limit {
        return Some(first);
    }
    let trial = duration.mul_f64(TRIAL_FRACTION).as_secs_f64();
    let expected = evidence.requests as f64 / elapsed.as_secs_f64() * trial;
    let spread = f64::from(limit.slack) / 2.0 / expected * whole;
    let wanted = (f64::from(first.0) + spread) as u32;
    Some(PartsPerMillion(wanted.min(MAX_TRIAL_SHARE.0.max(first.0))))
}
