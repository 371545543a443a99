use super::*;

const INTERVAL: Duration = Duration::from_millis(1_000);

/// Milliseconds, whether the process leads, whether it is hurried, and whether the list is read.
fn check(steps: &[(u64, bool, bool, bool)]) {
    let start = Instant::now();
    let mut turns = Turns::new(INTERVAL);
    for (at, leads, hurried, read) in steps {
        if *hurried {
            turns.hurry();
        }
        let due = turns.is_due(start + Duration::from_millis(*at), *leads);
        assert_eq!(due, *read, "at {at} ms");
    }
}

#[test]
fn a_process_that_begins_to_lead_reads_at_once_and_then_at_each_interval() {
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
fn a_hurried_reading_waits_only_for_the_least_time() {
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
fn a_process_that_does_not_lead_remembers_that_it_was_hurried() {
    check(&[
        (0, true, false, true),
        (100, false, true, false),
        (700, false, false, false),
        (800, true, false, true),
        (900, true, false, false),
    ]);
}
