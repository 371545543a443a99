//! Suspicion, refusal and trials of requests that crash leaves.

use std::time::Duration;

use gingerkeel_domain::crash_suspects::{
    AbandonedRequests, CanaryGate, CanaryHeadroom, Caution, CrashFinding, CrashSuspects,
    FindingStore, InFlightAttempt, LeafEnd, Permission, RequestDigest, SendPolicy, Verdict,
    is_survived,
};
use gingerkeel_domain::identifiers::{LeafIdentity, ServiceName};
use gingerkeel_domain::time::Timestamp;
use rstest::rstest;

const ROUTE: &str = "all";
const CRASHING: RequestDigest = RequestDigest(1);
const HARMLESS: RequestDigest = RequestDigest(2);
const FIRST_REFUSAL: Duration = Duration::from_secs(30);

fn at(milliseconds: u64) -> Timestamp {
    Timestamp::from_micros(milliseconds * 1_000)
}

fn policy(suspects: &CrashSuspects, now: u64, digest: RequestDigest) -> SendPolicy {
    suspects.send_policy(at(now), ROUTE, digest)
}

/// Records the termination of a leaf at `now` with a request in flight that was sent at `sent`.
fn end(
    suspects: &mut CrashSuspects,
    now: u64,
    digest: RequestDigest,
    leaf: &str,
    sent: u64,
    alone: bool,
) -> Option<CrashFinding> {
    let leaf = LeafIdentity::new(leaf);
    let end = LeafEnd { digest, route: ROUTE, leaf: &leaf, sent: at(sent), alone };
    suspects.leaf_ended(at(now), end)
}

/// A request that crashed one leaf, and then a second one at which alone it was in flight.
fn refused(now: u64) -> (CrashSuspects, CrashFinding) {
    let mut suspects = CrashSuspects::default();
    end(&mut suspects, now, CRASHING, "a", now - 20, false);
    let found = end(&mut suspects, now + 30, CRASHING, "b", now + 5, true);
    (suspects, found.expect("a finding"))
}

fn finding(verdict: Verdict, for_ms: u32) -> CrashFinding {
    CrashFinding { digest: CRASHING, route: ROUTE.to_owned(), leaves: 2, verdict, for_ms }
}

#[test]
fn a_request_without_terminated_leaves_is_unrestricted() {
    let suspects = CrashSuspects::default();
    assert!(suspects.is_empty());
    assert_eq!(policy(&suspects, 0, CRASHING), SendPolicy::Unrestricted);
}

#[test]
fn a_request_is_refused_after_crashing_a_second_leaf_alone() {
    let (suspects, found) = refused(1_000);
    assert_eq!((found.verdict, found.leaves, found.for_ms), (Verdict::Refused, 2, 30_000));
    let until = at(1_030).after(FIRST_REFUSAL);
    assert_eq!(policy(&suspects, 1_040, CRASHING), SendPolicy::Refused { until });
    assert!(suspects.is_refused(at(1_040), CRASHING));
    assert_eq!(policy(&suspects, 1_040, HARMLESS), SendPolicy::Unrestricted);
}

/// In each case, the second termination is not sufficient for a refusal.
#[rstest]
#[case::in_flight_elsewhere_too("b", 1_005, false)]
#[case::sent_before_the_first_ended("b", 995, true)]
#[case::the_same_leaf("a", 1_005, true)]
fn a_request_is_only_suspected(#[case] leaf: &str, #[case] sent: u64, #[case] alone: bool) {
    let mut suspects = CrashSuspects::default();
    end(&mut suspects, 1_000, CRASHING, "a", 980, true);
    end(&mut suspects, 1_030, CRASHING, leaf, sent, alone);
    assert_eq!(policy(&suspects, 1_040, CRASHING), SendPolicy::Suspected);
}

#[test]
fn requests_concurrent_to_a_crashing_one_are_suspected_and_cleared_by_a_reply() {
    let mut suspects = CrashSuspects::default();
    // All leaves terminate at nearly the same time, with both requests in flight.
    for (number, leaf) in ["a", "b", "c", "d"].into_iter().enumerate() {
        let now = 1_000 + number as u64;
        end(&mut suspects, now, CRASHING, leaf, 980, false);
        end(&mut suspects, now, HARMLESS, leaf, 990, false);
    }
    assert_eq!(policy(&suspects, 1_010, HARMLESS), SendPolicy::Suspected);
    assert_eq!(suspects.replied(HARMLESS).map(|held| held.verdict), Some(Verdict::Suspected));
    assert_ne!(policy(&suspects, 1_040, HARMLESS), SendPolicy::Suspected);
    let found = end(&mut suspects, 1_050, CRASHING, "e", 1_010, true).expect("a finding");
    assert_eq!((found.verdict, found.leaves), (Verdict::Refused, 5));
    assert_eq!(policy(&suspects, 1_060, HARMLESS), SendPolicy::Unrestricted);
}

