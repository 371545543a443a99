//! Choice of leaves during a roll-out of a software version, and the reports on it.

mod support;

use std::collections::BTreeMap;

use gingerkeel_domain::catalog::Change;
use gingerkeel_domain::directory::{LeafDirectory, ListedLeaf};
use gingerkeel_domain::identifiers::{Revision, ServiceName, SoftwareVersion};
use gingerkeel_domain::rollout::{
    Evidence, ExposureLimit, RollBackCause, RolloutAdvance, RolloutOrder, RolloutReport,
    RolloutStage,
};
use gingerkeel_domain::routes::PartsPerMillion;
use gingerkeel_protocol::{SubscriberMessage, decode_document};
use rstest::rstest;
use support::control::ControlScript;
use support::leaf::{LeafAction, ScriptedLeaf, response};
use support::routed::{RoutedBroker, SINGLE, configuration, directory, feed_messages, honest};
use support::wait_until;

/// Number of requests from which a traffic share is estimated.
const REQUESTS: usize = 40;

/// A directory in which the second leaf of `single` runs the target version.
fn two_versions(present: &ScriptedLeaf, target: &ScriptedLeaf) -> LeafDirectory {
    let listed = directory(&[present.address, target.address], &[]);
    let version = |leaf: &ListedLeaf| {
        SoftwareVersion::new(if leaf.identity.as_str().ends_with('1') { "v2" } else { "v1" })
    };
    let leaves: Vec<ListedLeaf> = listed
        .leaves()
        .values()
        .map(|leaf| ListedLeaf { version: version(leaf), ..leaf.clone() })
        .collect();
    let mut list = LeafDirectory::default();
    list.apply(&list.delta_to(&leaves).expect("a first list"));
    list
}

fn order() -> RolloutOrder {
    RolloutOrder {
        service: ServiceName::new(SINGLE),
        target: SoftwareVersion::new("v2"),
        duration_ms: 60_000,
        limit: ExposureLimit::default(),
        ordered_at_ms: 1,
    }
}

/// A step to a stage. The roll-out is the first change after the scripted catalog.
fn step(stage: RolloutStage) -> Change {
    let before = support::control::catalog(&[&[support::closed_address()]]).revision();
    let begun = Revision(before.0 + 1);
    Change::AdvanceRollout(RolloutAdvance { service: ServiceName::new(SINGLE), begun, stage })
}

struct Scene {
    broker: RoutedBroker,
    present: ScriptedLeaf,
    target: ScriptedLeaf,
}

/// A broker that has a roll-out after these stages in force before any leaf is known.
fn scene(stages: &[RolloutStage], target: ScriptedLeaf, script: ControlScript) -> Scene {
    let present = honest("stamp", b"present");
    let feed_messages = feed_messages(&configuration(0), &two_versions(&present, &target));
    let order = Change::BeginRollout(order());
    let changes = std::iter::once(order).chain(stages.iter().copied().map(step)).collect();
    let broker = RoutedBroker::start_on(
        ControlScript { feed_messages, changes, ..script },
        "out_of_touch = \"serve\"",
    );
    Scene { broker, present, target }
}

fn good() -> ScriptedLeaf {
    honest("stamp", b"target")
}

const ALL: RolloutStage = RolloutStage::Trial { share: PartsPerMillion(1_000_000) };
const HALF: RolloutStage = RolloutStage::Trial { share: PartsPerMillion(500_000) };
const ROLLED_BACK: RolloutStage = RolloutStage::RolledBack(RollBackCause::Failing);

/// Number of requests answered by the leaf of the target version.
fn answered_by_target(scene: &Scene) -> usize {
    let answers = (0..REQUESTS).map(|_| scene.broker.get("/one/").body);
    answers.filter(|body| body == "target").count()
}

