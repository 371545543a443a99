//! Expiry of the load reports of leaves.

use gingerkeel_domain::forwarding::{LoadReport, ObservedLoad};
use gingerkeel_domain::time::Timestamp;

fn at(milliseconds: u64) -> Timestamp {
    Timestamp::from_micros(milliseconds * 1_000)
}

#[test]
fn the_latest_report_counts_until_it_expires() {
    let report = |waiting| LoadReport { running: 4, waiting, slots: 4, pace_percent: 300 };
    let mut load = ObservedLoad::default();
    assert_eq!(load.current(at(0)), None);
    load.observe(at(900), report(1));
    load.observe(at(1_000), report(2));
    assert_eq!(load.current(at(1_199)), Some(report(2)));
    assert_eq!(load.current(at(1_200)), None);
}
