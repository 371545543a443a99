//! Kills and losses of power while a folder of an earlier format is converted.

use std::fs;
use std::path::Path;

use gingerkeel_control::storage::{FORMAT_VERSION, FolderOwner, OpenedStorage, Storage, StorageIo};
use gingerkeel_domain::consensus::{Incarnation, NodeNumber};
use rstest::rstest;

use crate::disks::volatile::VolatileDisk;
use crate::support::FOLDER;

/// Seeds of each moment of a kill.
const SEEDS: std::ops::Range<u64> = 0..5;
/// Bytes of the identity file that hold the format version.
const VERSION_AT: std::ops::Range<usize> = 8..10;

fn former_folder(format: u16, seed: u64) -> VolatileDisk {
    let disk = VolatileDisk::new(seed);
    let data = format!("tests/data/format-{format}");
    let data = Path::new(env!("CARGO_MANIFEST_DIR")).join(data);
    for file in fs::read_dir(data).expect("the folder is readable") {
        let path = file.expect("a file").path();
        let name = path.file_name().expect("a name");
        disk.insert(&Path::new(FOLDER).join(name), fs::read(&path).expect("readable"));
    }
    disk
}

fn open(disk: &VolatileDisk) -> Option<OpenedStorage> {
    let owner = FolderOwner {
        cluster: "gingerkeel".into(),
        node: NodeNumber(1),
        new_incarnation: Incarnation(7),
    };
    Storage::open(Path::new(FOLDER), &owner, Box::new(disk.clone())).ok()
}

/// Guards against a folder whose identity or log is lost by an interrupted conversion.
#[rstest]
#[case(3)]
#[case(4)]
#[case(5)]
fn interrupted_conversion_loses_nothing(#[case] format: u16) {
    let whole = former_folder(format, 0);
    whole.start_process(None);
    let expected = open(&whole).expect("the folder opens");
    for (seed, killed_after) in
        SEEDS.flat_map(|seed| (0..=whole.operations()).map(move |at| (seed, at)))
    {
        let mut disk = former_folder(format, seed);
        disk.start_process(Some(killed_after));
        open(&disk);
        disk.lose_power();
        disk.start_process(None);
        let opened = open(&disk).expect("the folder opens");
        assert_eq!(opened.identity, expected.identity, "seed {seed}, killed after {killed_after}");
        assert_eq!(
            opened.recovered, expected.recovered,
            "seed {seed}, killed after {killed_after}"
        );
        let identity = disk.read(&Path::new(FOLDER).join("identity")).expect("readable");
        assert_eq!(identity[VERSION_AT], FORMAT_VERSION.to_be_bytes());
    }
}