#[rstest]
#[case::moving(&[RolloutStage::Moving], REQUESTS..=REQUESTS)]
#[case::completed(&[RolloutStage::Moving, RolloutStage::Completed], REQUESTS..=REQUESTS)]
#[case::rolled_back(&[ROLLED_BACK], 0..=0)]
#[case::rolled_back_from_moving(&[RolloutStage::Moving, ROLLED_BACK], 0..=0)]
#[case::whole_trial(&[ALL], REQUESTS..=REQUESTS)]
#[case::half(&[HALF], 6..=34)]
fn stage_decides_the_share_of_requests(
    #[case] stages: &[RolloutStage],
    #[case] expected: std::ops::RangeInclusive<usize>,
) {
    let scene = scene(stages, good(), ControlScript::default());
    let answered = answered_by_target(&scene);
    assert!(expected.contains(&answered), "{answered}");
    assert_eq!(scene.present.requests().len() + scene.target.requests().len(), REQUESTS);
}

#[test]
fn failure_of_the_target_is_retried_on_a_present_leaf() {
    let failing = ScriptedLeaf::for_all(|request| {
        let id = request.header("gingerkeel-request-id");
        LeafAction::Send(response(500, &format!("gingerkeel-request-id: {id}\r\n"), b"fault"))
    });
    let scene = scene(&[ALL], failing, ControlScript::default());
    for _ in 0..5 {
        let answer = scene.broker.get("/one/");
        assert_eq!((answer.status, answer.body.as_str()), (200, "present"));
    }
    assert!(!scene.target.requests().is_empty());
}

#[test]
fn without_a_lease_a_version_on_trial_gets_nothing() {
    let script = ControlScript { lease_milliseconds: 700, renews: false, ..Default::default() };
    let scene = scene(&[ALL], good(), script);
    // Longer than the only lease.
    std::thread::sleep(std::time::Duration::from_millis(2_000));
    let before = scene.target.requests().len();
    for _ in 0..5 {
        assert_eq!(scene.broker.get("/one/").body, "present");
    }
    assert_eq!(scene.target.requests().len(), before);
}

#[test]
fn rollback_applies_to_open_connections() {
    let script = ControlScript {
        later_changes: BTreeMap::from([(3, vec![step(ROLLED_BACK)])]),
        ..Default::default()
    };
    let scene = scene(&[RolloutStage::Moving], good(), script);
    assert_eq!(scene.broker.get("/one/").body, "target");
    wait_until("it is taken back", || {
        scene
            .broker
            .broker
            .log()
            .contains("event=rollout_in_force service=single version=v2 stage=rolled_back")
    });
    let before = scene.target.requests().len();
    for _ in 0..5 {
        assert_eq!(scene.broker.get("/one/").body, "present");
    }
    assert_eq!(scene.target.requests().len(), before);
}

/// Evidence reported so far.
fn reported(scene: &Scene) -> Evidence {
    let mut sum = Evidence::default();
    for message in scene.broker.broker.control.received() {
        if let SubscriberMessage::Rollouts { reports } = message {
            let reports: Vec<RolloutReport> = decode_document(&reports.bytes).expect("reports");
            for report in reports {
                assert_eq!(report.service, ServiceName::new(SINGLE));
                sum.merge(&report.evidence);
            }
        }
    }
    sum
}

#[test]
fn answers_of_both_versions_are_reported_once() {
    let scene = scene(&[HALF], good(), ControlScript::default());
    answered_by_target(&scene);
    wait_until("all is reported", || reported(&scene).requests == REQUESTS as u64);
    let sum = reported(&scene);
    assert_eq!(sum.exposed, scene.target.requests().len() as u64);
    let present: u32 = sum.present.values().map(|tally| tally.answers()).sum();
    let target: u32 =
        sum.target.values().flat_map(|leaves| leaves.values()).map(|tally| tally.answers()).sum();
    assert_eq!(present as usize, scene.present.requests().len());
    assert_eq!(target as usize, scene.target.requests().len());
    assert!(sum.present.keys().all(|stratum| stratum.route == "one"));
}

#[test]
fn decided_rollout_is_not_reported() {
    let scene = scene(&[ROLLED_BACK], good(), ControlScript::default());
    answered_by_target(&scene);
    std::thread::sleep(std::time::Duration::from_millis(800));
    assert_eq!(reported(&scene), Evidence::default());
}
