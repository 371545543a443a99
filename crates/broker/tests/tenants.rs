//! Authentication of tenants, and the caller's identity as forwarded to leaves.

mod support;

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use gingerkeel_domain::identifiers::{RegionName, TenantName};
use gingerkeel_domain::routes::{
    KeyDigest, RegionPolicy, RouteConfiguration, RouteVersion, Tenant, TenantQuota,
};
use gingerkeel_protocol::{Document, FeedMessage, pack_document};
use rstest::rstest;
use support::control::ControlScript;
use support::leaf::{LeafAction, LeafRequest, ScriptedLeaf, response};
use support::routed::{RoutedBroker, configuration, directory, feed_messages, honest, reply};
use support::wait_until;

/// A key of the tenant `kiosk`.
const KEY: &str = "k-3f9c81d2";
/// A key of no tenant.
const UNKNOWN_KEY: &str = "k-unheld77";
/// A forged identity field, which the broker must not forward.
const FORGED: &str = "Gingerkeel-Tenant: forged\r\n";

fn tenant(name: &str, keys: &[&str]) -> Tenant {
    Tenant {
        name: TenantName::new(name),
        keys: keys.iter().map(|key| KeyDigest::of(key.as_bytes())).collect(),
        priority: None,
        quota: TenantQuota::default(),
        allowed_regions: RegionPolicy::default(),
    }
}

/// The usual routes with two tenants; `/one/` is public if `one_is_public`.
fn with_tenants(shards: usize, one_is_public: bool) -> RouteConfiguration {
    let mut configuration = configuration(shards);
    configuration.tenants = vec![tenant("depot", &["k-depot"]), tenant("kiosk", &["k-old", KEY])];
    configuration.routes[0].public = one_is_public;
    configuration
}

fn authorization(key: &str) -> String {
    format!("Authorization: Bearer {key}\r\n")
}

fn request(start: &str, fields: &str) -> String {
    format!("{start} HTTP/1.1\r\nHost: h\r\ngingerkeel-request-id: r1\r\n{fields}\r\n")
}

/// Asserts that forwarded requests name the tenant and have no other data of the caller.
fn assert_named(requests: &[LeafRequest], tenant: &str) {
    assert!(!requests.is_empty());
    for request in requests {
        let fields: Vec<&str> =
            request.head.lines().filter(|line| line.to_lowercase().contains("tenant")).collect();
        assert_eq!(fields, [format!("gingerkeel-tenant: {tenant}")], "{}", request.head);
        let head = request.head.to_lowercase();
        assert!(!head.contains("authorization") && !head.contains("k-"), "{}", request.head);
    }
}

#[rstest]
#[case::usual(format!("{}{FORGED}", authorization(KEY)), "kiosk")]
#[case::other_key(authorization("k-old"), "kiosk")]
#[case::other_tenant(authorization("k-depot"), "depot")]
#[case::scheme_in_capitals(format!("AUTHORIZATION: BEARER {KEY}\r\n"), "kiosk")]
#[case::more_space(format!("Authorization:  Bearer   {KEY} \r\n"), "kiosk")]
#[case::beside_another_scheme(format!("Authorization: Basic eDp5\r\n{}", authorization(KEY)), "kiosk")]
#[case::twice_forged(format!("{FORGED}{}gingerkeel-TENANT: forged\r\n", authorization(KEY)), "kiosk")]
fn tenant_of_a_key_is_forwarded_to_leaves(#[case] fields: String, #[case] tenant: &str) {
    let leaf = honest("stamp", b"body");
    let routes = with_tenants(0, false);
    let broker = RoutedBroker::start_with(&routes, &directory(&[leaf.address], &[]));
    let mut caller = broker.caller();
    caller.send(request("GET /one/", &fields).as_bytes());
    assert_eq!(caller.receive().expect("an answer").status, 200);
    assert_named(&leaf.requests(), tenant);
}

