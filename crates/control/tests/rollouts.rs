//! Roll-outs at a control process: orders, brokers' reports and the stages sent to brokers.

mod support;

use std::time::Duration;

use bytes::Bytes;
use gingerkeel_domain::catalog::{Catalog, Change};
use gingerkeel_domain::forwarding::{ColdStart, Distance};
use gingerkeel_domain::identifiers::{LeafIdentity, Revision, ServiceName};
use gingerkeel_domain::rollout::{
    Evidence, LatencyBucket, OutcomeCounts, RolloutReport, RolloutStage, Stratum,
};
use gingerkeel_domain::routes::{
    BackEndService, CallerLimits, Destination, RegionPolicy, Route, RouteConfiguration,
    RouteVersion,
};
use gingerkeel_protocol::{FeedMessage, SubscriberMessage, decode_document, encode_document};
use gingerkeel_statement::StatementReply;
use gingerkeel_transport::{ClientConnection, HttpRequest, Limits, block_on};
use http::{Method, Uri};
use rstest::rstest;
use support::{Control, FakeBroker, wait_until};

/// A configuration with one route, to service `search`.
fn routes() -> String {
    let search = ServiceName::new("search");
    let route = Route {
        name: "r".into(),
        host: "h".into(),
        path_prefix: "/r/".into(),
        repeatable: true,
        timeout_ms: 2_000,
        target_latency_ms: 100,
        priority: 1,
        attempts: 2,
        destination: Destination::Service(search.clone()),
        allowed_regions: RegionPolicy::default(),
        public: false,
    };
    let service = BackEndService {
        name: search,
        health_path: "/health".into(),
        connection_limit: 8,
        cold_start: ColdStart::default(),
    };
    let configuration = RouteConfiguration {
        version: RouteVersion(1),
        routes: vec![route],
        services: vec![service],
        limits: CallerLimits::default(),
        tenants: Vec::new(),
    };
    serde_json::to_string(&configuration).expect("a document")
}

fn start() -> Control {
    let control = Control::start("control-1");
    let (status, text) = control.put_routes(&routes());
    assert_eq!(status, 200, "{text}");
    control
}

fn call(control: &Control, method: Method, service: &str, body: &str) -> (u16, String) {
    let routes = control.routes.expect("an address for routes");
    let mut request = HttpRequest::new(Bytes::copy_from_slice(body.as_bytes()));
    *request.method_mut() = method;
    *request.uri_mut() =
        format!("/v1/rollouts/{service}").parse::<Uri>().expect("a path of a service");
    let exchanging = async move {
        let mut connection = ClientConnection::connect(routes, Limits::default()).await?;
        connection.exchange(request).await
    };
    let response = block_on(exchanging).unwrap().expect("the process answers");
    (response.status().as_u16(), String::from_utf8_lossy(response.body()).into_owned())
}

fn order(control: &Control, version: &str, within_ms: u64) -> (u16, String) {
    let body = format!("{{\"version\":\"{version}\",\"within_ms\":{within_ms}}}");
    call(control, Method::PUT, "search", &body)
}

fn stage(control: &Control) -> String {
    let (status, text) = call(control, Method::GET, "search", "");
    assert_eq!(status, 200, "{text}");
    let document: serde_json::Value = serde_json::from_str(&text).expect("JSON");
    document["stage"].as_str().expect("a stage").to_owned()
}

#[test]
fn order_is_accepted_read_back_and_accepted_again() {
    let control = start();
    assert_eq!(call(&control, Method::GET, "search", "").0, 404);
    assert_eq!(order(&control, "v2", 60_000).0, 200);
    assert_eq!(order(&control, "v2", 60_000).0, 200);
    assert_eq!(stage(&control), "trial");
    let rows = control.rows("SHOW ROLLOUTS");
    assert_eq!(rows.len(), 1);
    assert_eq!(rows[0][..3], ["search", "v2", "trial"]);
}

#[test]
fn another_order_conflicts_with_the_roll_out_under_way() {
    let control = start();
    assert_eq!(order(&control, "v2", 60_000).0, 200);
    let (status, text) = order(&control, "v3", 60_000);
    assert_eq!(status, 409);
    assert!(text.contains("version v2 of service search is under way"), "{text}");
}

