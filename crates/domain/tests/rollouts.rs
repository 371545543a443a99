//! Rollout orders, stage transitions and version rules.

use std::collections::BTreeSet;
use std::time::Duration;

use gingerkeel_domain::catalog::{Catalog, CatalogError, Change};
use gingerkeel_domain::identifiers::{Revision, ServiceName, SoftwareVersion};
use gingerkeel_domain::rollout::{
    ExposureLimit, RollBackCause, RolloutAdvance, RolloutError, RolloutOrder, RolloutStage,
    RuleContext, VersionRule, VersionRules, rules,
};
use gingerkeel_domain::routes::PartsPerMillion;
use rstest::rstest;

const TRIAL: RolloutStage = RolloutStage::Trial { share: PartsPerMillion(50_000) };
const WIDER: RolloutStage = RolloutStage::Trial { share: PartsPerMillion(300_000) };
const FAILED: RolloutStage = RolloutStage::RolledBack(RollBackCause::Failing);
/// When orders are given, in milliseconds since 1970.
const ORDERED: u64 = 1_000_000;

fn order(target: &str) -> RolloutOrder {
    RolloutOrder {
        service: ServiceName::new("search"),
        target: SoftwareVersion::new(target),
        duration_ms: 12_000,
        limit: ExposureLimit::default(),
        ordered_at_ms: ORDERED,
    }
}

fn begin(catalog: &mut Catalog, order: &RolloutOrder) -> Result<Revision, CatalogError> {
    catalog.apply(&Change::BeginRollout(order.clone()))
}

fn advance(catalog: &mut Catalog, stage: RolloutStage) -> Result<Revision, CatalogError> {
    let service = ServiceName::new("search");
    let begun = catalog.rollouts().get(&service).expect("a roll-out").begun;
    catalog.apply(&Change::AdvanceRollout(RolloutAdvance { service, begun, stage }))
}

fn stage(catalog: &Catalog) -> RolloutStage {
    catalog.rollouts().get(&ServiceName::new("search")).expect("a roll-out").stage
}

/// A catalog whose rollout of v2 has passed through `stages`.
fn after(stages: &[RolloutStage]) -> Catalog {
    let mut catalog = Catalog::default();
    begin(&mut catalog, &order("v2")).expect("it begins");
    for stage in stages {
        advance(&mut catalog, *stage).expect("it goes on");
    }
    catalog
}

#[test]
fn it_begins_with_half_of_the_share_that_a_bad_version_may_get() {
    assert_eq!(stage(&after(&[])), TRIAL);
}

#[rstest]
#[case::trial_wider(&[], WIDER, true)]
#[case::trial_moves(&[], RolloutStage::Moving, true)]
#[case::trial_fails(&[], FAILED, true)]
#[case::trial_does_not_complete_unmoved(&[], RolloutStage::Completed, false)]
#[case::same_share_is_no_step(&[], TRIAL, false)]
#[case::moving_completes(&[RolloutStage::Moving], RolloutStage::Completed, true)]
#[case::moving_fails(&[RolloutStage::Moving], FAILED, true)]
#[case::moving_does_not_go_back(&[RolloutStage::Moving], TRIAL, false)]
#[case::completed_is_final(&[RolloutStage::Moving, RolloutStage::Completed], FAILED, false)]
#[case::rolled_back_is_final(&[FAILED], RolloutStage::Moving, false)]
#[case::rolled_back_is_not_tried_again(&[FAILED], TRIAL, false)]
fn stages_follow_each_other(
    #[case] before: &[RolloutStage],
    #[case] next: RolloutStage,
    #[case] allowed: bool,
) {
    let mut catalog = after(before);
    let held = catalog.clone();
    assert_eq!(advance(&mut catalog, next).is_ok(), allowed);
    match allowed {
        true => assert_eq!(stage(&catalog), next),
        false => assert_eq!(catalog, held),
    }
}

