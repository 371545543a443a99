//! Route configurations: validation, versions and route lookup.

use gingerkeel_domain::directory::{LeafAvailability, ListedLeaf};
use gingerkeel_domain::forwarding::ColdStart;
use std::sync::Arc;

use gingerkeel_domain::identifiers::{
    LeafIdentity, RegionName, ServiceName, SoftwareVersion, ZoneName,
};
use gingerkeel_domain::routes::{
    AcceptedRoutes, BackEndService, CallerLimits, Destination, PartsPerMillion, RegionPolicy,
    ReplaceOutcome, Route, RouteConfiguration, RouteError, RouteLookup, RouteState, RouteTable,
    RouteVersion, ShardSet, WeightedService,
};
use rstest::rstest;

fn service(name: &str) -> BackEndService {
    BackEndService {
        name: ServiceName::new(name),
        health_path: "/health".to_owned(),
        connection_limit: 10,
        cold_start: ColdStart::default(),
    }
}

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: host.to_owned(),
        path_prefix: prefix.to_owned(),
        repeatable: true,
        timeout_ms: 1_000,
        target_latency_ms: 100,
        priority: 0,
        attempts: 2,
        destination: Destination::Service(ServiceName::new("a")),
        allowed_regions: RegionPolicy::default(),
        public: false,
    }
}

fn configuration(version: u64, routes: Vec<Route>) -> RouteConfiguration {
    RouteConfiguration {
        version: RouteVersion(version),
        routes,
        services: vec![service("a"), service("b")],
        limits: CallerLimits::default(),
        tenants: Vec::new(),
    }
}

fn shards(services: &[&str]) -> Destination {
    Destination::Shards(ShardSet {
        services: services.iter().map(ServiceName::new).collect(),
        greatest: 5,
        least_share: PartsPerMillion(500_000),
    })
}

fn accepted(configuration: RouteConfiguration, document: &str) -> Arc<AcceptedRoutes> {
    Arc::new(AcceptedRoutes { configuration, document: document.as_bytes().to_vec() })
}

#[test]
fn a_correct_configuration_is_valid() {
    let split = Destination::Split(vec![
        WeightedService { service: ServiceName::new("a"), weight: 0 },
        WeightedService { service: ServiceName::new("b"), weight: 3 },
    ]);
    let routes = vec![
        route("one", "h", "/"),
        Route { destination: split, ..route("two", "h", "/x/") },
        Route { destination: shards(&["a", "b"]), ..route("three", "h2", "/x/") },
    ];
    assert_eq!(configuration(1, routes).validate(), Ok(()));
}

#[rstest]
#[case::unknown_service(
    Route { destination: Destination::Service(ServiceName::new("z")), ..route("r", "h", "/") },
    "names service z"
)]
#[case::unknown_shard(
    Route { destination: shards(&["a", "z"]), ..route("r", "h", "/") },
    "names service z"
)]
#[case::shard_twice(
    Route { destination: shards(&["a", "a"]), ..route("r", "h", "/") },
    "name each shard once"
)]
#[case::no_shard(Route { destination: shards(&[]), ..route("r", "h", "/") }, "name each shard once")]
#[case::no_weight(
    Route {
        destination: Destination::Split(vec![WeightedService {
            service: ServiceName::new("a"),
            weight: 0,
        }]),
        ..route("r", "h", "/")
    },
    "add up to 0"
)]
#[case::no_timeout(Route { timeout_ms: 0, ..route("r", "h", "/") }, "time-out of 0")]
#[case::prefix_without_slash(route("r", "h", "/x"), "begin and end it with a slash")]
#[case::no_host(route("r", "", "/"), "names no host")]
#[case::same_place(route("first", "h", "/x/"), "a place of its own")]
fn a_validation_error_names_the_remedy(#[case] faulty: Route, #[case] text: &str) {
    let routes = vec![route("sound", "h", "/x/"), faulty];
    let error = configuration(1, routes).validate().expect_err("a fault");
    assert!(error.to_string().contains(text), "{error}");
}

#[test]
fn a_duplicate_service_is_rejected() {
    let mut twice = configuration(1, vec![]);
    twice.services.push(service("a"));
    assert_eq!(twice.validate(), Err(RouteError::DuplicateService(ServiceName::new("a"))));
}

#[test]
fn the_highest_version_wins_in_any_order() {
    let mut state = RouteState::default();
    let newest = accepted(configuration(7, vec![route("r", "h", "/")]), "seven");
    let older = accepted(configuration(5, vec![]), "five");
    let same = accepted(configuration(7, vec![]), "another seven");
    assert_eq!(state.replace(&newest), ReplaceOutcome::Accepted);
    assert_eq!(state.replace(&older), ReplaceOutcome::Superseded(RouteVersion(7)));
    assert_eq!(state.replace(&same), ReplaceOutcome::Superseded(RouteVersion(7)));
    assert_eq!(state.current(), Some(&newest));
}

