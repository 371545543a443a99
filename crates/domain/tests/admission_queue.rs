//! Who waits, in which order, and who waits in vain.

use gingerkeel_domain::forwarding::{AdmissionQueue, Candidate};
use gingerkeel_domain::time::Timestamp;
use rstest::rstest;

fn at(milliseconds: u64) -> Timestamp {
    Timestamp::from_micros(milliseconds * 1_000)
}

fn candidate(rank: u32, in_time_until: u64) -> Candidate {
    Candidate { rank, in_time_until: at(in_time_until), give_up_at: at(1_000), tenant: None }
}

/// Five late requests have half a second left, one can still be in time.
#[rstest]
#[case::nothing_is_left_over(0.0, 5)]
#[case::two_of_them(4.0, 3)]
#[case::all_of_them(10.0, 0)]
#[case::not_known_yet(f64::INFINITY, 0)]
fn late_ones_beyond_what_is_served_in_their_time_wait_in_vain(
    #[case] late_per_second: f64,
    #[case] hopeless: usize,
) {
    let mut line = AdmissionQueue::default();
    let late: Vec<_> = (0..5).map(|_| line.join(candidate(0, 100))).collect();
    let in_time = line.join(candidate(0, 600));
    let taken = line.take_unservable(at(500), late_per_second);
    assert_eq!(taken.len(), hopeless);
    assert_eq!(line.len(), 6 - hopeless);
    // Those that came first are served first, and so kept.
    assert!(taken.iter().all(|ticket| late[5 - hopeless..].contains(ticket)));
    assert_eq!(line.take(at(500), |_| true).map(|(ticket, _)| ticket), Some(in_time));
}

#[test]
fn only_ranks_that_may_begin_are_taken() {
    let mut line = AdmissionQueue::default();
    let (high, low) = (line.join(candidate(0, 600)), line.join(candidate(2, 600)));
    assert_eq!(line.take(at(0), |rank| rank > 1).map(|(ticket, _)| ticket), Some(low));
    assert!(line.take(at(0), |rank| rank > 1).is_none());
    assert!(line.leave(high) && !line.leave(low) && line.is_empty());
}
