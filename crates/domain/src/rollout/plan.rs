//! When a roll-out goes on.

use std::time::Duration;

use super::evidence::Evidence;
use super::judgement::{Verdict, evaluate};
use super::order::ExposureLimit;
use super::rollouts::first_share;
use super::stage::{RollBackCause, Rollout, RolloutStage};
use crate::routes::PartsPerMillion;

/// Part of the time of a roll-out that the trial takes: a fault may show late, and all brokers have to move after it.
const TRIAL_PART: f64 = 0.6;
/// Part of the time after which all requests move to a sound version.
const MOVE_PART: f64 = 0.68;
/// Share of the requests that go to a sound version in between, since a fault may show under load only.
const WIDE_SHARE: PartsPerMillion = PartsPerMillion(300_000);
/// Largest share while nothing is proved.
const LARGEST_TRIAL: PartsPerMillion = PartsPerMillion(250_000);
/// Ratio by which a share has to be off to be changed: each change goes to all brokers.
const WORTH_CHANGING: f64 = 1.25;
/// Time for which requests are counted before a share follows their number.
const COUNTED_FOR: Duration = Duration::from_secs(1);
/// Time after all brokers have moved in which requests to present leaves end.
const LINGER: Duration = Duration::from_millis(800);

/// What is known of the progress of a roll-out, besides the answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Progress {
    /// Time since the order.
    pub elapsed: Duration,
    /// Time since all brokers have the present stage in force; none while some do not.
    pub everywhere_for: Option<Duration>,
}

/// The stage that is due next; none while all stays as it is.
pub fn next_stage(
    rollout: &Rollout,
    evidence: &Evidence,
    progress: Progress,
) -> Option<RolloutStage> {
    match rollout.stage {
        RolloutStage::Trial { share } => after_trial(rollout, evidence, progress.elapsed, share),
        RolloutStage::Moving => {
            let ended = progress.everywhere_for.is_some_and(|passed| passed >= LINGER);
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
    let sound = evaluate(evidence) == Verdict::Healthy;
    if sound && elapsed >= duration.mul_f64(MOVE_PART) {
        return Some(RolloutStage::Moving);
    }
    if elapsed >= duration {
        return Some(RolloutStage::RolledBack(RollBackCause::NotProven));
    }
    let wanted = match sound && elapsed >= duration.mul_f64(TRIAL_PART) {
        true => WIDE_SHARE.max(share),
        false => trial_share(&rollout.order.limit, evidence, elapsed, duration)?,
    };
    let ratio = f64::from(wanted.0) / f64::from(share.0.max(1));
    let worth_it = ratio >= WORTH_CHANGING || ratio <= WORTH_CHANGING.recip();
    worth_it.then_some(RolloutStage::Trial { share: wanted })
}

/// Half of the share that the limit allows, and half of its slack spread over the trial, so that few requests are
/// enough for a judgement. Once half of the limit is spent, what comes is within the first half alone.
fn trial_share(
    limit: &ExposureLimit,
    evidence: &Evidence,
    elapsed: Duration,
    duration: Duration,
) -> Option<PartsPerMillion> {
    if elapsed < COUNTED_FOR {
        return None;
    }
    let first = first_share(limit);
    let whole = f64::from(PartsPerMillion::WHOLE);
    let allowed = evidence.requests as f64 * f64::from(limit.share.0) / whole;
    let half_of_limit = (allowed + f64::from(limit.slack)) / 2.0;
    if evidence.requests == 0 || evidence.exposed as f64 >= half_of_limit {
        return Some(first);
    }
    let trial = duration.mul_f64(TRIAL_PART).as_secs_f64();
    let expected = evidence.requests as f64 / elapsed.as_secs_f64() * trial;
    let spread = f64::from(limit.slack) / 2.0 / expected * whole;
    let wanted = (f64::from(first.0) + spread) as u32;
    Some(PartsPerMillion(wanted.min(LARGEST_TRIAL.0.max(first.0))))
}