#[test]
fn the_first_configuration_may_have_any_version() {
    let mut state = RouteState::default();
    assert_eq!(state.replace(&accepted(configuration(0, vec![]), "")), ReplaceOutcome::Accepted);
}

#[test]
fn an_invalid_configuration_changes_nothing() {
    let mut state = RouteState::default();
    let invalid = accepted(configuration(9, vec![route("r", "h", "x")]), "");
    assert_eq!(state.replace(&invalid), ReplaceOutcome::Invalid);
    assert_eq!(state.current(), None);
}

#[rstest]
#[case("h", "/x/y/z", Some("long"))]
#[case("H:8080", "/x/y/", Some("long"))]
#[case("h", "/x/yy", Some("short"))]
#[case("h", "/other", None)]
#[case("h", "/x", None)]
#[case("unknown", "/x/", None)]
fn the_longest_prefix_of_the_host_is_chosen(
    #[case] host: &str,
    #[case] path: &str,
    #[case] expected: Option<&str>,
) {
    let routes = vec![route("short", "h", "/x/"), route("long", "h", "/x/y/")];
    let table = RouteTable::new(configuration(1, routes));
    let found = match table.find(host, path) {
        RouteLookup::Found(route) => Some(route.name.clone()),
        RouteLookup::NotFound => None,
    };
    assert_eq!(found.as_deref(), expected);
}

#[test]
fn routes_to_the_same_leaves_are_ranked_by_priority() {
    let prioritized = |name: &str, prefix: &str, priority| Route {
        priority,
        destination: shards(&["a", "b"]),
        ..route(name, "h", prefix)
    };
    let alone = Route { priority: 9, destination: shards(&["b"]), ..route("alone", "h", "/d/") };
    let (high, low, same) =
        (prioritized("x", "/a/", 1), prioritized("y", "/b/", 7), prioritized("z", "/c/", 7));
    let routes = vec![low.clone(), high.clone(), same.clone(), alone.clone()];
    let table = RouteTable::new(configuration(1, routes));
    let ranks: Vec<u32> =
        [&high, &low, &same, &alone].map(|route| table.rank(route, None)).to_vec();
    assert_eq!(ranks, [0, 1, 1, 0]);
}

#[rstest]
#[case(890_000, 9, 10, true)]
#[case(890_000, 8, 10, false)]
#[case(750_000, 3, 4, true)]
#[case(1_000_000, 10, 10, true)]
#[case(1_000_000, 9, 10, false)]
fn a_fraction_is_compared_exactly(
    #[case] share: u32,
    #[case] part: usize,
    #[case] whole: usize,
    #[case] expected: bool,
) {
    assert_eq!(PartsPerMillion(share).reached_by(part, whole), expected);
}

#[rstest]
#[case::no_policy(&[], Some("north"), true)]
#[case::no_policy_and_unknown_region(&[], None, true)]
#[case::allowed(&["north", "south"], Some("south"), true)]
#[case::another_region(&["north"], Some("south"), false)]
#[case::unknown_region(&["north"], None, false)]
fn a_region_policy_allows_the_regions_it_names(
    #[case] named: &[&str],
    #[case] region: Option<&str>,
    #[case] allowed: bool,
) {
    let policy = RegionPolicy::only(named.iter().map(RegionName::new));
    assert_eq!(policy.allows(region), allowed);
    assert_eq!(policy.is_restricted(), !named.is_empty());
}

#[test]
fn warm_up_times_are_kept_only_for_services_that_limit_cold_leaves() {
    let mut sent = configuration(1, vec![route("r", "h", "/")]);
    sent.services[0].cold_start = ColdStart { span_ms: 3_000, requests_per_1000_s: 5_000 };
    let mut state = RouteState::default();
    let listed = |service: &str| ListedLeaf {
        identity: LeafIdentity::new(service),
        service: ServiceName::new(service),
        address: ([127, 0, 0, 1], 1).into(),
        zone: ZoneName::new("z"),
        slots: 4,
        availability: LeafAvailability::Ready,
        cold_ms: 2_000,
        version: SoftwareVersion::default(),
    };
    let cold_times = |state: &RouteState| {
        let mut leaves = ["a", "b", "unnamed"].map(listed);
        state.clear_unlimited_cold_starts(&mut leaves);
        leaves.map(|leaf| leaf.cold_ms)
    };
    assert_eq!(cold_times(&state), [0, 0, 0]);
    state.replace(&accepted(sent, ""));
    assert_eq!(cold_times(&state), [2_000, 0, 0]);
}
