//! Schedule of a planned stop: no request is accepted that could still run when the process exits.

use std::time::Duration;

use gingerkeel_domain::forwarding::PlannedStop;
use gingerkeel_domain::time::Timestamp;
use rstest::rstest;

const LENGTH: Duration = Duration::from_secs(6);
const BEGAN: Timestamp = Timestamp::from_micros(1_000_000);

fn at(after: Duration) -> Timestamp {
    BEGAN.after(after)
}

#[rstest]
#[case::at_once(0, 1_000, true)]
#[case::short_request_late(4_500, 120, true)]
#[case::long_request_late(4_500, 1_000, false)]
#[case::long_request_in_time(3_000, 1_000, true)]
#[case::longer_than_the_stop(0, 12_000, false)]
#[case::too_late_for_any(5_300, 1, false)]
fn a_request_is_accepted_while_it_can_end_in_time(
    #[case] after: u64,
    #[case] expected: u64,
    #[case] accepted: bool,
) {
    let stop = PlannedStop::begin(BEGAN, LENGTH);
    let now = at(Duration::from_millis(after));
    assert_eq!(stop.accepts(now, Duration::from_millis(expected)), accepted);
}

#[rstest]
#[case(Duration::from_millis(100))]
#[case(LENGTH)]
#[case(Duration::from_secs(600))]
fn answers_precede_the_exit_and_the_exit_precedes_the_kill(#[case] length: Duration) {
    let stop = PlannedStop::begin(BEGAN, length);
    assert!(stop.idle_until() < stop.answers_by());
    assert!(stop.callers_until() < stop.answers_by());
    assert!(stop.answers_by() < stop.ends_by());
    assert!(stop.ends_by() < BEGAN.after(length));
}