#[rstest]
#[case::none(String::new())]
#[case::forged_name_alone(FORGED.to_owned())]
#[case::unknown(authorization(UNKNOWN_KEY))]
#[case::beginning_of_a_key(authorization("k-3f9c81d"))]
#[case::empty(authorization(""))]
#[case::no_scheme(format!("Authorization: {KEY}\r\n"))]
#[case::another_scheme(format!("Authorization: Basic {KEY}\r\n"))]
#[case::two_keys(format!("{}{}", authorization(KEY), authorization("k-depot")))]
#[case::name_as_key(authorization("kiosk"))]
#[case::no_text("Authorization: Bearer \u{fffd}\r\n".to_owned())]
fn request_without_a_known_key_is_refused_and_reaches_no_leaf(#[case] fields: String) {
    let leaf = honest("stamp", b"body");
    let routes = with_tenants(0, false);
    let broker = RoutedBroker::start_with(&routes, &directory(&[leaf.address], &[]));
    let mut caller = broker.caller();
    caller.send(request("GET /one/", &fields).as_bytes());
    let refusal = caller.receive().expect("an answer");
    assert_eq!((refusal.status, refusal.header("www-authenticate")), (401, Some("Bearer")));
    assert!(leaf.requests().is_empty());
    assert!(!refusal.closes());
    caller.send(request("GET /one/", &authorization(KEY)).as_bytes());
    assert_eq!(caller.receive().expect("an answer on the same connection").status, 200);
}

#[rstest]
#[case::length("Content-Length: 900\r\n", "")]
#[case::chunks("Transfer-Encoding: chunked\r\n", "")]
#[case::awaited("Content-Length: 900\r\nExpect: 100-continue\r\n", "")]
#[case::body_like_a_request(
    "Content-Length: 900\r\n",
    "GET /one/ HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer k-depot\r\n\r\n"
)]
fn body_without_a_known_key_is_not_awaited(#[case] framing: &str, #[case] begun: &str) {
    let leaf = honest("stamp", b"body");
    let routes = with_tenants(0, false);
    let broker = RoutedBroker::start_with(&routes, &directory(&[leaf.address], &[]));
    let mut caller = broker.caller();
    let head = request("POST /once/", &format!("{framing}{}", authorization(UNKNOWN_KEY)));
    caller.send(format!("{head}{begun}").as_bytes());
    let refusal = caller.receive().expect("an answer before the body");
    assert_eq!((refusal.status, refusal.closes()), (401, true));
    assert!(caller.is_closed());
    assert!(leaf.requests().is_empty());
}

#[test]
fn an_unknown_route_needs_no_key() {
    let leaf = honest("stamp", b"body");
    let routes = with_tenants(0, false);
    let broker = RoutedBroker::start_with(&routes, &directory(&[leaf.address], &[]));
    assert_eq!(broker.get("/other/").status, 404);
}

#[rstest]
#[case::without_key(String::new(), 200, "")]
#[case::forged_name(FORGED.to_owned(), 200, "")]
#[case::another_scheme("Authorization: Basic eDp5\r\n".to_owned(), 200, "")]
#[case::known_key(authorization(KEY), 200, "kiosk")]
#[case::unknown_key(authorization(UNKNOWN_KEY), 401, "")]
fn a_public_route_needs_no_key(#[case] fields: String, #[case] status: u16, #[case] tenant: &str) {
    let leaf = honest("stamp", b"body");
    let routes = with_tenants(0, true);
    let broker = RoutedBroker::start_with(&routes, &directory(&[leaf.address], &[]));
    let mut caller = broker.caller();
    caller.send(request("GET /one/", &fields).as_bytes());
    assert_eq!(caller.receive().expect("an answer").status, status);
    for request in leaf.requests() {
        assert_eq!(request.header("gingerkeel-tenant"), tenant);
        assert_eq!(request.header("authorization"), "");
    }
    assert_eq!(leaf.requests().len(), usize::from(status == 200));
}

#[test]
fn identity_fields_are_forwarded_without_configured_tenants() {
    let leaf = honest("stamp", b"body");
    let broker = RoutedBroker::start(&[leaf.address], &[]);
    let mut caller = broker.caller();
    caller.send(request("GET /one/", &format!("{}{FORGED}", authorization(KEY))).as_bytes());
    assert_eq!(caller.receive().expect("an answer").status, 200);
    let request = leaf.requests().remove(0);
    assert_eq!(request.header("authorization"), format!("Bearer {KEY}"));
    assert_eq!(request.header("gingerkeel-tenant"), "forged");
}