#[rstest]
#[case::unknown_service("serch", r#"{"version":"v2","within_ms":1000}"#, "not known")]
#[case::no_time("search", r#"{"version":"v2","within_ms":0}"#, "from 1 ms")]
#[case::no_version("search", r#"{"version":"","within_ms":1000}"#, "names no version")]
#[case::unreadable("search", r#"{"version":"v2","#, "not readable")]
#[case::another_kind("search", r#"{"version":2,"within_ms":1000}"#, "not readable")]
#[case::another_field("search", r#"{"version":"v2","within_ms":1000,"x":1}"#, "not readable")]
fn invalid_order_is_refused_with_a_remedy(
    #[case] service: &str,
    #[case] body: &str,
    #[case] reason: &str,
) {
    let control = start();
    let (status, text) = call(&control, Method::PUT, service, body);
    assert_eq!(status, 400, "{text}");
    assert!(text.contains(reason), "{text}");
    assert_eq!(control.rows("SHOW ROLLOUTS").len(), 0);
}

#[test]
fn order_may_be_retried_while_no_service_is_known() {
    let control = Control::start("control-1");
    assert_eq!(order(&control, "v2", 1_000).0, 503);
}

#[test]
fn statements_order_and_show_roll_outs() {
    let control = start();
    control.change("ROLL OUT VERSION 2.4.1-rc1 OF search WITHIN 30s");
    let rows = control.rows("SHOW ROLLOUTS");
    assert_eq!(rows[0][1], "2.4.1-rc1");
    assert_eq!(rows[0][4], "30000");
    let (status, replies) = control.post("ROLL OUT VERSION v2 OF serch WITHIN 30s", None);
    assert_eq!(status, 400);
    let Some(StatementReply::Refused { error }) = replies.last() else {
        panic!("{replies:?}");
    };
    assert!(error.contains("SHOW ROUTES"), "{error}");
}

/// A fake broker that applies the catalog changes of its feed.
struct Follower {
    feed: FakeBroker,
    catalog: Catalog,
}

impl Follower {
    fn subscribe(control: &Control, name: &str) -> Self {
        let mut feed = FakeBroker::subscribe(control, name, 1, 0);
        let catalog = feed.receive_until(|message| match message {
            FeedMessage::FullCatalog { catalog } => {
                Some(decode_document(&catalog.bytes).expect("a catalog"))
            }
            _ => None,
        });
        Self { feed, catalog }
    }

    /// Applies changes until `reached` holds for the roll-out's stage, then reports the revision as
    /// in force.
    fn follow_until(&mut self, reached: impl Fn(RolloutStage) -> bool) {
        let service = ServiceName::new("search");
        while !self.catalog.rollouts().get(&service).is_some_and(|known| reached(known.stage)) {
            let change: Change = self.feed.receive_until(|message| match message {
                FeedMessage::Change { change, .. } => {
                    Some(decode_document(&change.bytes).expect("a change"))
                }
                _ => None,
            });
            self.catalog.apply(&change).expect("a change that was accepted");
        }
        let revision = self.catalog.revision().0;
        self.feed.send(&SubscriberMessage::InForce { revision });
    }

    fn report(&mut self, evidence: Evidence) {
        let service = ServiceName::new("search");
        let begun: Revision = self.catalog.rollouts().get(&service).expect("a roll-out").begun;
        let reports = vec![RolloutReport { service, begun, evidence }];
        let reports = encode_document(&reports).expect("a document").into();
        self.feed.send(&SubscriberMessage::Rollouts { reports });
    }
}

