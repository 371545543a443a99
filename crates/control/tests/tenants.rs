//! Tenants at a control process: validation, operators' tables and the configuration for brokers.

mod support;

use std::fs;
use std::os::unix::fs::PermissionsExt;

use gingerkeel_domain::routes::{KeyDigest, RouteConfiguration, TenantQuota};
use gingerkeel_protocol::{FeedMessage, unpack_document};
use rstest::rstest;
use support::{Control, FakeBroker, wait_until};

const KEY: &str = "k-3f9c81d2";

/// A route document of version 1 with these tenants.
fn document(tenants: &str) -> String {
    format!(
        r#"{{ "version": 1, "routes": [{{"name":"r","host":"h","path_prefix":"/","repeatable":true,
        "timeout_ms":900,"target_latency_ms":100,"priority":1,"attempts":2,"destination":{{"Service":"a"}}}},
        {{"name":"open","host":"h","path_prefix":"/open/","repeatable":true,"timeout_ms":900,"target_latency_ms":100,
        "priority":1,"attempts":2,"destination":{{"Service":"a"}},"public":true}}],
        "services":[{{"name":"a","health_path":"/health","connection_limit":16}}],
        "limits":{{"head_bytes":16384,"body_bytes":262144,"head_time_ms":3000,"idle_time_ms":15000}},
        "tenants": {tenants} }}"#
    )
}

fn valid_tenants() -> String {
    format!(
        r#"[{{"name":"kiosk","keys":["{KEY}","k-second"],"priority":2,
        "quota":{{"requests_per_1000_s":41500,"burst_thousandths":20000}},"allowed_regions":["south"]}},
        {{"name":"depot","keys":[]}}]"#
    )
}

fn start() -> Control {
    let zones = "zone_regions = { palermo = \"south\" }\n";
    Control::start_in("control-1", tempfile::tempdir().unwrap(), zones)
}

/// The route configuration that a broker receives, as bytes and decoded.
fn received_routes(control: &Control) -> (Vec<u8>, RouteConfiguration) {
    let mut broker = FakeBroker::subscribe(control, "broker", 1, 0);
    let document = broker.receive_until(|message| match message {
        FeedMessage::Routes { configuration } => Some(configuration.bytes),
        _ => None,
    });
    let configuration = unpack_document(&document).expect("a configuration");
    (document.to_vec(), configuration)
}

#[test]
fn operators_read_their_document_and_brokers_get_only_digests() {
    let control = start();
    let document = document(&valid_tenants());
    assert_eq!(control.put_routes(&document), (200, "{\"accepted\":1}".to_owned()));
    assert_eq!(control.read_routes(), (200, document));
    let (bytes, configuration) = received_routes(&control);
    let kiosk = &configuration.tenants[0];
    assert_eq!((kiosk.name.as_str(), kiosk.priority, kiosk.keys.len()), ("kiosk", Some(2), 2));
    assert!(kiosk.keys.contains(&KeyDigest::of(KEY.as_bytes())));
    let quota = TenantQuota { requests_per_1000_s: 41_500, burst_thousandths: 20_000 };
    assert_eq!(kiosk.quota, quota);
    assert!(!configuration.tenants[1].quota.is_limited());
    let public: Vec<bool> = configuration.routes.iter().map(|route| route.public).collect();
    assert_eq!(public, [false, true]);
    let plain = gingerkeel_protocol::encode_document(&configuration).expect("a document");
    for bytes in [bytes, plain] {
        assert!(!bytes.windows(KEY.len()).any(|window| window == KEY.as_bytes()));
    }
}

#[test]
fn tenants_are_shown_without_their_keys() {
    let control = start();
    control.put_routes(&document(&valid_tenants()));
    let rows = control.rows("SHOW TENANTS");
    // The columns of quota use are skipped: a process that has just started may already fill them.
    assert_eq!(rows[0][..7], ["kiosk", "2", "2", "41.5", "20", "south", "1"]);
    assert_eq!(rows[0].len(), 9);
    assert_eq!(rows[1], ["depot", "0", "of the route", "unlimited", "", "all", "1", "", ""]);
    let shown = format!("{:?}", [rows, control.rows("SHOW ROUTES")].concat());
    assert!(!shown.contains("k-"), "{shown}");
    let public: Vec<String> =
        control.rows("SHOW ROUTES").into_iter().map(|mut row| row.remove(11)).collect();
    assert_eq!(public, ["no", "yes"]);
}

#[rstest]
#[case::key_of_two(
    r#"[{"name":"a","keys":["k-1"]},{"name":"b","keys":["k-1"]}]"#,
    "tenants a and b hold the same key"
)]
#[case::tenant_twice(r#"[{"name":"a","keys":["k-1"]},{"name":"a","keys":[]}]"#, "defined twice")]
#[case::unknown_region(
    r#"[{"name":"a","keys":["k-1"],"allowed_regions":["north"]}]"#,
    "tenant a allows region north"
)]
#[case::empty_key(r#"[{"name":"a","keys":["k-1"," "]}]"#, "tenant a has an empty key")]
#[case::no_name(r#"[{"name":"","keys":["k-1"]}]"#, "tenant name")]
#[case::negative_rate(
    r#"[{"name":"a","keys":["k-1"],"quota":{"requests_per_1000_s":-1}}]"#,
    "not readable"
)]
#[case::key_of_another_kind(r#"[{"name":"a","keys":"k-1"}]"#, "not readable")]
fn invalid_tenant_changes_nothing(#[case] tenants: &str, #[case] reason: &str) {
    let control = start();
    let (status, answer) = control.put_routes(&document(tenants));
    assert_eq!(status, 400);
    assert!(answer.contains(reason) && !answer.contains("k-1"), "{answer}");
    assert_eq!(control.read_routes().0, 404);
}

#[test]
fn data_folder_is_accessible_only_to_its_user() {
    let folder = tempfile::tempdir().unwrap();
    let open = |mode| fs::Permissions::from_mode(mode);
    let earlier = folder.path().join("earlier");
    fs::write(&earlier, "of a former release").unwrap();
    fs::set_permissions(&earlier, open(0o644)).unwrap();
    fs::set_permissions(folder.path(), open(0o755)).unwrap();
    let control = Control::start_in("control-1", folder, "");
    control.put_routes(&document("[]"));
    let mode = |path: &std::path::Path| fs::metadata(path).unwrap().permissions().mode() & 0o777;
    assert_eq!(mode(control.folder()), 0o700);
    wait_until(|| fs::read_dir(control.folder()).unwrap().count() >= 4);
    for entry in fs::read_dir(control.folder()).unwrap() {
        let path = entry.unwrap().path();
        assert_eq!(mode(&path), 0o600, "{}", path.display());
    }
}
