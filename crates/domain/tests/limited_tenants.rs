//! A limited tenant is reported once at the start and once at the end of an episode, however often
//! it is refused.

use std::time::Duration;

use gingerkeel_domain::identifiers::TenantName;
use gingerkeel_domain::quota::{LimitEpisode, LimitedTenants};
use gingerkeel_domain::time::Timestamp;

fn at(milliseconds: u64) -> Timestamp {
    Timestamp::from_micros(milliseconds * 1_000)
}

#[test]
fn tenant_refused_a_thousand_times_is_reported_twice() {
    let (mut limited, tenant) = (LimitedTenants::default(), TenantName::new("t"));
    let begun = (0..1_000).filter(|turn| limited.record_refusal(at(turn * 10), &tenant)).count();
    assert_eq!(begun, 1);
    assert_eq!(limited.take_ended(at(14_989)), []);
    let lasted = Duration::from_millis(9_990);
    assert_eq!(limited.take_ended(at(14_990)), [LimitEpisode { tenant, refused: 1_000, lasted }]);
    assert_eq!(limited.take_ended(at(20_000)), []);
}

#[test]
fn tenants_are_reported_separately() {
    let mut limited = LimitedTenants::default();
    let [first, second] = ["a", "b"].map(TenantName::new);
    assert!(limited.record_refusal(at(0), &first));
    assert!(limited.record_refusal(at(3_000), &second));
    let relieved: Vec<TenantName> =
        limited.take_ended(at(6_000)).into_iter().map(|episode| episode.tenant).collect();
    assert!(limited.record_refusal(at(6_000), &first), "a new episode starts");
    assert_eq!(relieved, [first]);
}
