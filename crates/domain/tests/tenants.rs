//! Tenants of a configuration: validation, keys, priorities and regions.

use std::sync::Arc;

use gingerkeel_domain::identifiers::{RegionName, ServiceName, TenantName};
use gingerkeel_domain::routes::{
    CallerLimits, Destination, KeyDigest, KeyIndex, RegionPolicy, Route, RouteConfiguration,
    RouteTable, RouteVersion, Tenant, TenantQuota,
};
use rstest::rstest;

fn tenant(name: &str, keys: &[&str]) -> Tenant {
    Tenant {
        name: TenantName::new(name),
        keys: keys.iter().map(|key| KeyDigest::of(key.as_bytes())).collect(),
        priority: None,
        quota: TenantQuota::default(),
        allowed_regions: RegionPolicy::default(),
    }
}

fn ranked(name: &str, priority: u32) -> Tenant {
    Tenant { priority: Some(priority), ..tenant(name, &[]) }
}

fn route(name: &str, priority: u32) -> Route {
    Route {
        name: name.to_owned(),
        host: "h".to_owned(),
        path_prefix: format!("/{name}/"),
        repeatable: true,
        timeout_ms: 1_000,
        target_latency_ms: 100,
        priority,
        attempts: 1,
        destination: Destination::Service(ServiceName::new("s")),
        allowed_regions: RegionPolicy::default(),
        public: false,
    }
}

fn configuration(routes: Vec<Route>, tenants: Vec<Tenant>) -> RouteConfiguration {
    RouteConfiguration {
        version: RouteVersion(1),
        routes,
        services: Vec::new(),
        limits: CallerLimits::default(),
        tenants,
    }
}

#[rstest]
#[case::none(vec![], None)]
#[case::sound(vec![tenant("a", &["k1", "k2"]), tenant("b", &["k3"]), tenant("no keys", &[])], None)]
#[case::one_key_twice(vec![tenant("a", &["k1", "k1"])], None)]
#[case::name_twice(vec![tenant("a", &["k1"]), tenant("a", &["k2"])], Some("a is defined twice"))]
#[case::key_of_two(vec![tenant("a", &["k1"]), tenant("b", &["k2", "k1"])], Some("tenants a and b hold the same key"))]
#[case::no_name(vec![tenant("", &["k1"])], Some("tenant name `` cannot be sent"))]
#[case::name_of_two_lines(vec![tenant("a\r\nx-field: 1", &["k1"])], Some("`a\\r\\nx-field: 1` cannot be sent"))]
#[case::space_around(vec![tenant(" a", &["k1"])], Some("cannot be sent"))]
fn tenants_are_valid_together_or_not_at_all(
    #[case] tenants: Vec<Tenant>,
    #[case] fault: Option<&str>,
) {
    match (configuration(Vec::new(), tenants).validate(), fault) {
        (Ok(()), None) => {}
        (Err(error), Some(fault)) => {
            let text = error.to_string();
            assert!(text.contains(fault), "{text}");
            assert!(!text.contains("k1"), "{text}");
        }
        (validity, _) => panic!("{validity:?}"),
    }
}

#[test]
fn a_key_identifies_exactly_one_tenant() {
    let index = KeyIndex::new(vec![tenant("a", &["k1", "k2"]), tenant("b", &["k3"])]);
    let holder = |key: &str| {
        let found = index.holder(&KeyDigest::of(key.as_bytes()));
        found.map(|tenant| tenant.name.as_str())
    };
    assert_eq!(
        ["k1", "k2", "k3", "k", "k11", ""].map(holder),
        [Some("a"), Some("a"), Some("b"), None, None, None]
    );
    assert!(index.is_required());
    assert!(KeyIndex::new(vec![tenant("a", &[])]).is_required(), "even without any key");
    assert!(!KeyIndex::default().is_required());
}

#[test]
fn debug_output_of_a_tenant_contains_no_full_digest() {
    let digest = KeyDigest::of(b"k1");
    let printed = format!("{:?}", tenant("a", &["k1"]));
    assert!(printed.contains(&format!("{digest:?}")), "{printed}");
    assert!(printed.len() < 250, "{printed}");
}

/// A rank is the position of a priority among those that requests to leaves can have.
#[rstest]
#[case::tenant_before_route(route("urgent", 0), Some(ranked("a", 7)), 2)]
#[case::highest(route("batch", 5), Some(ranked("b", 1)), 0)]
#[case::priority_of_the_route(route("batch", 5), Some(tenant("c", &[])), 1)]
#[case::public(route("open", 3), None, 1)]
fn the_priority_of_a_tenant_overrides_that_of_the_route(
    #[case] asked: Route,
    #[case] caller: Option<Tenant>,
    #[case] rank: u32,
) {
    let routes = vec![Route { public: true, ..asked.clone() }];
    let table = RouteTable::new(configuration(routes, vec![ranked("a", 7), ranked("b", 1)]));
    assert_eq!(table.rank(&asked, caller.as_ref()), rank);
}

#[test]
fn an_unused_priority_has_no_rank() {
    let routes = vec![route("urgent", 0), route("batch", 5)];
    let tenants = vec![ranked("a", 3), ranked("b", 9)];
    let (high, low) = (Arc::new(tenants[0].clone()), Arc::new(tenants[1].clone()));
    let table = RouteTable::new(configuration(routes.clone(), tenants));
    for route in &routes {
        assert_eq!([table.rank(route, Some(&high)), table.rank(route, Some(&low))], [0, 1]);
    }
}

#[rstest]
#[case::both_free(&[], &[], Some("south"), true)]
#[case::unknown_region(&[], &[], None, true)]
#[case::tenant_binds(&[], &["south"], Some("north"), false)]
#[case::tenant_allows(&[], &["south"], Some("south"), true)]
#[case::tenant_binds_unknown(&[], &["south"], None, false)]
#[case::route_binds(&["south"], &[], Some("north"), false)]
#[case::both_allow(&["south", "west"], &["south"], Some("south"), true)]
#[case::only_the_route_allows(&["south", "west"], &["south"], Some("west"), false)]
#[case::nothing_in_common(&["west"], &["south"], Some("south"), false)]
fn regions_of_tenant_and_route_both_apply(
    #[case] of_route: &[&str],
    #[case] of_tenant: &[&str],
    #[case] region: Option<&str>,
    #[case] allowed: bool,
) {
    let policy = |regions: &[&str]| RegionPolicy::only(regions.iter().map(RegionName::new));
    let route = Route { allowed_regions: policy(of_route), ..route("r", 0) };
    let tenant = Tenant { allowed_regions: policy(of_tenant), ..tenant("a", &[]) };
    assert_eq!(route.allows_region(Some(&tenant), region), allowed);
    assert_eq!(route.allows_region(None, region), route.allowed_regions.allows(region));
}
