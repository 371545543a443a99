//! Extra-load budget at one broker.

use std::time::Duration;

use gingerkeel_domain::forwarding::{ExtraLoadBudget, ExtraLoadSettings, ExtraLoadShare};
use gingerkeel_domain::time::Timestamp;
use proptest::prelude::*;
use rstest::rstest;

const SETTINGS: ExtraLoadSettings =
    ExtraLoadSettings { ratio: 0.2, window: Duration::from_secs(10), slack: 12.0 };

fn at(milliseconds: u64) -> Timestamp {
    Timestamp::from_micros(milliseconds * 1_000)
}

fn taken(budget: &mut ExtraLoadBudget, share: &ExtraLoadShare, now: u64) -> usize {
    (0..100).filter(|_| budget.take(share, at(now))).count()
}

/// A predecessor of the process may have spent the slack within the window.
#[rstest]
#[case::a_new_process(0, 0)]
#[case::almost_a_window_old(9_999, 0)]
#[case::a_window_old(10_000, 4)]
fn the_slack_is_available_once_the_process_is_a_window_old(
    #[case] now: u64,
    #[case] expected: usize,
) {
    let share = ExtraLoadShare::of(&SETTINGS, 3);
    assert_eq!(taken(&mut ExtraLoadBudget::default(), &share, now), expected);
}

/// A broker saves up its share of the slack, and no more however many requests arrive.
#[rstest]
#[case::alone(1, 12)]
#[case::one_of_three(3, 4)]
#[case::one_of_many(100, 1)]
#[case::unknown_number_of_brokers(0, 1)]
fn the_slack_is_saved_up(#[case] brokers: usize, #[case] saved: usize) {
    let share = ExtraLoadShare::of(&SETTINGS, brokers);
    let mut budget = ExtraLoadBudget::default();
    (0..1_000).for_each(|_| budget.earn(&share, at(0)));
    assert_eq!(taken(&mut budget, &share, 0), saved);
}

#[test]
fn five_requests_earn_one_extra_request() {
    let share = ExtraLoadShare::of(&SETTINGS, 3);
    let mut budget = ExtraLoadBudget::default();
    for _ in 0..3 {
        (0..4).for_each(|_| budget.earn(&share, at(0)));
        assert_eq!(taken(&mut budget, &share, 0), 0);
        budget.earn(&share, at(0));
        assert_eq!(taken(&mut budget, &share, 0), 1);
    }
}

/// The slack is fully available a window after the last extra request, not before.
#[rstest]
#[case::at_once(10_000, 0)]
#[case::within_the_window(19_999, 0)]
#[case::a_window_later(20_000, 4)]
fn an_idle_broker_regains_its_slack(#[case] now: u64, #[case] expected: usize) {
    let share = ExtraLoadShare::of(&SETTINGS, 3);
    let mut budget = ExtraLoadBudget::default();
    budget.earn(&share, at(0));
    assert_eq!(taken(&mut budget, &share, 10_000), 4);
    assert_eq!(taken(&mut budget, &share, now), expected);
}

proptest! {
    /// For any sequence of requests, no window holds more extra requests than the ratio of the
    /// requests in it plus the slack.
    #[test]
    fn no_window_holds_more_extra_requests_than_allowed(
        steps in prop::collection::vec((0u64..400, 0u8..4), 1..400),
    ) {
        let share = ExtraLoadShare::of(&SETTINGS, 1);
        let mut budget = ExtraLoadBudget::default();
        let (mut now, mut requests, mut extra) = (0, Vec::new(), Vec::new());
        for (pause, kind) in steps {
            now += pause;
            if kind == 0 {
                budget.earn(&share, at(now));
                requests.push(now);
            } else if budget.take(&share, at(now)) {
                extra.push(now);
            }
        }
        for end in &extra {
            let inside = |time: &&u64| **time + 10_000 > *end && **time <= *end;
            let counted = extra.iter().filter(inside).count() as f64;
            let drawn = requests.iter().filter(inside).count();
            prop_assert!(counted <= 0.2 * drawn as f64 + 12.0, "{counted} of {drawn}");
        }
    }
}
