//! Data folders written by former releases, each with a snapshot and a log after it.
//!
//! - `data/format-3`: a release without tenants. It accepted versions 1 to 999 of the routes, one
//!   of them in the snapshot, and last version 2000.
//! - `data/format-4`: a release without software versions of leaves and without roll-outs. It
//!   accepted version 4 of the routes, evacuated a zone and changed an account until the snapshot
//!   was due. One of its two leaves is in the snapshot, the other in the log.
//! - `data/format-5`: a release that stored no refused requests and dropped a rolled-back version
//!   on the next order. It accepted version 4 of the routes, rolled back v2 of a service, changed
//!   an account until the snapshot was due, and rolled back v3.

mod support;

use std::fs;
use std::path::Path;

use gingerkeel_control::storage::{DiskIo, FORMAT_VERSION, FolderOwner, Storage};
use gingerkeel_domain::catalog::Catalog;
use gingerkeel_domain::consensus::{Incarnation, LogIndex, NodeNumber};
use gingerkeel_domain::identifiers::{ServiceName, SoftwareVersion};
use gingerkeel_protocol::{FeedMessage, decode_document};
use rstest::rstest;
use support::{Control, FakeBroker};
use tempfile::TempDir;

/// The route document of version 4.
const LATER_DOCUMENT: &str = include_str!("data/format-4-routes.json");
/// The route document of version 2000.
const DOCUMENT: &str = include_str!("data/format-3-routes.json");
/// Bytes of the identity file that hold the format version.
const VERSION_AT: std::ops::Range<usize> = 8..10;

fn former_folder(format: u16) -> TempDir {
    let folder = tempfile::tempdir().unwrap();
    let data = format!("tests/data/format-{format}");
    let data = Path::new(env!("CARGO_MANIFEST_DIR")).join(data);
    for entry in fs::read_dir(data).unwrap() {
        let path = entry.unwrap().path();
        fs::copy(&path, folder.path().join(path.file_name().unwrap())).unwrap();
    }
    folder
}

fn format_version(folder: &Path) -> u16 {
    let identity = fs::read(folder.join("identity")).unwrap();
    u16::from_be_bytes(identity[VERSION_AT].try_into().unwrap())
}

#[rstest]
#[case(3)]
#[case(4)]
#[case(5)]
fn former_folder_is_opened_and_converted_to_the_present_format(#[case] format: u16) {
    let folder = former_folder(format);
    assert_eq!(format_version(folder.path()), format);
    let owner = FolderOwner {
        cluster: "gingerkeel".into(),
        node: NodeNumber(1),
        new_incarnation: Incarnation(7),
    };
    let open =
        || Storage::open(folder.path(), &owner, Box::new(DiskIo)).map(|opened| opened.recovered);
    let first = open().expect("the folder opens");
    let snapshot = first.snapshot.clone().expect("a snapshot");
    assert_eq!(snapshot.metadata.position.index, LogIndex(1_000));
    assert!(!first.entries.is_empty());
    assert_eq!(format_version(folder.path()), FORMAT_VERSION);
    assert_eq!(open().expect("the folder opens again"), first);
}

#[test]
fn routes_of_format_3_are_served_and_replaced() {
    let control = Control::start_in("c1", former_folder(3), "");
    assert_eq!(control.read_routes(), (200, DOCUMENT.to_owned()));
    let shown = control.rows("SHOW ROUTES");
    assert_eq!((shown[0][0].as_str(), shown[0][4].as_str()), ("search", "2900"));
    assert_eq!((shown[0][10].as_str(), shown[0][11].as_str()), ("south", "no"));
    assert!(control.rows("SHOW TENANTS").is_empty());
    assert_eq!(control.rows("SHOW CALLERS")[0][0], "portal", "the caller in the snapshot");
    let overtaken = DOCUMENT.replace("\"version\": 2000", "\"version\": 1999");
    assert_eq!(control.put_routes(&overtaken), (200, "{\"accepted\":2000}".to_owned()));
    let newer = DOCUMENT.replacen(
        "\"version\": 2000",
        "\"version\": 2001, \"tenants\": [{\"name\": \"kiosk\", \"keys\": [\"k-1\"]}]",
        1,
    );
    assert_eq!(control.put_routes(&newer), (200, "{\"accepted\":2001}".to_owned()));
    assert_eq!(control.rows("SHOW TENANTS")[0][0], "kiosk");
}

#[test]
fn leaves_zones_and_tenants_of_format_4_are_kept_and_a_roll_out_can_be_ordered() {
    let control = Control::start_in("c1", former_folder(4), "");
    assert_eq!(control.read_routes(), (200, LATER_DOCUMENT.to_owned()));
    let leaves: Vec<String> =
        control.rows("SHOW DIRECTORY").into_iter().map(|row| row[0].clone()).collect();
    assert_eq!(leaves, ["a", "b"]);
    assert_eq!(control.rows("SHOW ZONES")[0][..2], ["south-1", "evacuated"]);
    assert_eq!(control.rows("SHOW TENANTS")[0][0], "kiosk");
    assert_eq!(control.rows("SHOW CALLERS")[0][1], "1004");
    assert!(control.rows("SHOW ROLLOUTS").is_empty());
    control.change("ROLL OUT VERSION v2 OF search WITHIN 60s");
    assert_eq!(control.rows("SHOW ROLLOUTS")[0][..3], ["search", "v2", "trial"]);
}

#[test]
fn roll_outs_of_format_5_are_kept_with_the_rolled_back_versions() {
    let control = Control::start_in("c1", former_folder(5), "");
    assert_eq!(control.read_routes(), (200, LATER_DOCUMENT.to_owned()));
    assert_eq!(control.rows("SHOW CALLERS")[0][1], "1051");
    assert_eq!(control.rows("SHOW ROLLOUTS")[0][..3], ["search", "v3", "rolled_back"]);
    assert!(control.rows("SHOW REFUSED REQUESTS").is_empty());
    let mut broker = FakeBroker::subscribe(&control, "b1", 1, 0);
    let catalog: Catalog = broker.receive_until(|message| match message {
        FeedMessage::FullCatalog { catalog } => decode_document(&catalog.bytes).ok(),
        _ => None,
    });
    let service = ServiceName::new("search");
    for version in ["v2", "v3"] {
        let version = SoftwareVersion::new(version);
        assert!(catalog.rollouts().is_taken_back(&service, &version), "{version}");
    }
}
