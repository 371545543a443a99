//! The data folder: recovery, truncation of torn tails, and refused folders.

mod disks;

use std::fs::{self, OpenOptions};
use std::path::{Path, PathBuf};
use std::sync::atomic::Ordering;

use bytes::Bytes;
use disks::faulty::FaultyIo;
use gingerkeel_control::storage::{
    DiskIo, FORMAT_VERSION, FolderOwner, OpenedStorage, Storage, StorageError, Writer, WriterEvent,
    WriterMessage,
};
use gingerkeel_domain::consensus::{
    Configuration, Entry, HardState, Incarnation, LogIndex, LogPosition, MemberId, NodeNumber,
    Payload, Recovered, Snapshot, SnapshotMetadata, SnapshotWrite, Term, Write, WriteNumber,
};
use rstest::rstest;
use tempfile::TempDir;

fn owner() -> FolderOwner {
    FolderOwner { cluster: "test".into(), node: NodeNumber(1), new_incarnation: Incarnation(7) }
}

fn open(folder: &Path) -> Result<OpenedStorage, StorageError> {
    Storage::open(folder, &owner(), Box::new(DiskIo))
}

fn entry(term: u64, index: u64) -> Entry {
    let payload = Payload::Command(Bytes::from(format!("command {term}-{index}")));
    Entry { term: Term(term), index: LogIndex(index), payload }
}

fn write(entries: Vec<Entry>) -> Write {
    Write { number: WriteNumber(0), hard_state: None, snapshot: None, entries, commit: LogIndex(0) }
}

fn hard_state(term: u64) -> HardState {
    let vote = MemberId { node: NodeNumber(2), incarnation: Incarnation(3) };
    HardState { term: Term(term), vote: Some(vote) }
}

fn snapshot_write(term: u64, index: u64, replaces_log: bool) -> Write {
    let position = LogPosition { term: Term(term), index: LogIndex(index) };
    let metadata = SnapshotMetadata { position, configuration: Configuration::default() };
    let snapshot = Snapshot { metadata, data: Bytes::from_static(b"state") };
    let snapshot = Some(SnapshotWrite { snapshot, replaces_log });
    Write { snapshot, ..write(Vec::new()) }
}

/// Persists the batches, reopens the folder and returns the recovered state.
fn reopened(folder: &TempDir, batches: Vec<Vec<Write>>) -> Recovered {
    let mut opened = open(folder.path()).expect("the folder opens");
    for batch in batches {
        opened.storage.persist(&mut batch.into()).expect("the batch is persisted");
    }
    drop(opened);
    open(folder.path()).expect("the folder opens again").recovered
}

fn indexes(recovered: &Recovered) -> Vec<(u64, u64)> {
    recovered.entries.iter().map(|entry| (entry.term.0, entry.index.0)).collect()
}

fn segments(folder: &Path) -> Vec<PathBuf> {
    let mut paths: Vec<PathBuf> = fs::read_dir(folder)
        .expect("the folder is readable")
        .map(|entry| entry.expect("an entry").path())
        .filter(|path| {
            path.file_name().is_some_and(|name| name.to_string_lossy().starts_with("log-"))
        })
        .collect();
    paths.sort();
    paths
}

#[test]
fn persisted_state_is_recovered() {
    let folder = TempDir::new().expect("a folder");
    let voted = Write { hard_state: Some(hard_state(3)), ..write(vec![entry(1, 1)]) };
    let recovered = reopened(&folder, vec![vec![voted], vec![write(vec![entry(3, 2)])]]);
    assert_eq!(recovered.hard_state, hard_state(3));
    assert_eq!(recovered.entries, [entry(1, 1), entry(3, 2)]);
    assert_eq!(recovered.snapshot, None);
}

#[test]
fn folder_keeps_its_first_identity() {
    let folder = TempDir::new().expect("a folder");
    let first = open(folder.path()).expect("the folder opens").identity;
    let later = FolderOwner { new_incarnation: Incarnation(99), ..owner() };
    let second = Storage::open(folder.path(), &later, Box::new(DiskIo)).expect("the folder opens");
    assert_eq!(first.incarnation, Incarnation(7));
    assert_eq!(second.identity, first);
}

