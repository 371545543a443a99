//! Which requests are kept from leaves because leaves crash under them.

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

fn treatment(suspects: &CrashSuspects, now: u64, digest: RequestDigest) -> SendPolicy {
    suspects.send_policy(at(now), ROUTE, digest)
}

/// A leaf ended at `now` under a request that was sent to it at `sent`.
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

/// A request that has crashed a leaf of each of these, and was then sent to one leaf alone, which crashed too.
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
fn nothing_is_held_of_a_request_under_which_no_leaf_ended() {
    let suspects = CrashSuspects::default();
    assert!(suspects.is_empty());
    assert_eq!(treatment(&suspects, 0, CRASHING), SendPolicy::Unrestricted);
}

#[test]
fn a_request_is_refused_once_a_second_leaf_has_ended_under_it_alone() {
    let (suspects, found) = refused(1_000);
    assert_eq!((found.verdict, found.leaves, found.for_ms), (Verdict::Refused, 2, 30_000));
    let until = at(1_030).after(FIRST_REFUSAL);
    assert_eq!(treatment(&suspects, 1_040, CRASHING), SendPolicy::Refused { until });
    assert!(suspects.is_refused(at(1_040), CRASHING));
    assert_eq!(treatment(&suspects, 1_040, HARMLESS), SendPolicy::Unrestricted);
}

/// The second end of each is not enough.
#[rstest]
#[case::under_way_elsewhere_too("b", 1_005, false)]
#[case::sent_before_the_first_ended("b", 995, true)]
#[case::the_same_leaf("a", 1_005, true)]
fn a_request_is_only_suspected(#[case] leaf: &str, #[case] sent: u64, #[case] alone: bool) {
    let mut suspects = CrashSuspects::default();
    end(&mut suspects, 1_000, CRASHING, "a", 980, true);
    end(&mut suspects, 1_030, CRASHING, leaf, sent, alone);
    assert_eq!(treatment(&suspects, 1_040, CRASHING), SendPolicy::Suspected);
}

#[test]
fn requests_beside_a_crashing_one_are_suspected_and_cleared_by_an_answer() {
    let mut suspects = CrashSuspects::default();
    // All leaves of a wave end at nearly the same time, with both requests under way.
    for (number, leaf) in ["a", "b", "c", "d"].into_iter().enumerate() {
        let now = 1_000 + number as u64;
        end(&mut suspects, now, CRASHING, leaf, 980, false);
        end(&mut suspects, now, HARMLESS, leaf, 990, false);
    }
    assert_eq!(treatment(&suspects, 1_010, HARMLESS), SendPolicy::Suspected);
    assert_eq!(suspects.replied(HARMLESS).map(|held| held.verdict), Some(Verdict::Suspected));
    assert_ne!(treatment(&suspects, 1_040, HARMLESS), SendPolicy::Suspected);
    let found = end(&mut suspects, 1_050, CRASHING, "e", 1_010, true).expect("a finding");
    assert_eq!((found.verdict, found.leaves), (Verdict::Refused, 5));
    assert_eq!(treatment(&suspects, 1_060, HARMLESS), SendPolicy::Unrestricted);
}