#[test]
fn leaves_that_terminate_together_cause_no_refusal() {
    let mut suspects = CrashSuspects::default();
    for number in 0..200 {
        let leaf = format!("leaf-{}", number % 10);
        let digest = RequestDigest(number / 4);
        assert_eq!(
            end(&mut suspects, 1_000 + number / 50, digest, &leaf, 990, true)
                .map(|found| found.verdict),
            None.or((number % 4 == 1).then_some(Verdict::Suspected)),
            "{number}"
        );
    }
    assert!((0..50).all(|digest| !suspects.is_refused(at(1_010), RequestDigest(digest))));
}

#[test]
fn a_suspicion_is_reported_once_and_only_after_two_leaves() {
    let mut suspects = CrashSuspects::default();
    assert_eq!(end(&mut suspects, 1_000, CRASHING, "a", 980, false), None);
    let told = end(&mut suspects, 1_001, CRASHING, "b", 980, false).expect("a finding");
    assert_eq!((told.verdict, told.leaves), (Verdict::Suspected, 2));
    assert_eq!(end(&mut suspects, 1_002, CRASHING, "c", 980, false), None);
}

#[test]
fn a_refused_request_needs_a_trial_and_is_cleared_by_a_reply() {
    let (mut suspects, _) = refused(1_000);
    let after = 1_030 + FIRST_REFUSAL.as_millis() as u64;
    for now in [after, after + 60_000, after + 20 * 3_600_000] {
        assert_eq!(policy(&suspects, now, CRASHING), SendPolicy::TrialDue);
        assert!(suspects.is_refused(at(now), CRASHING));
    }
    let cleared = suspects.replied(CRASHING).expect("it was refused");
    assert_eq!(cleared.verdict, Verdict::Cleared);
    assert_eq!(policy(&suspects, after + 1, CRASHING), SendPolicy::Unrestricted);
}

#[test]
fn the_state_of_the_control_tier_overrides_that_of_a_broker() {
    let (mut suspects, own) = refused(1_000);
    assert_eq!(suspects.unrecorded(at(1_030)), [own]);
    // The refusal has not reached the control tier yet, so its absence there proves nothing.
    suspects.recorded(at(1_040), &[], true);
    assert!(suspects.is_refused(at(1_041), CRASHING));
    assert!(suspects.recorded(at(1_050), &[finding(Verdict::Refused, 300_000)], false));
    assert_eq!(suspects.unrecorded(at(1_050)), []);
    let until = at(301_050);
    assert_eq!(policy(&suspects, 1_051, CRASHING), SendPolicy::Refused { until });
    assert!(suspects.recorded(at(2_000), &[], true), "it was released while no link was up");
    assert_eq!(policy(&suspects, 2_001, CRASHING), SendPolicy::Unrestricted);
}

#[test]
fn a_released_request_goes_to_leaves_again() {
    let mut suspects = CrashSuspects::default();
    suspects.recorded(at(1_000), &[finding(Verdict::Refused, u32::MAX)], true);
    assert!(suspects.is_refused(at(80_000_000), CRASHING));
    assert!(suspects.recorded(at(80_000_001), &[finding(Verdict::Cleared, 0)], false));
    assert_eq!(policy(&suspects, 80_000_002, CRASHING), SendPolicy::Unrestricted);
}

#[test]
fn refusals_back_off_exponentially_up_to_five_minutes() {
    let (mut suspects, first) = refused(1_000);
    let (mut now, mut life) = (1_030, first.for_ms);
    for number in 0..8 {
        now += u64::from(life) + 100;
        let leaf = format!("later-{number}");
        let found = end(&mut suspects, now, CRASHING, &leaf, now - 50, true).expect("a finding");
        assert_eq!(found.for_ms, (life * 2).min(300_000));
        life = found.for_ms;
    }
    assert_eq!(life, 300_000);
}