#[test]
fn a_step_of_an_earlier_roll_out_changes_nothing() {
    let mut catalog = after(&[FAILED]);
    let service = ServiceName::new("search");
    let earlier = catalog.rollouts().get(&service).expect("a roll-out").begun;
    begin(&mut catalog, &order("v3")).expect("it begins");
    let step = RolloutAdvance { service, begun: earlier, stage: RolloutStage::Moving };
    let refused = catalog.apply(&Change::AdvanceRollout(step));
    assert!(matches!(refused, Err(CatalogError::Rollout(RolloutError::MovedOn(_)))));
    assert_eq!(stage(&catalog), TRIAL);
}

#[rstest]
#[case::at_once(0, &[])]
#[case::late_while_it_runs(8_000, &[RolloutStage::Moving])]
#[case::by_a_clock_that_is_behind(-5_000, &[])]
#[case::after_it_was_taken_back(8_000, &[FAILED])]
#[case::after_it_was_completed(8_000, &[RolloutStage::Moving, RolloutStage::Completed])]
fn a_retried_order_is_accepted_and_changes_nothing(
    #[case] later_ms: i64,
    #[case] stages: &[RolloutStage],
) {
    let mut catalog = after(stages);
    let held = stage(&catalog);
    let again =
        RolloutOrder { ordered_at_ms: ORDERED.saturating_add_signed(later_ms), ..order("v2") };
    assert!(begin(&mut catalog, &again).is_ok());
    assert_eq!(stage(&catalog), held);
}

#[test]
fn a_retried_order_after_another_one_does_not_restore_its_version() {
    let mut catalog = after(&[FAILED]);
    begin(&mut catalog, &order("v3")).expect("it begins");
    assert!(begin(&mut catalog, &order("v2")).is_ok());
    let newest = catalog.rollouts().get(&ServiceName::new("search")).expect("a roll-out");
    assert_eq!(newest.order.target, SoftwareVersion::new("v3"));
}

#[test]
fn a_rolled_back_version_can_be_ordered_again_later() {
    let mut catalog = after(&[FAILED]);
    let later = RolloutOrder { ordered_at_ms: ORDERED + 3_600_000, ..order("v2") };
    assert!(begin(&mut catalog, &later).is_ok());
    assert_eq!(stage(&catalog), TRIAL);
}

#[rstest]
#[case::other_version(order("v3"))]
#[case::other_time(RolloutOrder { duration_ms: 13_000, ..order("v2") })]
fn another_order_is_refused_while_one_is_under_way(#[case] other: RolloutOrder) {
    let mut catalog = after(&[]);
    let refused = begin(&mut catalog, &other);
    let Err(CatalogError::Rollout(RolloutError::UnderWay(_, target))) = refused else {
        panic!("{refused:?}");
    };
    assert_eq!(target, SoftwareVersion::new("v2"));
}

#[rstest]
#[case::no_time(RolloutOrder { duration_ms: 0, ..order("v2") })]
#[case::endless(RolloutOrder { duration_ms: u64::MAX, ..order("v2") })]
#[case::no_version(order(""))]
fn an_invalid_order_is_refused(#[case] invalid: RolloutOrder) {
    let mut catalog = Catalog::default();
    let refused = begin(&mut catalog, &invalid);
    assert!(matches!(refused, Err(CatalogError::Rollout(RolloutError::Unusable(_)))));
    assert!(catalog.rollouts().is_empty());
}

#[test]
fn rollouts_of_two_services_are_independent() {
    let mut catalog = after(&[]);
    let other = RolloutOrder { service: ServiceName::new("archive"), ..order("v3") };
    begin(&mut catalog, &other).expect("it begins");
    advance(&mut catalog, FAILED).expect("it goes on");
    let archive = catalog.rollouts().get(&ServiceName::new("archive")).expect("a roll-out");
    assert_eq!(archive.stage, TRIAL);
}

