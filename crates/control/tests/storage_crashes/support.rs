//! A data folder on a volatile disk, and short forms of writes.

use std::path::Path;

use bytes::Bytes;
use gingerkeel_control::storage::{FolderOwner, OpenedStorage, Storage, StorageError};
use gingerkeel_domain::consensus::{
    Configuration, Entry, Incarnation, LogIndex, LogPosition, NodeNumber, Payload, Recovered,
    Snapshot, SnapshotMetadata, SnapshotWrite, Term, Write, WriteNumber,
};

use crate::disks::volatile::VolatileDisk;

/// Path of the folder on the volatile disk.
pub const FOLDER: &str = "data";

pub fn owner(new_incarnation: u64) -> FolderOwner {
    let new_incarnation = Incarnation(new_incarnation);
    FolderOwner { cluster: "test".into(), node: NodeNumber(1), new_incarnation }
}

pub fn open(disk: &VolatileDisk) -> Result<OpenedStorage, StorageError> {
    Storage::open(Path::new(FOLDER), &owner(1), Box::new(disk.clone()))
}

/// Opens the folder and persists the batches, one after the other, until one fails.
pub fn persist(disk: &VolatileDisk, batches: &[Vec<Write>]) -> Result<(), StorageError> {
    let mut storage = open(disk)?.storage;
    batches.iter().try_for_each(|batch| storage.persist(&mut batch.clone().into()))
}

/// Starts a process that does the same, without being killed.
pub fn run(disk: &VolatileDisk, batches: &[Vec<Write>]) {
    disk.start_process(None);
    persist(disk, batches).expect("the batches are persisted");
}

/// Starts a process that is killed in the operation after that many, or ends.
pub fn run_until_killed(disk: &VolatileDisk, operations: u64, batches: &[Vec<Write>]) {
    disk.start_process(Some(operations));
    let _ = persist(disk, batches);
}

/// The number of operations that the batches take.
pub fn operations(disk: &VolatileDisk, batches: &[Vec<Write>]) -> u64 {
    run(disk, batches);
    disk.operations()
}

/// Starts a process and returns what it recovers.
pub fn recovered(disk: &VolatileDisk) -> Recovered {
    disk.start_process(None);
    open(disk).expect("the folder opens").recovered
}

pub fn entry(term: u64, index: u64) -> Entry {
    let payload = Payload::Command(Bytes::from(format!("command {term}-{index}")));
    Entry { term: Term(term), index: LogIndex(index), payload }
}

pub fn write(entries: Vec<Entry>) -> Write {
    let number = WriteNumber(0);
    Write { number, hard_state: None, snapshot: None, entries, commit: LogIndex(0) }
}

pub fn snapshot(term: u64, index: u64, replaces_log: bool) -> Write {
    let position = LogPosition { term: Term(term), index: LogIndex(index) };
    let metadata = SnapshotMetadata { position, configuration: Configuration::default() };
    let snapshot = Snapshot { metadata, data: Bytes::from_static(b"state") };
    Write { snapshot: Some(SnapshotWrite { snapshot, replaces_log }), ..write(Vec::new()) }
}

/// Terms and indexes of the recovered entries.
pub fn positions(recovered: &Recovered) -> Vec<(u64, u64)> {
    recovered.entries.iter().map(|entry| (entry.term.0, entry.index.0)).collect()
}