/// The remaining time of a refusal may be close to zero when a broker receives it.
#[test]
fn the_refusal_after_a_trial_is_no_shorter_than_a_first_one() {
    let mut suspects = CrashSuspects::default();
    suspects.recorded(at(1_000), &[finding(Verdict::Refused, 0)], true);
    let found = end(&mut suspects, 1_100, CRASHING, "z", 1_050, true).expect("a finding");
    assert_eq!((found.verdict, found.for_ms), (Verdict::Refused, 30_000));
}

#[test]
fn a_suspicion_expires() {
    let mut suspects = CrashSuspects::default();
    end(&mut suspects, 1_000, CRASHING, "a", 980, false);
    assert_eq!(policy(&suspects, 60_999, CRASHING), SendPolicy::Suspected);
    assert_eq!(policy(&suspects, 61_000, CRASHING), SendPolicy::Unrestricted);
    suspects.canary_routes(at(61_000));
    assert!(suspects.is_empty());
}

#[test]
fn findings_of_other_brokers_apply_until_they_expire() {
    let mut suspects = CrashSuspects::default();
    assert!(suspects.apply_finding(at(1_000), &finding(Verdict::Suspected, 60_000)));
    assert_eq!(policy(&suspects, 1_001, CRASHING), SendPolicy::Suspected);
    assert!(suspects.apply_finding(at(1_100), &finding(Verdict::Refused, 10_000)));
    assert!(matches!(policy(&suspects, 11_099, CRASHING), SendPolicy::Refused { .. }));
    assert!(
        !suspects.apply_finding(at(1_110), &finding(Verdict::Refused, 10_000)),
        "nothing changed"
    );
    assert_eq!(policy(&suspects, 11_100, CRASHING), SendPolicy::TrialDue);
}

#[test]
fn one_more_leaf_is_enough_if_other_brokers_suspect_a_request() {
    let mut suspects = CrashSuspects::default();
    suspects.apply_finding(at(1_000), &finding(Verdict::Suspected, 60_000));
    let found = end(&mut suspects, 1_100, CRASHING, "z", 1_050, true).expect("a finding");
    assert_eq!((found.verdict, found.leaves), (Verdict::Refused, 3));
}

#[rstest]
#[case::one_refused_request(1, false)]
#[case::two(2, true)]
fn a_route_of_which_several_requests_crash_leaves_sends_canaries(
    #[case] requests: u64,
    #[case] canaries: bool,
) {
    let mut suspects = CrashSuspects::default();
    for number in 0..requests {
        let digest = RequestDigest(100 + number);
        end(&mut suspects, 1_000, digest, "a", 980, false);
        end(&mut suspects, 1_030, digest, "b", 1_010, true).expect("a refusal");
    }
    let expected = if canaries { SendPolicy::Canary } else { SendPolicy::Unrestricted };
    assert_eq!(policy(&suspects, 1_040, HARMLESS), expected);
    assert_eq!(suspects.send_policy(at(1_040), "other", HARMLESS), SendPolicy::Unrestricted);
    assert_eq!(suspects.canary_routes(at(1_040)).contains(ROUTE), canaries);
    assert!(suspects.canary_routes(at(92_000)).is_empty(), "it expires");
}

#[test]
fn unexplained_terminations_make_a_route_send_canaries() {
    let mut suspects = CrashSuspects::default();
    end(&mut suspects, 1_000, HARMLESS, "a", 980, false);
    end(&mut suspects, 1_001, HARMLESS, "b", 980, false);
    suspects.replied(HARMLESS);
    assert_eq!(policy(&suspects, 1_100, CRASHING), SendPolicy::Canary);
    suspects.apply_finding(at(1_200), &finding(Verdict::Refused, 10_000));
    assert_eq!(policy(&suspects, 1_201, HARMLESS), SendPolicy::Unrestricted, "the cause is known");
}

#[test]
fn no_more_than_a_thousand_requests_are_kept() {
    let mut suspects = CrashSuspects::default();
    for number in 0..2_000 {
        end(&mut suspects, 1_000 + number, RequestDigest(number), "a", 900, true);
    }
    assert_eq!(policy(&suspects, 3_000, RequestDigest(0)), SendPolicy::Unrestricted);
    assert_eq!(policy(&suspects, 3_000, RequestDigest(1_999)), SendPolicy::Suspected);
}