#[test]
fn request_is_not_refused_for_its_key_without_a_configuration() {
    let broker = RoutedBroker::start_on(ControlScript::default(), "start_wait_ms = 100\n");
    let mut caller = broker.caller();
    let fields = format!("{}Content-Length: 4\r\n", authorization(KEY));
    caller.send(format!("{}body", request("POST /once/", &fields)).as_bytes());
    let refusal = caller.receive().expect("an answer");
    assert_eq!(refusal.status, 503);
    assert!(refusal.header("retry-after").is_some());
}

#[test]
fn retries_name_the_tenant() {
    let failing = ScriptedLeaf::for_all(|_| {
        LeafAction::Send(response(500, "gingerkeel-request-id: r1\r\n", b""))
    });
    let good = honest("good", b"good");
    let list = directory(&[failing.address, good.address], &[]);
    let broker = RoutedBroker::start_with(&with_tenants(0, false), &list);
    let mut caller = broker.caller();
    caller.send(request("GET /one/", &format!("{FORGED}{}", authorization(KEY))).as_bytes());
    assert_eq!(caller.receive().expect("an answer").body, "good");
    assert_named(&failing.requests(), "kiosk");
    assert_named(&good.requests(), "kiosk");
}

#[test]
fn parts_and_hedges_name_the_tenant() {
    let silent = ScriptedLeaf::for_all(|_| LeafAction::NoReply);
    let (good, second) = (honest("s0", &[1; 16]), honest("s1", &[2; 16]));
    let list = directory(&[], &[&[silent.address, good.address], &[second.address]]);
    let broker = RoutedBroker::start_with(&with_tenants(2, false), &list);
    let mut caller = broker.caller();
    caller.send(request("GET /all/", &format!("{FORGED}{}", authorization(KEY))).as_bytes());
    let answer = caller.receive().expect("an answer");
    assert_eq!((answer.status, answer.header("gingerkeel-missing-parts")), (200, Some("0")));
    for leaf in [&silent, &good, &second] {
        assert_named(&leaf.requests(), "kiosk");
    }
}

/// Feed message with a configuration.
fn routes_message(configuration: &RouteConfiguration) -> FeedMessage {
    let document = pack_document(configuration).expect("a document");
    FeedMessage::Routes { configuration: Document::from(document) }
}

#[test]
fn changed_configuration_applies_to_open_connections_but_not_to_requests_in_flight() {
    let count = AtomicUsize::new(0);
    let leaf = ScriptedLeaf::for_all(move |request| {
        if count.fetch_add(1, Ordering::SeqCst) == 0 {
            // Longer than the time until the key is revoked.
            std::thread::sleep(Duration::from_millis(2_500));
        }
        LeafAction::Send(reply(request, "stamp", b"body"))
    });
    let first = with_tenants(0, false);
    let mut second = first.clone();
    second.version = RouteVersion(2);
    second.tenants = vec![tenant("depot", &["k-depot", "k-new"])];
    let list = directory(&[leaf.address], &[]);
    let later_messages = BTreeMap::from([(2, vec![routes_message(&second)])]);
    let script = ControlScript {
        feed_messages: feed_messages(&first, &list),
        later_messages,
        ..Default::default()
    };
    let broker = RoutedBroker::start_on(script, "");
    let mut under_way = broker.caller();
    under_way.send(request("GET /one/", &authorization(KEY)).as_bytes());
    let mut open = broker.caller();
    let mut ask = |key: &str| -> u16 {
        open.send(request("GET /other/", &authorization(key)).as_bytes());
        assert_eq!(open.receive().expect("an answer").status, 404);
        open.send(request("GET /one/", &authorization(key)).as_bytes());
        open.receive().expect("an answer").status
    };
    assert_eq!(ask(KEY), 200);
    wait_until("the key is revoked", || ask(KEY) == 401);
    assert_eq!([ask("k-new"), ask("k-depot"), ask("k-old")], [200, 200, 401]);
    assert_eq!(under_way.receive().expect("an answer").status, 200);
}

