//! Zone evacuation and restoration in the replicated state.

mod support;

use gingerkeel_domain::catalog::Change;
use gingerkeel_domain::cluster::{ChangeOutcome, Target};
use gingerkeel_domain::identifiers::{Revision, ZoneName};
use rstest::rstest;
use support::cluster::{Cluster, accepted, refusal, request};

fn evacuate() -> Change {
    Change::EvacuateZone(ZoneName::new("palermo"))
}

fn restore() -> Change {
    Change::RestoreZone(ZoneName::new("palermo"))
}

/// Orders on one zone, each with its base revision and whether it is accepted, and whether the zone
/// ends up evacuated.
#[rstest]
#[case::once(&[(evacuate(), 0, true)], true)]
#[case::the_same_twice(&[(evacuate(), 0, true), (evacuate(), 1, true)], true)]
#[case::taken_back(&[(evacuate(), 0, true), (restore(), 1, true)], false)]
#[case::taken_back_unasked(&[(restore(), 0, true)], false)]
#[case::again(&[(evacuate(), 0, true), (restore(), 1, true), (evacuate(), 2, true)], true)]
#[case::raced_by_its_end(&[(restore(), 0, true), (evacuate(), 0, false)], false)]
#[case::raced_by_its_beginning(&[(evacuate(), 0, true), (restore(), 0, false)], true)]
#[case::held_up_until_after_its_end(
    &[(evacuate(), 0, true), (restore(), 1, true), (evacuate(), 0, false)],
    false
)]
fn of_orders_about_a_zone_none_undoes_a_later_one(
    #[case] orders: &[(Change, u64, bool)],
    #[case] evacuated: bool,
) {
    let mut cluster = Cluster::new();
    for (number, (change, based_on, taken)) in orders.iter().enumerate() {
        let session = format!("operator-{number}");
        let outcome = cluster.request(request(&session, 1, Some(*based_on), change.clone()));
        assert_eq!(matches!(outcome, ChangeOutcome::Accepted { .. }), *taken, "{outcome:?}");
    }
    let zones = cluster.state.catalog().evacuated();
    assert_eq!(zones.contains(&ZoneName::new("palermo")), evacuated);
}

#[test]
fn an_order_about_another_zone_is_no_rival() {
    let mut cluster = Cluster::new();
    accepted(cluster.request(request("anna", 1, Some(0), evacuate())));
    let other = Change::EvacuateZone(ZoneName::new("catania"));
    accepted(cluster.request(request("ben", 1, Some(0), other)));
    assert_eq!(cluster.state.catalog().evacuated().len(), 2);
    let order = cluster.state.history().last_change(&Target::Zone(ZoneName::new("palermo")));
    assert_eq!(order, Some(Revision(1)));
}

#[test]
fn evacuated_zones_are_bounded() {
    let mut cluster = Cluster::new();
    for number in 0..1_024 {
        let zone = ZoneName::new(format!("zone-{number}"));
        accepted(cluster.change("anna", number + 1, Change::EvacuateZone(zone)));
    }
    let refused = cluster.change("anna", 2_000, evacuate());
    assert!(refusal(refused).to_string().contains("RESTORE ZONE"));
    accepted(cluster.change("anna", 2_001, Change::EvacuateZone(ZoneName::new("zone-7"))));
}
