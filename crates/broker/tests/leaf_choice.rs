//! Eligibility of leaves: regions, evacuated zones, reused addresses and cold leaves.

mod support;

use std::thread::sleep;
use std::time::{Duration, Instant};

use gingerkeel_domain::directory::LeafDirectory;
use gingerkeel_domain::forwarding::ColdStart;
use gingerkeel_domain::identifiers::RegionName;
use gingerkeel_domain::routes::RegionPolicy;
use rstest::rstest;
use support::control::ControlScript;
use support::leaf::{LeafAction, ScriptedLeaf, response};
use support::routed::{RoutedBroker, configuration, directory, feed_messages, honest, rejection};
use support::wait_until;

/// The broker's zone is in region `south`; the region of the second leaf's zone is unknown.
#[test]
fn requests_and_retries_stay_in_the_regions_of_their_route() {
    let near = ScriptedLeaf::for_all(|_| LeafAction::Send(rejection()));
    let elsewhere = honest("stamp", b"body");
    let mut routes = configuration(0);
    for route in &mut routes.routes {
        route.allowed_regions = RegionPolicy::only([RegionName::new("south")]);
    }
    let leaves = directory(&[near.address, elsewhere.address], &[]);
    let broker = RoutedBroker::start_with(&routes, &leaves);
    assert_eq!(broker.get("/one/").status, 503);
    assert!(!near.requests().is_empty());
    assert_eq!(elsewhere.requests().len(), 0);
}

#[test]
fn request_without_an_eligible_leaf_is_refused_at_once_with_the_reason() {
    let leaf = honest("stamp", b"body");
    let mut routes = configuration(1);
    for route in &mut routes.routes {
        route.allowed_regions = RegionPolicy::only([RegionName::new("north")]);
    }
    let leaves = directory(&[leaf.address], &[&[leaf.address]]);
    let broker = RoutedBroker::start_with(&routes, &leaves);
    for path in ["/one/", "/once/", "/all/"] {
        let began = Instant::now();
        let answer = broker.get(path);
        assert_eq!(answer.status, 503, "{path}");
        let after: f64 = answer.header("retry-after").expect("a time").parse().expect("seconds");
        assert!(after >= 1.0, "the reason lasts: {after}");
        assert!(began.elapsed() < Duration::from_millis(500), "refused at once");
    }
    assert_eq!(leaf.requests().len(), 0);
    let told = || broker.broker.log().matches("no_leaf=region_not_allowed").count() >= 3;
    wait_until("the reason is logged", told);
}

#[test]
fn leaf_at_a_reused_address_gets_one_request() {
    let stranger = ScriptedLeaf::for_all(|_| LeafAction::Send(response(421, "", b"")));
    let leaf = honest("stamp", b"body");
    let broker = RoutedBroker::start(&[stranger.address, leaf.address], &[]);
    for _ in 0..5 {
        assert_eq!(broker.get("/once/").status, 200);
    }
    assert_eq!(stranger.requests().len(), 1);
}

/// The first leaf of each service is in zone `a`, the second in zone `b`.
#[test]
fn leaves_of_an_evacuated_zone_get_no_requests() {
    let (near, other) = (honest("near", b"near"), honest("other", b"other"));
    let leaves = directory(&[near.address, other.address], &[&[near.address]]);
    let feed_messages = feed_messages(&configuration(1), &leaves);
    let script = ControlScript { evacuated: vec!["a"], feed_messages, ..ControlScript::default() };
    let broker = RoutedBroker::start_on(script, "");
    for _ in 0..3 {
        assert_eq!(broker.get("/one/").body, "other");
    }
    let began = Instant::now();
    assert_eq!(broker.get("/all/").status, 503, "the only leaf of the shard is in the zone");
    assert!(began.elapsed() < Duration::from_millis(500), "refused at once");
    assert_eq!(near.requests().len(), 0);
    wait_until("the reason is logged", || broker.broker.log().contains("no_leaf=zone_evacuated"));
}

/// A cold leaf may get two requests a second from all brokers together; there is one broker.
#[test]
fn cold_leaf_gets_requests_up_to_its_rate_and_others_the_rest() {
    let (cold, warm) = (honest("cold", b"cold"), honest("warm", b"warm"));
    let mut routes = configuration(0);
    for service in &mut routes.services {
        service.cold_start = ColdStart { span_ms: 2_000, requests_per_1000_s: 2_000 };
    }
    let leaves = directory(&[cold.address, warm.address], &[]);
    let mut leaves: Vec<_> = leaves.leaves().values().cloned().collect();
    leaves[0].cold_ms = 60_000;
    let mut listed = LeafDirectory::default();
    listed.apply(&listed.delta_to(&leaves).expect("a first list"));
    let broker = RoutedBroker::start_with(&routes, &listed);
    let began = Instant::now();
    let mut asked = 0;
    while began.elapsed() < Duration::from_millis(2_500) {
        assert_eq!(broker.get("/one/").status, 200);
        asked += 1;
        sleep(Duration::from_millis(10));
    }
    let taken = cold.requests().len();
    assert!((1..=6).contains(&taken), "{taken} requests in 2.5 s");
    assert_eq!(warm.requests().len(), asked - taken);
}

#[test]
fn load_report_of_a_leaf_is_counted_and_logged_with_the_next_request() {
    let leaf = ScriptedLeaf::for_all(|request| {
        let id = request.header("gingerkeel-request-id");
        let fields = format!(
            "gingerkeel-request-id: {id}\r\ngingerkeel-attestation: a\r\ngingerkeel-load: 4, 3,4,250\r\n"
        );
        LeafAction::Send(response(200, &fields, b""))
    });
    let feed_messages = feed_messages(&configuration(0), &directory(&[leaf.address], &[]));
    let script = ControlScript { feed_messages, ..ControlScript::default() };
    let broker = RoutedBroker::start_on(script, "log_sample = 1\n");
    assert_eq!(broker.get("/one/").status, 200);
    assert_eq!(broker.get("/one/").status, 200);
    let told = "reported_waiting=3 reported_pace=250";
    wait_until("the load is on the line", || broker.broker.log().contains(told));
}

#[rstest]
#[case::as_agreed("1,2,4", Some((1, 2, 4, 100)))]
#[case::with_pace(" 1, 2,4 ,400", Some((1, 2, 4, 400)))]
#[case::too_few("1,2", None)]
#[case::no_numbers("a,b,c", None)]
#[case::bad_pace("1,2,4,fast", None)]
#[case::negative("1,-2,4", None)]
#[case::empty("", None)]
fn malformed_load_report_is_ignored(
    #[case] text: &str,
    #[case] expected: Option<(u32, u32, u32, u32)>,
) {
    let report = gingerkeel_broker::routes::parse_load_report(text);
    let figures = |load: gingerkeel_domain::forwarding::LoadReport| {
        (load.running, load.waiting, load.slots, load.pace_percent)
    };
    assert_eq!(report.map(figures), expected);
}
