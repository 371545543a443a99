//! Totals of extra requests, and how often a spent budget is reported.

use gingerkeel_domain::forwarding::ExtraLoadSettings;

use super::*;

const WINDOW: Duration = Duration::from_secs(10);

fn at(seconds: u64) -> Timestamp {
    Timestamp::from_micros(seconds * 1_000_000)
}

#[test]
fn a_spent_budget_is_told_once_a_window() {
    let mut load = ExtraLoad::default();
    assert!(load.report_spent(at(0), WINDOW).is_some());
    assert_eq!(load.report_spent(at(9), WINDOW), None, "within the window of the first");
    assert!(load.report_spent(at(10), WINDOW).is_some());
    assert_eq!(load.report_spent(at(19), WINDOW), None);
}

#[test]
fn totals_count_what_was_sent_and_what_was_refused() {
    let settings = ExtraLoadSettings { ratio: 0.5, window: WINDOW, slack: 0.0 };
    let share = ExtraLoadShare::of(&settings, 1);
    let mut load = ExtraLoad::default();
    (0..2).for_each(|_| load.earn(&share, at(0)));
    assert!(load.take(&share, at(0)));
    assert!(!load.take(&share, at(0)));
    load.cover(&share, at(0));
    let told = load.report_spent(at(0), WINDOW);
    assert_eq!(told, Some(ExtraLoadTotals { first: 2, extra: 2, refused: 1 }));
}