#[rstest]
#[case::tail(vec![entry(2, 3)], vec![(1, 1), (1, 2), (2, 3)])]
#[case::middle(vec![entry(2, 2)], vec![(1, 1), (2, 2)])]
#[case::all(vec![entry(2, 1), entry(2, 2)], vec![(2, 1), (2, 2)])]
fn later_entries_replace_earlier_ones(
    #[case] later: Vec<Entry>,
    #[case] expected: Vec<(u64, u64)>,
) {
    let folder = TempDir::new().expect("a folder");
    let first = vec![entry(1, 1), entry(1, 2), entry(1, 3)];
    let recovered = reopened(&folder, vec![vec![write(first)], vec![write(later)]]);
    assert_eq!(indexes(&recovered), expected);
}

#[rstest]
#[case::compacts(2, false, vec![(1, 3)])]
#[case::covers_all(3, false, vec![])]
#[case::replaces(9, true, vec![])]
fn snapshot_replaces_the_entries_that_it_covers(
    #[case] index: u64,
    #[case] replaces: bool,
    #[case] expected: Vec<(u64, u64)>,
) {
    let folder = TempDir::new().expect("a folder");
    let voted = Write {
        hard_state: Some(hard_state(1)),
        ..write(vec![entry(1, 1), entry(1, 2), entry(1, 3)])
    };
    let recovered = reopened(&folder, vec![vec![voted], vec![snapshot_write(1, index, replaces)]]);
    assert_eq!(indexes(&recovered), expected);
    assert_eq!(recovered.snapshot.expect("a snapshot").metadata.position.index, LogIndex(index));
    assert_eq!(recovered.hard_state, hard_state(1));
}

#[test]
fn snapshot_removes_the_segments_that_it_covers() {
    let folder = TempDir::new().expect("a folder");
    let entries = (1..=100).map(|index| entry(1, index)).collect();
    let batches = vec![vec![write(entries)], vec![snapshot_write(1, 100, false)]];
    let recovered = reopened(&folder, batches);
    assert!(recovered.entries.is_empty());
    let size: u64 =
        segments(folder.path()).iter().map(|path| fs::metadata(path).expect("a file").len()).sum();
    assert!(size < 200, "{size} bytes are left");
}

#[test]
fn entries_follow_an_installed_snapshot() {
    let folder = TempDir::new().expect("a folder");
    let batches = vec![
        vec![write(vec![entry(1, 1), entry(1, 2)])],
        vec![snapshot_write(2, 9, true), write(vec![entry(2, 10)])],
    ];
    assert_eq!(indexes(&reopened(&folder, batches)), [(2, 10)]);
}

/// Persists two batches; returns the segment and the offset of the second record.
fn two_records(folder: &TempDir) -> (PathBuf, u64) {
    let mut opened = open(folder.path()).expect("the folder opens");
    opened.storage.persist(&mut vec![write(vec![entry(1, 1)])].into()).expect("persisted");
    let path = segments(folder.path()).pop().expect("a segment");
    let first = fs::metadata(&path).expect("a file").len();
    opened.storage.persist(&mut vec![write(vec![entry(1, 2)])].into()).expect("persisted");
    (path, first)
}

#[rstest]
#[case::short(|bytes: &mut Vec<u8>, _| { bytes.truncate(bytes.len() - 1); })]
#[case::header_only(|bytes: &mut Vec<u8>, second: usize| bytes.truncate(second + 5))]
#[case::zeros(|bytes: &mut Vec<u8>, second: usize| bytes[second..].fill(0))]
#[case::garbage_in_the_last(|bytes: &mut Vec<u8>, second: usize| bytes[second + 30] ^= 0xff)]
fn torn_tail_is_truncated(#[case] tear: fn(&mut Vec<u8>, usize)) {
    let folder = TempDir::new().expect("a folder");
    let (path, second) = two_records(&folder);
    let mut bytes = fs::read(&path).expect("readable");
    tear(&mut bytes, second as usize);
    fs::write(&path, bytes).expect("writable");
    let recovered = reopened(&folder, vec![vec![write(vec![entry(2, 2)])]]);
    assert_eq!(indexes(&recovered), [(1, 1), (2, 2)]);
}

#[rstest]
#[case::magic(0)]
#[case::sequence(8)]
#[case::length(14)]
#[case::checksum(17)]
#[case::document(30)]
fn damage_before_the_tail_is_refused(#[case] at: usize) {
    let folder = TempDir::new().expect("a folder");
    let (path, _) = two_records(&folder);
    let mut bytes = fs::read(&path).expect("readable");
    bytes[at] ^= 0x01;
    fs::write(&path, bytes).expect("writable");
    let error = open(folder.path()).err().expect("the folder is refused");
    assert!(matches!(error, StorageError::Corrupted(..)), "{error}");
    assert!(error.to_string().contains("rejoins as a new member"), "{error}");
}

