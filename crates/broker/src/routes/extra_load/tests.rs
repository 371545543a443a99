//! When it is told that the budget of a service is spent.

use super::*;

const SETTINGS: ExtraLoadSettings =
    ExtraLoadSettings { ratio: 0.5, window: Duration::from_secs(10), slack: 0.0 };

fn at(seconds: u64) -> Timestamp {
    Timestamp::from_micros(seconds * 1_000_000)
}

fn take(load: &mut ExtraLoad, seconds: u64) -> bool {
    let holder = SlackHolder { brokers: 1, age: Duration::from_secs(seconds) };
    load.take(&SETTINGS, at(seconds), &ServiceName::new("s"), holder)
}

#[test]
fn a_spent_budget_is_told_once_a_window() {
    let mut load = ExtraLoad::default();
    assert!(!take(&mut load, 0));
    assert_eq!(load.logged, Some(at(0)));
    assert!(!take(&mut load, 9));
    assert_eq!(load.logged, Some(at(0)), "within the window of the first line");
    assert!(!take(&mut load, 10));
    assert_eq!(load.logged, Some(at(10)));
}

#[test]
fn totals_count_what_was_sent_and_what_was_refused() {
    let mut load = ExtraLoad::default();
    (0..2).for_each(|_| load.earn(&SETTINGS, at(0)));
    assert!(take(&mut load, 0));
    assert!(!take(&mut load, 0));
    load.cover(&SETTINGS, at(0));
    let Totals { first, extra, refused } = load.totals;
    assert_eq!((first, extra, refused), (2, 2, 1));
}
