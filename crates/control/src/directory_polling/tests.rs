use super::*;

const INTERVAL: Duration = Duration::from_millis(1_000);

/// Steps: time in ms, whether the process is_leader, whether a refresh is requested, and whether
/// the list is read.
fn check(steps: &[(u64, bool, bool, bool)]) {
    let start = Instant::now();
    let mut schedule = PollSchedule::new(INTERVAL);
    for (at, is_leader, refresh, read) in steps {
        if *refresh {
            schedule.request_refresh();
        }
        let due = schedule.is_due(start + Duration::from_millis(*at), *is_leader);
        assert_eq!(due, *read, "at {at} ms");
    }
}

#[test]
fn new_leader_reads_at_once_and_then_at_each_interval() {
    check(&[
        (0, false, false, false),
        (100, true, false, true),
        (900, true, false, false),
        (1_100, true, false, true),
        (1_200, false, false, false),
        (1_300, true, false, true),
    ]);
}

#[test]
fn refresh_request_waits_only_for_the_minimum_interval() {
    check(&[
        (0, true, false, true),
        (100, true, true, false),
        (200, true, false, false),
        (300, true, false, true),
        (900, true, false, false),
        (1_300, true, false, true),
    ]);
}

#[test]
fn refresh_request_is_kept_until_the_process_leads() {
    check(&[
        (0, true, false, true),
        (100, false, true, false),
        (700, false, false, false),
        (800, true, false, true),
        (900, true, false, false),
    ]);
}

/// Guards against a reading that lasts for as long as each page names another.
#[test]
fn reading_ends_at_its_limits_of_size_and_time() {
    let start = Instant::now();
    let mut large = ReadingAllowance::new(start);
    assert!(large.take_page(start, MAX_LIST_BYTES).is_ok());
    assert!(matches!(large.take_page(start, 1), Err(PollError::Endless)));
    let mut slow = ReadingAllowance::new(start);
    assert!(slow.take_page(start + LIST_TIMEOUT / 2, 1).is_ok());
    assert!(matches!(slow.take_page(start + LIST_TIMEOUT, 1), Err(PollError::Endless)));
}