#[test]
fn missing_segment_is_refused() {
    let folder = TempDir::new().expect("a folder");
    for index in 1..=3 {
        let mut opened = open(folder.path()).expect("the folder opens");
        opened.storage.persist(&mut vec![write(vec![entry(1, index)])].into()).expect("persisted");
    }
    fs::remove_file(&segments(folder.path())[1]).expect("removed");
    assert!(matches!(open(folder.path()).err(), Some(StorageError::Corrupted(..))));
}

#[test]
fn damaged_snapshot_is_refused() {
    let folder = TempDir::new().expect("a folder");
    reopened(&folder, vec![vec![snapshot_write(1, 3, true)]]);
    let path = folder.path().join(format!("snapshot-{:020}", 3));
    let mut bytes = fs::read(&path).expect("readable");
    bytes[6] ^= 0xff;
    fs::write(&path, bytes).expect("writable");
    assert!(matches!(open(folder.path()).err(), Some(StorageError::Corrupted(..))));
}

#[rstest]
#[case::cluster(
    FolderOwner { cluster: "other".into(), ..owner() },
    |error: &StorageError| matches!(error, StorageError::ClusterMismatch(..))
)]
#[case::node(
    FolderOwner { node: NodeNumber(2), ..owner() },
    |error: &StorageError| matches!(error, StorageError::NodeMismatch(..))
)]
fn folder_of_another_cluster_or_node_is_refused(
    #[case] other: FolderOwner,
    #[case] expected: fn(&StorageError) -> bool,
) {
    let folder = TempDir::new().expect("a folder");
    reopened(&folder, vec![]);
    let error = Storage::open(folder.path(), &other, Box::new(DiskIo)).err().expect("refused");
    assert!(expected(&error), "{error}");
}

#[test]
fn commit_index_of_the_last_write_is_recovered() {
    let folder = TempDir::new().expect("a folder");
    let first = Write { commit: LogIndex(1), ..write(vec![entry(1, 1), entry(1, 2)]) };
    let second = Write { commit: LogIndex(2), ..write(vec![entry(1, 3)]) };
    assert_eq!(reopened(&folder, vec![vec![first], vec![second]]).commit, LogIndex(2));
}

#[test]
fn unsupported_format_is_refused() {
    let folder = TempDir::new().expect("a folder");
    reopened(&folder, vec![]);
    let path = folder.path().join("identity");
    let mut bytes = fs::read(&path).expect("readable");
    bytes[9] += 1;
    fs::write(&path, bytes).expect("writable");
    let (found, own) = (FORMAT_VERSION + 1, FORMAT_VERSION);
    let error = open(folder.path()).err();
    assert!(
        matches!(error, Some(StorageError::UnsupportedFormat(_, version, known)) if (version, known) == (found, own))
    );
}

#[test]
fn folder_in_use_is_refused() {
    let folder = TempDir::new().expect("a folder");
    let _held = open(folder.path()).expect("the folder opens");
    assert!(matches!(open(folder.path()).err(), Some(StorageError::InUse(_))));
}

fn open_faulty(folder: &Path, io: &FaultyIo) -> Storage {
    Storage::open(folder, &owner(), Box::new(io.clone())).expect("the folder opens").storage
}

#[test]
fn short_writes_are_completed() {
    let folder = TempDir::new().expect("a folder");
    let io = FaultyIo::default();
    let mut storage = open_faulty(folder.path(), &io);
    io.faults.lock().expect("no panic").max_write_bytes = Some(3);
    storage.persist(&mut vec![write(vec![entry(1, 1)])].into()).expect("persisted");
    drop(storage);
    assert_eq!(indexes(&open(folder.path()).expect("the folder opens").recovered), [(1, 1)]);
}