/// Number of leaves to which the gate allows a request before any has replied or terminated.
fn first_leaves(gate: &mut CanaryGate) -> usize {
    let mut sent = 0;
    while sent < 100 && gate.permission() == Permission::Send {
        gate.sent();
        sent += 1;
    }
    sent
}

#[rstest]
#[case::no_caution(Caution::None, 100)]
#[case::canaries(Caution::Canary, 2)]
#[case::suspected(Caution::OneAtATime, 1)]
fn a_request_goes_to_so_many_leaves_first(#[case] caution: Caution, #[case] leaves: usize) {
    let mut gate = CanaryGate::new(caution);
    assert_eq!(first_leaves(&mut gate), leaves);
    gate.replied();
    assert_eq!(gate.permission(), Permission::Send, "the first reply lets all others go");
    assert_eq!(gate.in_flight_limit(), None);
}

/// A leaf that refuses a trial may have counted it as a request that it received.
#[rstest]
#[case::refused(CanaryGate::over)]
#[case::ended(|gate: &mut CanaryGate| assert!(gate.leaf_ended()))]
fn a_trial_goes_to_a_single_leaf(#[case] outcome: fn(&mut CanaryGate)) {
    let mut gate = CanaryGate::new(Caution::Trial);
    assert_eq!(first_leaves(&mut gate), 1);
    outcome(&mut gate);
    gate.allow_extra_canary();
    assert_eq!(gate.permission(), Permission::Never);
}

#[test]
fn a_trial_that_a_leaf_replied_to_goes_on() {
    let mut gate = CanaryGate::new(Caution::Trial);
    gate.sent();
    gate.replied();
    assert_eq!(first_leaves(&mut gate), 100);
}

#[test]
fn late_canaries_let_one_more_go() {
    let mut gate = CanaryGate::new(Caution::Canary);
    first_leaves(&mut gate);
    gate.allow_extra_canary();
    assert_eq!(first_leaves(&mut gate), 1);
    let mut suspected = CanaryGate::new(Caution::OneAtATime);
    first_leaves(&mut suspected);
    suspected.allow_extra_canary();
    assert_eq!(suspected.permission(), Permission::Wait);
}

#[test]
fn after_a_termination_a_request_goes_to_one_leaf_at_a_time() {
    let mut gate = CanaryGate::new(Caution::None);
    (0..10).for_each(|_| gate.sent());
    assert!(!gate.leaf_ended(), "the request was in flight at nine others");
    assert_eq!(gate.permission(), Permission::Wait);
    (0..9).for_each(|_| assert!(!gate.leaf_ended()));
    assert_eq!(gate.permission(), Permission::Send);
    gate.sent();
    assert_eq!(gate.permission(), Permission::Wait);
    assert!(gate.leaf_ended(), "the request was in flight there alone");
    assert!(gate.is_suspected());
    gate.refuse();
    assert_eq!(gate.permission(), Permission::Never);
}

#[rstest]
#[case::refused_by_its_leaf(false)]
#[case::replied(true)]
fn an_inconclusive_attempt_allows_the_next_one(#[case] replied: bool) {
    let mut gate = CanaryGate::new(Caution::OneAtATime);
    gate.sent();
    if replied {
        gate.replied()
    } else {
        gate.over()
    }
    assert_eq!(gate.permission(), Permission::Send);
    assert_eq!(gate.in_flight_limit().is_none(), replied);
    gate.refuse();
    let refused = gate.permission() == Permission::Never;
    assert_eq!(refused, !replied, "an answered request is not refused any more");
}

#[rstest]
#[case::answer(200, true)]
#[case::nothing_there(404, true)]
#[case::too_many(429, false)]
#[case::another_leaf(421, false)]
#[case::failure(500, false)]
#[case::queue_is_full(503, false)]
#[case::queue_took_too_long(504, false)]
fn a_reply_shows_that_its_leaf_survived(#[case] status: u16, #[case] survived: bool) {
    assert_eq!(is_survived(status), survived);
}

