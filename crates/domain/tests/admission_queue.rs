//! Order of queued requests, and removal of those that cannot start in time.

use gingerkeel_domain::forwarding::{AdmissionQueue, Candidate};
use gingerkeel_domain::time::Timestamp;
use rstest::rstest;

fn at(milliseconds: u64) -> Timestamp {
    Timestamp::from_micros(milliseconds * 1_000)
}

fn candidate(rank: u32, in_time_until: u64) -> Candidate {
    Candidate { rank, in_time_until: at(in_time_until), give_up_at: at(1_000), tenant: None }
}

/// Five late requests are given up in half a second; one request can still be in time.
#[rstest]
#[case::nothing_is_left_over(0.0, 5)]
#[case::two_of_them(4.0, 3)]
#[case::all_of_them(10.0, 0)]
#[case::not_known_yet(f64::INFINITY, 0)]
fn late_requests_beyond_the_service_rate_are_removed(
    #[case] late_per_second: f64,
    #[case] unservable: usize,
) {
    let mut queue = AdmissionQueue::default();
    let late: Vec<_> = (0..5).map(|_| queue.join(candidate(0, 100))).collect();
    let in_time = queue.join(candidate(0, 600));
    let taken = queue.take_unservable(at(500), late_per_second);
    assert_eq!(taken.len(), unservable);
    assert_eq!(queue.len(), 6 - unservable);
    // The oldest late requests are served first, so they are kept.
    assert!(taken.iter().all(|ticket| late[5 - unservable..].contains(ticket)));
    assert_eq!(queue.take(at(500), |_| true).map(|(ticket, _)| ticket), Some(in_time));
}

#[test]
fn only_ranks_that_may_start_are_taken() {
    let mut queue = AdmissionQueue::default();
    let (high, low) = (queue.join(candidate(0, 600)), queue.join(candidate(2, 600)));
    assert_eq!(queue.take(at(0), |rank| rank > 1).map(|(ticket, _)| ticket), Some(low));
    assert!(queue.take(at(0), |rank| rank > 1).is_none());
    assert!(queue.leave(high) && !queue.leave(low) && queue.is_empty());
}