#[test]
fn leaves_that_end_together_convict_nobody() {
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
fn others_are_told_once_of_a_suspicion_and_only_after_two_leaves() {
    let mut suspects = CrashSuspects::default();
    assert_eq!(end(&mut suspects, 1_000, CRASHING, "a", 980, false), None);
    let told = end(&mut suspects, 1_001, CRASHING, "b", 980, false).expect("a finding");
    assert_eq!((told.verdict, told.leaves), (Verdict::Suspected, 2));
    assert_eq!(end(&mut suspects, 1_002, CRASHING, "c", 980, false), None);
}

#[test]
fn a_refused_request_is_sent_to_nobody_without_a_trial_and_heals_by_an_answer() {
    let (mut suspects, _) = refused(1_000);
    let after = 1_030 + FIRST_REFUSAL.as_millis() as u64;
    for now in [after, after + 60_000, after + 20 * 3_600_000] {
        assert_eq!(treatment(&suspects, now, CRASHING), SendPolicy::TrialDue);
        assert!(suspects.is_refused(at(now), CRASHING));
    }
    let cleared = suspects.replied(CRASHING).expect("it was refused");
    assert_eq!(cleared.verdict, Verdict::Cleared);
    assert_eq!(treatment(&suspects, after + 1, CRASHING), SendPolicy::Unrestricted);
}

#[test]
fn what_the_control_tier_has_goes_before_what_a_broker_holds() {
    let (mut suspects, own) = refused(1_000);
    assert_eq!(suspects.unrecorded(at(1_030)), [own]);
    // It has not reached the control tier yet, so that its absence there says nothing.
    suspects.recorded(at(1_040), &[], true);
    assert!(suspects.is_refused(at(1_041), CRASHING));
    assert!(suspects.recorded(at(1_050), &[finding(Verdict::Refused, 300_000)], false));
    assert_eq!(suspects.unrecorded(at(1_050)), []);
    let until = at(301_050);
    assert_eq!(treatment(&suspects, 1_051, CRASHING), SendPolicy::Refused { until });
    assert!(suspects.recorded(at(2_000), &[], true), "it was released while no link was up");
    assert_eq!(treatment(&suspects, 2_001, CRASHING), SendPolicy::Unrestricted);
}

#[test]
fn a_released_request_goes_to_leaves_again() {
    let mut suspects = CrashSuspects::default();
    suspects.recorded(at(1_000), &[finding(Verdict::Refused, u32::MAX)], true);
    assert!(suspects.is_refused(at(80_000_000), CRASHING));
    assert!(suspects.recorded(at(80_000_001), &[finding(Verdict::Cleared, 0)], false));
    assert_eq!(treatment(&suspects, 80_000_002, CRASHING), SendPolicy::Unrestricted);
}

#[test]
fn each_refusal_in_a_row_lasts_twice_as_long_and_five_minutes_at_most() {
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

/// What is left of a refusal when a broker is told of it may be next to nothing.
#[test]
fn the_refusal_after_a_trial_is_no_shorter_than_a_first_one() {
    let mut suspects = CrashSuspects::default();
    suspects.recorded(at(1_000), &[finding(Verdict::Refused, 0)], true);
    let found = end(&mut suspects, 1_100, CRASHING, "z", 1_050, true).expect("a finding");
    assert_eq!((found.verdict, found.for_ms), (Verdict::Refused, 30_000));
}

#[test]
fn a_suspicion_ends_by_itself() {
    let mut suspects = CrashSuspects::default();
    end(&mut suspects, 1_000, CRASHING, "a", 980, false);
    assert_eq!(treatment(&suspects, 60_999, CRASHING), SendPolicy::Suspected);
    assert_eq!(treatment(&suspects, 61_000, CRASHING), SendPolicy::Unrestricted);
    suspects.canary_routes(at(61_000));
    assert!(suspects.is_empty());
}

#[test]
fn what_others_found_counts_until_its_end() {
    let mut suspects = CrashSuspects::default();
    assert!(suspects.apply_finding(at(1_000), &finding(Verdict::Suspected, 60_000)));
    assert_eq!(treatment(&suspects, 1_001, CRASHING), SendPolicy::Suspected);
    assert!(suspects.apply_finding(at(1_100), &finding(Verdict::Refused, 10_000)));
    assert!(matches!(treatment(&suspects, 11_099, CRASHING), SendPolicy::Refused { .. }));
    assert!(!suspects.apply_finding(at(1_110), &finding(Verdict::Refused, 10_000)), "no news");
    assert_eq!(treatment(&suspects, 11_100, CRASHING), SendPolicy::TrialDue);
}

#[test]
fn one_leaf_more_is_enough_where_others_suspect_a_request() {
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
    assert_eq!(treatment(&suspects, 1_040, HARMLESS), expected);
    assert_eq!(suspects.send_policy(at(1_040), "other", HARMLESS), SendPolicy::Unrestricted);
    assert_eq!(suspects.canary_routes(at(1_040)).contains(ROUTE), canaries);
    assert!(suspects.canary_routes(at(92_000)).is_empty(), "it ends by itself");
}

#[test]
fn ends_that_nothing_explains_yet_make_a_route_send_canaries() {
    let mut suspects = CrashSuspects::default();
    end(&mut suspects, 1_000, HARMLESS, "a", 980, false);
    end(&mut suspects, 1_001, HARMLESS, "b", 980, false);
    suspects.replied(HARMLESS);
    assert_eq!(treatment(&suspects, 1_100, CRASHING), SendPolicy::Canary);
    suspects.apply_finding(at(1_200), &finding(Verdict::Refused, 10_000));
    assert_eq!(
        treatment(&suspects, 1_201, HARMLESS),
        SendPolicy::Unrestricted,
        "it is known which one"
    );
}

#[test]
fn no_more_than_a_thousand_requests_are_kept() {
    let mut suspects = CrashSuspects::default();
    for number in 0..2_000 {
        end(&mut suspects, 1_000 + number, RequestDigest(number), "a", 900, true);
    }
    assert_eq!(treatment(&suspects, 3_000, RequestDigest(0)), SendPolicy::Unrestricted);
    assert_eq!(treatment(&suspects, 3_000, RequestDigest(1_999)), SendPolicy::Suspected);
}

/// To how many leaves a gate lets a request go before any has replied or ended.
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

/// A leaf that refuses a trial may have counted it as one that reached it.
#[rstest]
#[case::refused(CanaryGate::over)]
#[case::ended(|gate: &mut CanaryGate| assert!(gate.leaf_ended()))]
fn a_trial_goes_to_one_leaf_at_all(#[case] outcome: fn(&mut CanaryGate)) {
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
fn after_an_end_a_request_goes_to_one_leaf_at_a_time() {
    let mut gate = CanaryGate::new(Caution::None);
    (0..10).for_each(|_| gate.sent());
    assert!(!gate.leaf_ended(), "it was under way at nine others");
    assert_eq!(gate.permission(), Permission::Wait);
    (0..9).for_each(|_| assert!(!gate.leaf_ended()));
    assert_eq!(gate.permission(), Permission::Send);
    gate.sent();
    assert_eq!(gate.permission(), Permission::Wait);
    assert!(gate.leaf_ended(), "it was under way there alone");
    assert!(gate.is_suspected());
    gate.refuse();
    assert_eq!(gate.permission(), Permission::Never);
}

#[rstest]
#[case::refused_by_its_leaf(false)]
#[case::replied(true)]
fn an_attempt_that_tells_nothing_lets_the_next_one_go(#[case] replied: bool) {
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
    assert_eq!(refused, !replied, "a request that was answered is not refused halfway");
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
fn findings_are_passed_on_once() {
    let mut fold = FindingStore::default();
    let suspected = finding(Verdict::Suspected, 60_000);
    assert_eq!(fold.report(at(0), vec![suspected.clone()]).len(), 1);
    assert_eq!(fold.report(at(10), vec![suspected.clone()]), []);
    let refusal = finding(Verdict::Refused, 10_000);
    assert_eq!(fold.report(at(20), vec![refusal.clone()])[0].verdict, Verdict::Refused);
    assert_eq!(fold.report(at(30), vec![refusal.clone(), suspected]), []);
    let longer = finding(Verdict::Refused, 20_000);
    assert_eq!(fold.report(at(10_000), vec![longer.clone()]), [longer]);
}

#[test]
fn nobody_is_told_of_a_single_leaf() {
    let mut fold = FindingStore::default();
    let one = CrashFinding { leaves: 1, ..finding(Verdict::Refused, 10_000) };
    assert_eq!(fold.report(at(0), vec![one]), []);
}

#[test]
fn a_broker_that_comes_later_is_told_what_lasts() {
    let mut fold = FindingStore::default();
    fold.report(at(0), vec![finding(Verdict::Refused, 10_000)]);
    assert_eq!(fold.current(at(4_000)), [finding(Verdict::Refused, 6_000)]);
    assert_eq!(fold.current(at(10_000)), []);
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
fn few_leaves_are_asked_first_where_there_is_time(
    #[case] target_ms: u64,
    #[case] took_ms: &[u64],
    #[case] enough: bool,
) {
    let mut room = CanaryHeadroom::default();
    took_ms.iter().for_each(|took| room.observe(Duration::from_millis(*took)));
    assert_eq!(room.is_enough(Duration::from_millis(target_ms)), enough);
}

fn under_way(digest: RequestDigest, leaf: &str) -> InFlightAttempt {
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
fn what_was_given_up_at_a_leaf_is_kept_for_a_second() {
    let mut given_up = AbandonedRequests::default();
    given_up.add(at(1_000), under_way(CRASHING, "a"));
    given_up.add(at(1_100), under_way(HARMLESS, "b"));
    let digests = |ended: Vec<InFlightAttempt>| -> Vec<RequestDigest> {
        ended.into_iter().map(|under_way| under_way.digest).collect()
    };
    assert_eq!(digests(given_up.take_at(at(1_999), &LeafIdentity::new("a"))), [CRASHING]);
    assert_eq!(digests(given_up.take_at(at(1_999), &LeafIdentity::new("a"))), [], "once");
    assert_eq!(digests(given_up.take_at(at(2_100), &LeafIdentity::new("b"))), []);
}

#[test]
fn a_leaf_at_which_requests_were_given_up_is_looked_at_once() {
    let mut given_up = AbandonedRequests::default();
    (0..300).for_each(|_| given_up.add(at(1_000), under_way(CRASHING, "a")));
    assert_eq!(given_up.take_unchecked().len(), 1);
    assert!(given_up.take_unchecked().is_empty());
    assert_eq!(given_up.take_at(at(1_001), &LeafIdentity::new("a")).len(), 256, "no more are kept");
}
