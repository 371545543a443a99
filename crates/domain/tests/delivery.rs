//! Margin by which an answer is finished early to allow for its delivery.

use std::time::Duration;

use gingerkeel_domain::forwarding::{AnswerMargin, DeliveryTime};
use gingerkeel_domain::time::Timestamp;
use rstest::rstest;

const TARGET: Duration = Duration::from_millis(120);

fn margin() -> AnswerMargin {
    AnswerMargin {
        least: Duration::from_millis(15),
        unobserved: Duration::from_millis(8),
        most: Duration::from_millis(60),
    }
}

/// Soft deadline in milliseconds after answers with these delivery times.
fn finished_at(took_ms: &[u64]) -> u64 {
    let mut delivery = DeliveryTime::default();
    took_ms.iter().for_each(|took| delivery.observe(Duration::from_millis(*took)));
    margin().soft_deadline(Timestamp::ZERO, TARGET, &delivery).as_micros() / 1_000
}

#[rstest]
#[case::nothing_known(&[], 97)]
#[case::at_once(&[0, 0, 0], 105)]
#[case::the_first_counts_twice(&[4], 97)]
#[case::slow(&[20], 65)]
#[case::no_more_than_the_most(&[500, 500], 60)]
fn an_answer_is_finished_earlier_by_the_expected_delivery_time(
    #[case] took: &[u64],
    #[case] at: u64,
) {
    assert_eq!(finished_at(took), at);
}

#[test]
fn steady_delivery_times_have_no_deviation() {
    assert_eq!(finished_at(&[10; 100]), 95);
}

#[test]
fn one_late_answer_is_forgotten_again() {
    let mut took = vec![100];
    took.extend([2; 60]);
    assert_eq!(finished_at(&took), 102);
}

#[test]
fn a_target_shorter_than_the_margin_finishes_at_once() {
    let delivery = DeliveryTime::default();
    let received = Timestamp::from_micros(5_000_000);
    assert_eq!(margin().soft_deadline(received, Duration::from_millis(10), &delivery), received);
}