#[rstest]
#[case::no_room(0)]
#[case::room_for_a_part(25)]
fn full_disk_loses_no_persisted_entry_and_accepts_writes_once_there_is_space(
    #[case] free_bytes: usize,
) {
    let folder = TempDir::new().expect("a folder");
    let io = FaultyIo::default();
    let mut storage = open_faulty(folder.path(), &io);
    storage.persist(&mut vec![write(vec![entry(1, 1)])].into()).expect("persisted");
    io.set_free_bytes(Some(free_bytes));
    let error = storage.persist(&mut vec![write(vec![entry(1, 2)])].into()).expect_err("full");
    assert!(matches!(error, StorageError::Full(_)), "{error}");
    io.set_free_bytes(None);
    storage.persist(&mut vec![write(vec![entry(1, 2)])].into()).expect("persisted");
    drop(storage);
    assert_eq!(
        indexes(&open(folder.path()).expect("the folder opens").recovered),
        [(1, 1), (1, 2)]
    );
}

#[test]
fn entry_refused_by_a_full_disk_is_not_recovered() {
    let folder = TempDir::new().expect("a folder");
    let io = FaultyIo::default();
    let mut storage = open_faulty(folder.path(), &io);
    storage.persist(&mut vec![write(vec![entry(1, 1)])].into()).expect("persisted");
    io.set_free_bytes(Some(25));
    storage.persist(&mut vec![write(vec![entry(1, 2)])].into()).expect_err("full");
    drop(storage);
    assert_eq!(indexes(&open(folder.path()).expect("the folder opens").recovered), [(1, 1)]);
}

#[test]
fn storage_stops_after_a_failed_sync() {
    let folder = TempDir::new().expect("a folder");
    let io = FaultyIo::default();
    let mut storage = open_faulty(folder.path(), &io);
    storage.persist(&mut vec![write(vec![entry(1, 1)])].into()).expect("persisted");
    io.set_sync_fails(true);
    let error = storage.persist(&mut vec![write(vec![entry(1, 2)])].into()).expect_err("failed");
    assert!(matches!(error, StorageError::SyncFailed(..)), "{error}");
    io.set_sync_fails(false);
    let error = storage.persist(&mut vec![write(vec![entry(1, 2)])].into()).expect_err("stopped");
    assert!(matches!(error, StorageError::Stopped(_)), "{error}");
}

#[test]
fn batch_is_synced_once() {
    let folder = TempDir::new().expect("a folder");
    let io = FaultyIo::default();
    let mut storage = open_faulty(folder.path(), &io);
    storage.persist(&mut vec![write(vec![entry(1, 1)])].into()).expect("persisted");
    let before = io.syncs.load(Ordering::Relaxed);
    let batch: Vec<Write> = (2..50).map(|index| write(vec![entry(1, index)])).collect();
    storage.persist(&mut batch.into()).expect("persisted");
    assert_eq!(io.syncs.load(Ordering::Relaxed), before + 1);
}

#[test]
fn writer_reports_a_full_disk_and_resumes_once_there_is_space() {
    let folder = TempDir::new().expect("a folder");
    let io = FaultyIo::default();
    let storage = open_faulty(folder.path(), &io);
    io.set_free_bytes(Some(0));
    let writer = Writer::start(storage).expect("a thread");
    let number = WriteNumber(5);
    let persist = WriterMessage::Persist(Write { number, ..write(vec![entry(1, 1)]) });
    writer.messages.send(persist).expect("the writer runs");
    assert!(matches!(writer.events.recv(), Ok(WriterEvent::Full(_))));
    io.set_free_bytes(None);
    assert!(matches!(writer.events.recv(), Ok(WriterEvent::Persisted(found)) if found == number));
}

#[test]
fn large_log_is_split_into_segments() {
    let folder = TempDir::new().expect("a folder");
    let mut opened = open(folder.path()).expect("the folder opens");
    for index in 1..=10 {
        let payload = Payload::Command(Bytes::from(vec![7; 1024 * 1024]));
        let entry = Entry { term: Term(1), index: LogIndex(index), payload };
        opened.storage.persist(&mut vec![write(vec![entry])].into()).expect("persisted");
    }
    drop(opened);
    assert!(segments(folder.path()).len() > 1);
    assert_eq!(open(folder.path()).expect("the folder opens").recovered.entries.len(), 10);
}

#[test]
fn folder_that_cannot_be_created_is_named() {
    let folder = TempDir::new().expect("a folder");
    let path = folder.path().join("file");
    OpenOptions::new().create(true).write(true).truncate(true).open(&path).expect("a file");
    let error = open(&path).err().expect("refused");
    assert!(error.to_string().contains("file"), "{error}");
}