/// Evidence with `present` ordinary answers of present leaves, and `target` answers and `failed`
/// failures spread over two leaves of the target version.
fn answers(present: u32, target: u32, failed: u32) -> Evidence {
    let stratum = Stratum { route: "r".into(), distance: Distance::Zone };
    let ordinary = LatencyBucket::of(Duration::from_millis(20));
    let tally = |count, failed| OutcomeCounts {
        answered: [(ordinary, count)].into(),
        failed,
        ..OutcomeCounts::default()
    };
    let leaf = |name: &str| LeafIdentity::of_run(name, None);
    let half = tally(target / 2, failed / 2);
    Evidence {
        requests: u64::from(present + target + failed),
        exposed: u64::from(target + failed),
        present: [(stratum.clone(), tally(present, 0))].into(),
        target: [(stratum, [(leaf("a"), half.clone()), (leaf("b"), half)].into())].into(),
    }
}

#[test]
fn failing_version_is_rolled_back_at_every_broker_within_3_s() {
    let control = start();
    let mut reporter = Follower::subscribe(&control, "b1");
    let mut other = Follower::subscribe(&control, "b2");
    assert_eq!(order(&control, "v2", 60_000).0, 200);
    reporter.follow_until(|stage| stage.is_under_way());
    reporter.report(answers(200, 10, 14));
    let began = std::time::Instant::now();
    other.follow_until(|stage| matches!(stage, RolloutStage::RolledBack(_)));
    assert!(began.elapsed() < Duration::from_secs(3), "{:?}", began.elapsed());
    assert_eq!(stage(&control), "rolled_back");
    let row = &control.rows("SHOW ROLLOUTS")[0];
    assert_eq!((row[3].as_str(), row[7].as_str()), ("failing", "24 (14 failed, 0 slow)"));
    assert_eq!(order(&control, "v2", 60_000).0, 200, "the order once more");
    assert_eq!(stage(&control), "rolled_back");
}

#[test]
fn reports_of_several_brokers_add_up() {
    let control = start();
    let mut brokers: Vec<Follower> =
        ["b1", "b2", "b3", "b4"].map(|name| Follower::subscribe(&control, name)).into();
    assert_eq!(order(&control, "v2", 60_000).0, 200);
    for broker in &mut brokers {
        broker.follow_until(|stage| stage.is_under_way());
        // The evidence of a single broker would not decide.
        broker.report(answers(50, 2, 4));
    }
    wait_until(|| stage(&control) == "rolled_back");
}

#[test]
fn roll_out_completes_only_once_all_brokers_have_moved() {
    let control = start();
    let mut quick = Follower::subscribe(&control, "b1");
    let mut slow = Follower::subscribe(&control, "b2");
    assert_eq!(order(&control, "v2", 4_000).0, 200);
    for broker in [&mut quick, &mut slow] {
        broker.follow_until(|stage| stage.is_under_way());
        broker.report(answers(400, 40, 0));
    }
    quick.follow_until(|stage| stage == RolloutStage::Moving);
    std::thread::sleep(Duration::from_secs(2));
    assert_eq!(stage(&control), "moving", "a broker has not moved yet");
    slow.follow_until(|stage| stage == RolloutStage::Moving);
    wait_until(|| stage(&control) == "completed");
    quick.follow_until(|stage| stage == RolloutStage::Completed);
}

#[test]
fn version_without_evidence_is_rolled_back_when_its_time_is_over() {
    let control = start();
    assert_eq!(order(&control, "v2", 1_500).0, 200);
    wait_until(|| stage(&control) == "rolled_back");
    assert_eq!(control.rows("SHOW ROLLOUTS")[0][3], "not_proven");
}

#[test]
fn outcome_and_its_evidence_survive_a_restart() {
    let control = start();
    let mut broker = Follower::subscribe(&control, "b1");
    assert_eq!(order(&control, "v2", 60_000).0, 200);
    broker.follow_until(|stage| stage.is_under_way());
    broker.report(answers(200, 10, 14));
    wait_until(|| stage(&control) == "rolled_back");
    let shown = control.rows("SHOW ROLLOUTS");
    let folder = tempfile::tempdir().unwrap();
    for entry in std::fs::read_dir(control.folder()).unwrap() {
        let path = entry.unwrap().path();
        std::fs::copy(&path, folder.path().join(path.file_name().unwrap())).unwrap();
    }
    let restarted = Control::start_in("control-1", folder, "");
    assert_eq!(restarted.rows("SHOW ROLLOUTS")[0][..9], shown[0][..9]);
}
