//! Selection of the nearest control process.

use std::time::Duration;

use gingerkeel_domain::feed::{Acceptance, NearestControl};
use rstest::rstest;

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

#[rstest]
#[case::alone(&[], 25, Acceptance::Take)]
#[case::nearer_machine_refused(&[1], 25, Acceptance::Hold)]
#[case::one_of_several_refused_nearer(&[26, 1], 25, Acceptance::Hold)]
#[case::farther_machine_refused(&[25], 1, Acceptance::Take)]
#[case::as_far_as_the_other(&[24], 26, Acceptance::Take)]
#[case::busy_machine_nearby(&[1], 4, Acceptance::Take)]
#[case::distance_of_zones_is_little(&[20], 50, Acceptance::Take)]
fn the_nearest_accepting_control_process_is_taken(
    #[case] refused_ms: &[u64],
    #[case] accepted_ms: u64,
    #[case] expected: Acceptance,
) {
    let mut attempts = NearestControl::default();
    refused_ms.iter().for_each(|took| attempts.refused(ms(*took)));
    assert_eq!(attempts.accepted(ms(accepted_ms)), expected);
}