#[test]
fn findings_are_relayed_once() {
    let mut store = FindingStore::default();
    let suspected = finding(Verdict::Suspected, 60_000);
    assert_eq!(store.report(at(0), vec![suspected.clone()]).len(), 1);
    assert_eq!(store.report(at(10), vec![suspected.clone()]), []);
    let refusal = finding(Verdict::Refused, 10_000);
    assert_eq!(store.report(at(20), vec![refusal.clone()])[0].verdict, Verdict::Refused);
    assert_eq!(store.report(at(30), vec![refusal.clone(), suspected]), []);
    let longer = finding(Verdict::Refused, 20_000);
    assert_eq!(store.report(at(10_000), vec![longer.clone()]), [longer]);
}

#[test]
fn a_finding_with_a_single_leaf_is_not_relayed() {
    let mut store = FindingStore::default();
    let one = CrashFinding { leaves: 1, ..finding(Verdict::Refused, 10_000) };
    assert_eq!(store.report(at(0), vec![one]), []);
}

#[test]
fn a_new_broker_receives_unexpired_findings() {
    let mut store = FindingStore::default();
    store.report(at(0), vec![finding(Verdict::Refused, 10_000)]);
    assert_eq!(store.current(at(4_000)), [finding(Verdict::Refused, 6_000)]);
    assert_eq!(store.current(at(10_000)), []);
}

#[rstest]
#[case::nothing_known(400, &[], true)]
#[case::nothing_known_of_a_hurried_route(120, &[], false)]
#[case::quick(400, &[100], true)]
#[case::slow(400, &[300], false)]
#[case::one_in_three_waits_for_a_stopped_leaf(
    400,
    &[150, 160, 390, 140, 390, 150, 170, 150, 390, 160, 140, 390],
    true
)]
#[case::most_wait_for_a_stopped_leaf(120, &[106, 40, 106, 106, 105, 40, 106, 106, 106], false)]
#[case::quick_again_for_a_moment(400, &[390, 100, 100, 100, 100, 100, 100], false)]
#[case::quick_again(400, &[390, 100, 100, 100, 100, 100, 100, 100, 100], true)]
fn canaries_are_sent_if_the_latency_target_allows_it(
    #[case] target_ms: u64,
    #[case] took_ms: &[u64],
    #[case] enough: bool,
) {
    let mut headroom = CanaryHeadroom::default();
    took_ms.iter().for_each(|took| headroom.observe(Duration::from_millis(*took)));
    assert_eq!(headroom.is_enough(Duration::from_millis(target_ms)), enough);
}

fn in_flight(digest: RequestDigest, leaf: &str) -> InFlightAttempt {
    InFlightAttempt {
        request: "r1".to_owned(),
        digest,
        route: ROUTE.to_owned(),
        service: ServiceName::new("s"),
        leaf: LeafIdentity::new(leaf),
        sent: at(900),
        alone: true,
    }
}

#[test]
fn abandoned_attempts_are_kept_for_a_second() {
    let mut abandoned = AbandonedRequests::default();
    abandoned.add(at(1_000), in_flight(CRASHING, "a"));
    abandoned.add(at(1_100), in_flight(HARMLESS, "b"));
    let digests = |ended: Vec<InFlightAttempt>| -> Vec<RequestDigest> {
        ended.into_iter().map(|in_flight| in_flight.digest).collect()
    };
    assert_eq!(digests(abandoned.take_at(at(1_999), &LeafIdentity::new("a"))), [CRASHING]);
    assert_eq!(digests(abandoned.take_at(at(1_999), &LeafIdentity::new("a"))), [], "once");
    assert_eq!(digests(abandoned.take_at(at(2_100), &LeafIdentity::new("b"))), []);
}

#[test]
fn a_leaf_with_abandoned_attempts_is_checked_at_once_and_again_before_they_expire() {
    let mut abandoned = AbandonedRequests::default();
    (0..300).for_each(|_| abandoned.add(at(1_000), in_flight(CRASHING, "a")));
    assert_eq!(abandoned.take_due_checks(at(1_000)).len(), 1);
    assert!(abandoned.take_due_checks(at(1_000)).is_empty());
    assert_eq!(
        abandoned.take_at(at(1_001), &LeafIdentity::new("a")).len(),
        256,
        "no more are kept"
    );
    abandoned.add(at(2_000), in_flight(CRASHING, "a"));
    assert_eq!(abandoned.take_due_checks(at(2_100)).len(), 1);
    assert!(abandoned.take_due_checks(at(2_400)).is_empty());
    assert_eq!(abandoned.take_due_checks(at(2_700)).len(), 1);
    assert!(abandoned.take_due_checks(at(2_900)).is_empty());
}