const DRAWN: RuleContext = RuleContext { is_first: true, draw: 0.049, is_fresh: true };
const NOT_DRAWN: RuleContext = RuleContext { is_first: true, draw: 0.051, is_fresh: true };
const HEDGE: RuleContext = RuleContext { is_first: false, draw: 0.0, is_fresh: true };
const STALE: RuleContext = RuleContext { is_first: true, draw: 0.0, is_fresh: false };

fn target_first() -> VersionRules {
    let target = SoftwareVersion::new("v2");
    VersionRules {
        first: VersionRule::Only(target.clone()),
        then: Some(VersionRule::AllBut([target].into())),
    }
}

fn present_only() -> VersionRules {
    VersionRules::only(VersionRule::AllBut([SoftwareVersion::new("v2")].into()))
}

#[rstest]
#[case::trial_drawn(&[], DRAWN, target_first())]
#[case::trial_not_drawn(&[], NOT_DRAWN, present_only())]
#[case::trial_hedge_or_retry(&[], HEDGE, present_only())]
#[case::trial_stale(&[], STALE, present_only())]
#[case::moving(&[RolloutStage::Moving], NOT_DRAWN, target_first())]
#[case::moving_hedge(&[RolloutStage::Moving], HEDGE, target_first())]
#[case::moving_stale(&[RolloutStage::Moving], STALE, target_first())]
#[case::completed(&[RolloutStage::Moving, RolloutStage::Completed], NOT_DRAWN, target_first())]
#[case::completed_stale(
    &[RolloutStage::Moving, RolloutStage::Completed], STALE, target_first()
)]
#[case::rolled_back(&[FAILED], DRAWN, present_only())]
fn requests_go_to_versions(
    #[case] stages: &[RolloutStage],
    #[case] context: RuleContext,
    #[case] expected: VersionRules,
) {
    let catalog = after(stages);
    let newest = catalog.rollouts().get(&ServiceName::new("search")).expect("a roll-out");
    assert_eq!(rules(newest, &BTreeSet::new(), context), expected);
}

#[test]
fn an_order_takes_the_time_that_it_says() {
    assert_eq!(order("v2").duration(), Duration::from_secs(12));
}

/// The rules for a request at a broker with a current catalog, drawn for the target version.
fn rules_in(catalog: &Catalog) -> VersionRules {
    let context = RuleContext { is_first: true, draw: 0.0, is_fresh: true };
    catalog.rollouts().rules(&ServiceName::new("search"), context)
}

/// A leaf of the failed version still runs while the next version is rolled out.
#[rstest]
#[case::trial(&[])]
#[case::moving(&[WIDER, RolloutStage::Moving])]
#[case::taken_back(&[FAILED])]
fn a_rolled_back_version_does_not_count_as_a_present_one(#[case] stages: &[RolloutStage]) {
    let mut catalog = after(&[FAILED]);
    begin(&mut catalog, &order("v3")).expect("the next one");
    for stage in stages {
        advance(&mut catalog, *stage).expect("it goes on");
    }
    let rules = rules_in(&catalog);
    let allows = |version| rules.in_order().any(|rule| rule.allows(&SoftwareVersion::new(version)));
    assert!(!allows("v2"), "{rules:?}");
    assert!(allows("v1"), "{rules:?}");
}

#[test]
fn a_rolled_back_version_may_be_ordered_again() {
    let mut catalog = after(&[FAILED]);
    begin(&mut catalog, &order("v3")).expect("another");
    advance(&mut catalog, FAILED).expect("it goes on");
    let again = RolloutOrder { ordered_at_ms: ORDERED + 3_600_000, ..order("v2") };
    begin(&mut catalog, &again).expect("v2 once more");
    advance(&mut catalog, WIDER).expect("it goes on");
    let rules = rules_in(&catalog);
    assert_eq!(rules.first, VersionRule::Only(SoftwareVersion::new("v2")));
    let present = rules.then.expect("present leaves");
    assert!(!present.allows(&SoftwareVersion::new("v3")));
    assert!(present.allows(&SoftwareVersion::new("v1")));
}
