//! Completion of an answer merged from parts.

use gingerkeel_domain::forwarding::{GatherStep, GatherTimes, Gathering};
use gingerkeel_domain::routes::PartsPerMillion;
use gingerkeel_domain::time::Timestamp;
use rstest::rstest;

fn at(milliseconds: u64) -> Timestamp {
    Timestamp::from_micros(milliseconds * 1_000)
}

/// Ten parts, eight of which suffice; the soft deadline is at 100 ms, the hard deadline at 1,000
/// ms.
fn gathering() -> Gathering {
    let times = GatherTimes { received: at(0), soft: at(100), deadline: at(1_000) };
    Gathering::new(10, PartsPerMillion(800_000), times)
}

fn with_parts(present: usize, failed: usize) -> Gathering {
    let mut gathering = gathering();
    (0..present).for_each(|_| gathering.record_part(at(20), true));
    (0..failed).for_each(|_| gathering.record_part(at(20), false));
    gathering
}

/// Present and failed parts, and the time at which the answer is complete.
#[rstest]
#[case::whole(10, 0, 20)]
#[case::all_settled(8, 2, 20)]
#[case::out_of_reach(0, 3, 20)]
#[case::enough_at_the_soft_time(8, 0, 100)]
#[case::too_few_until_the_deadline(7, 0, 1_000)]
#[case::none_until_the_deadline(0, 0, 1_000)]
fn an_answer_is_complete(#[case] present: usize, #[case] failed: usize, #[case] expected: u64) {
    let gathering = with_parts(present, failed);
    let mut now = at(20);
    while let GatherStep::WaitUntil(wake) = gathering.step(now) {
        assert!(wake > now, "a step that waits moves on");
        now = wake;
    }
    assert_eq!(now, at(expected));
}

#[test]
fn missing_parts_are_overdue_some_time_after_most_have_arrived() {
    let mut gathering = with_parts(5, 0);
    assert_eq!(gathering.step(at(20)), GatherStep::WaitUntil(at(100)));
    gathering.record_part(at(40), true);
    // 40 ms plus a factor of 0.3 plus 6 ms.
    assert_eq!(gathering.step(at(40)), GatherStep::WaitUntil(at(58)));
    assert!(!gathering.is_overdue(at(57)) && gathering.is_overdue(at(58)));
    assert_eq!(gathering.step(at(58)), GatherStep::WaitUntil(at(100)));
}

#[test]
fn late_parts_count_for_the_answer_but_not_as_in_time() {
    let mut gathering = with_parts(7, 0);
    gathering.record_part(at(300), true);
    assert_eq!(gathering.in_time(), (7, 10));
    assert_eq!(gathering.missing(), 2);
    assert!(gathering.reaches_least_share());
    assert_eq!(gathering.step(at(300)), GatherStep::Finish);
}

/// An answer without any part is never sent, whatever the least share.
#[test]
fn an_answer_has_at_least_one_part() {
    let times = GatherTimes { received: at(0), soft: at(100), deadline: at(1_000) };
    let gathering = Gathering::new(3, PartsPerMillion(0), times);
    assert!(!gathering.reaches_least_share());
    assert_eq!(gathering.step(at(100)), GatherStep::WaitUntil(at(1_000)));
}

/// Number of further parts of ten that may be given up after `given_up` were.
#[rstest]
#[case::all_wanted(1_000_000, 0, 0)]
#[case::nine_are_enough(890_000, 0, 1)]
#[case::one_given_up_already(890_000, 1, 0)]
#[case::out_of_reach(890_000, 3, 0)]
#[case::three_quarters(750_000, 1, 1)]
#[case::any(0, 0, 9)]
fn parts_beyond_the_least_share_may_be_given_up(
    #[case] least_share: u32,
    #[case] given_up: usize,
    #[case] spare: usize,
) {
    let times = GatherTimes { received: at(0), soft: at(100), deadline: at(1_000) };
    let mut gathering = Gathering::new(10, PartsPerMillion(least_share), times);
    (0..given_up).for_each(|_| gathering.record_part(at(1), false));
    assert_eq!(gathering.spare(), spare);
}