/// The usual routes with a tenant that is bound to a region.
fn bound_to(tenant_region: &str, route_region: Option<&str>) -> RouteConfiguration {
    let mut configuration = with_tenants(0, false);
    configuration.tenants[1].allowed_regions = RegionPolicy::only([RegionName::new(tenant_region)]);
    if let Some(region) = route_region {
        configuration.routes[0].allowed_regions = RegionPolicy::only([RegionName::new(region)]);
    }
    configuration
}

#[rstest]
#[case::tenant("south", None)]
#[case::both("south", Some("south"))]
fn retries_stay_in_the_regions_of_tenant_and_route(
    #[case] tenant_region: &str,
    #[case] route_region: Option<&str>,
) {
    let failing = ScriptedLeaf::for_all(|_| {
        LeafAction::Send(response(500, "gingerkeel-request-id: r1\r\n", b""))
    });
    // The zone of this leaf has no region in the settings.
    let elsewhere = honest("elsewhere", b"elsewhere");
    let list = directory(&[failing.address, elsewhere.address], &[]);
    let broker = RoutedBroker::start_with(&bound_to(tenant_region, route_region), &list);
    let ask = |key: &str| {
        let mut caller = broker.caller();
        caller.send(request("GET /one/", &authorization(key)).as_bytes());
        caller.receive().expect("an answer").status
    };
    assert_eq!(ask(KEY), 500);
    assert!(elsewhere.requests().is_empty());
    if route_region.is_none() {
        assert_eq!(ask("k-depot"), 200, "another tenant is not bound");
    }
}

#[test]
fn hedges_stay_in_the_regions_of_the_tenant() {
    let silent = ScriptedLeaf::for_all(|_| LeafAction::NoReply);
    let elsewhere = honest("elsewhere", b"elsewhere");
    let mut routes = bound_to("south", None);
    routes.routes[0].timeout_ms = 900;
    let list = directory(&[silent.address, elsewhere.address], &[]);
    let broker = RoutedBroker::start_with(&routes, &list);
    let mut caller = broker.caller();
    caller.send(request("GET /one/", &authorization(KEY)).as_bytes());
    assert_eq!(caller.receive().expect("an answer").status, 504);
    assert!(elsewhere.requests().is_empty());
}

#[rstest]
#[case::no_leaf_in_its_region("north", None)]
#[case::no_region_in_common("south", Some("north"))]
fn request_without_an_allowed_region_is_refused_at_once(
    #[case] tenant_region: &str,
    #[case] route_region: Option<&str>,
) {
    let leaf = honest("stamp", b"body");
    let list = directory(&[leaf.address], &[]);
    let broker = RoutedBroker::start_with(&bound_to(tenant_region, route_region), &list);
    let mut caller = broker.caller();
    caller.send(request("GET /one/", &authorization(KEY)).as_bytes());
    let refusal = caller.receive().expect("an answer");
    assert_eq!((refusal.status, refusal.header("retry-after")), (503, Some("1.000")));
    assert!(leaf.requests().is_empty());
    let reason = "no_leaf=region_not_allowed";
    wait_until("the reason is logged", || broker.broker.log().contains(reason));
}

#[test]
fn refusals_are_counted_and_keys_are_not_exposed() {
    let leaf = honest("stamp", b"body");
    let settings = "metrics = \"127.0.0.1:0\"\nlog_sample = 1\n";
    let script = ControlScript {
        feed_messages: feed_messages(&with_tenants(0, false), &directory(&[leaf.address], &[])),
        ..ControlScript::default()
    };
    let broker = RoutedBroker::start_on(script, settings);
    let mut bodies = String::new();
    for key in [KEY, UNKNOWN_KEY] {
        let mut caller = broker.caller();
        caller.send(request("GET /one/", &authorization(key)).as_bytes());
        bodies += &caller.receive().expect("an answer").body;
    }
    wait_until("both are logged", || {
        broker.broker.log().matches("event=request_ended").count() == 2
    });
    let log = broker.broker.log();
    assert!(log.contains("outcome=unauthorized status=401"), "{log}");
    assert!(log.contains("tenant=kiosk"), "{log}");
    let shown = log + &bodies;
    assert!(!shown.contains(KEY) && !shown.contains(UNKNOWN_KEY), "{shown}");
}
