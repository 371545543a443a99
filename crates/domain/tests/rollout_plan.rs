//! Stage transitions of rollouts, and the requests sent to a version before it is known to be
//! healthy.

use std::time::Duration;

use gingerkeel_domain::forwarding::Distance;
use gingerkeel_domain::identifiers::{LeafIdentity, Revision, ServiceName, SoftwareVersion};
use gingerkeel_domain::rollout::{
    Evidence, ExposureLimit, LatencyBucket, OutcomeCounts, Progress, RollBackCause, Rollout,
    RolloutOrder, RolloutStage, Stratum, next_stage,
};
use gingerkeel_domain::routes::PartsPerMillion;
use rstest::rstest;

const DURATION_MS: u64 = 12_000;
/// Evaluation interval.
const LOOK: Duration = Duration::from_millis(250);

fn rollout(stage: RolloutStage) -> Rollout {
    let order = RolloutOrder {
        service: ServiceName::new("search"),
        target: SoftwareVersion::new("v2"),
        duration_ms: DURATION_MS,
        limit: ExposureLimit::default(),
        ordered_at_ms: 0,
    };
    Rollout { order, begun: Revision(1), stage }
}

fn trial(share: u32) -> Rollout {
    rollout(RolloutStage::Trial { share: PartsPerMillion(share) })
}

/// Evidence with ordinary answers of present leaves and of two leaves of the version.
fn answers(present: u32, target: u32) -> Evidence {
    let stratum = Stratum { route: "search".into(), distance: Distance::Zone };
    let ordinary = LatencyBucket::of(Duration::from_millis(20));
    let tally =
        |count| OutcomeCounts { answered: [(ordinary, count)].into(), ..OutcomeCounts::default() };
    let leaf = |name: &str| LeafIdentity::of_run(name, None);
    let half = target / 2;
    let leaves = [(leaf("a"), tally(half)), (leaf("b"), tally(target - half))].into();
    Evidence {
        requests: u64::from(present + target),
        exposed: u64::from(target),
        present: [(stratum.clone(), tally(present))].into(),
        target: [(stratum, leaves)].into(),
    }
}

fn after(seconds: f64) -> Progress {
    Progress { elapsed: Duration::from_secs_f64(seconds), everywhere_for: None }
}

#[rstest]
#[case::early(trial(50_000), answers(700, 60), 5.0, false)]
#[case::proved(trial(50_000), answers(700, 60), 8.5, true)]
#[case::too_few_answers(trial(50_000), answers(700, 10), 8.5, false)]
#[case::no_answers(trial(50_000), answers(700, 0), 8.5, false)]
fn all_requests_move_once_the_version_is_healthy(
    #[case] rollout: Rollout,
    #[case] evidence: Evidence,
    #[case] elapsed: f64,
    #[case] moves: bool,
) {
    let next = next_stage(&rollout, &evidence, after(elapsed));
    assert_eq!(next == Some(RolloutStage::Moving), moves, "{next:?}");
}

#[test]
fn a_version_without_enough_evidence_in_time_is_rolled_back() {
    let expected = Some(RolloutStage::RolledBack(RollBackCause::NotProven));
    assert_eq!(next_stage(&trial(50_000), &answers(1_000, 3), after(12.0)), expected);
    assert_eq!(next_stage(&trial(50_000), &Evidence::default(), after(12.0)), expected);
}

#[test]
fn a_healthy_version_gets_a_larger_share_before_all_requests() {
    let next = next_stage(&trial(80_000), &answers(700, 60), after(7.5));
    assert!(
        matches!(next, Some(RolloutStage::Trial { share }) if share > PartsPerMillion(80_000)),
        "{next:?}"
    );
}

#[rstest]
#[case::not_everywhere(None, None)]
#[case::just_everywhere(Some(100), None)]
#[case::everywhere_for_long(Some(1_000), Some(RolloutStage::Completed))]
fn it_is_completed_once_all_brokers_have_moved(
    #[case] everywhere_ms: Option<u64>,
    #[case] expected: Option<RolloutStage>,
) {
    let everywhere_for = everywhere_ms.map(Duration::from_millis);
    let progress = Progress { elapsed: Duration::from_secs(13), everywhere_for };
    assert_eq!(next_stage(&rollout(RolloutStage::Moving), &answers(700, 60), progress), expected);
}

#[rstest]
#[case(RolloutStage::Completed)]
#[case(RolloutStage::RolledBack(RollBackCause::Slow))]
fn a_final_stage_does_not_change(#[case] outcome: RolloutStage) {
    let progress =
        Progress { elapsed: Duration::from_secs(60), everywhere_for: Some(Duration::from_secs(9)) };
    assert_eq!(next_stage(&rollout(outcome), &answers(700, 60), progress), None);
}

/// All requests, and those sent to the version until the end of the trial, at a request rate that
/// may change halfway.
fn exposed(early_rate: f64, late_rate: f64) -> (f64, f64) {
    let limit = ExposureLimit::default();
    let mut rollout = trial(limit.share.0 / 2);
    let (mut requests, mut exposed) = (0.0, 0.0);
    let mut elapsed = Duration::ZERO;
    while elapsed < rollout.order.duration().mul_f64(0.6) {
        let early = elapsed < rollout.order.duration().mul_f64(0.3);
        let came = if early { early_rate } else { late_rate } * LOOK.as_secs_f64();
        let RolloutStage::Trial { share } = rollout.stage else {
            panic!("{:?}", rollout.stage);
        };
        requests += came;
        exposed += came * f64::from(share.0) / 1e6;
        elapsed += LOOK;
        let evidence =
            Evidence { requests: requests as u64, exposed: exposed as u64, ..Evidence::default() };
        let progress = Progress { elapsed, everywhere_for: None };
        if let Some(next) = next_stage(&rollout, &evidence, progress) {
            rollout.stage = next;
        }
    }
    (requests, exposed)
}

#[rstest]
#[case::few(20.0, 20.0)]
#[case::some(100.0, 100.0)]
#[case::many(4_000.0, 4_000.0)]
#[case::a_rush(20.0, 400.0)]
#[case::a_lull(400.0, 20.0)]
fn a_trial_takes_well_less_than_the_limit(#[case] early_rate: f64, #[case] late_rate: f64) {
    let (requests, exposed) = exposed(early_rate, late_rate);
    let limit = ExposureLimit::default();
    let allowed = requests * f64::from(limit.share.0) / 1e6 + f64::from(limit.slack);
    println!("{requests} requests, {exposed} of them to the version, {allowed} allowed");
    assert!(exposed <= 0.75 * allowed, "{exposed} of {allowed}");
}

#[rstest]
#[case(20.0)]
#[case(100.0)]
fn a_trial_takes_enough_for_a_judgement(#[case] rate: f64) {
    let (_, exposed) = exposed(rate, rate);
    assert!(exposed >= 25.0, "{exposed}");
}
