//! Sequences of kills and losses of power drawn from a seed.

use std::collections::VecDeque;
use std::path::Path;

use bytes::Bytes;
use gingerkeel_control::storage::{Storage, StorageError};
use gingerkeel_domain::consensus::{
    Configuration, Entry, HardState, Incarnation, LogIndex, LogPosition, MemberId, NodeNumber,
    Payload, Recovered, Snapshot, SnapshotMetadata, SnapshotWrite, Term, Write,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use rstest::rstest;

use crate::disks::volatile::{DiskFaults, VolatileDisk};
use crate::model::{after, interrupted, last_index, normalized, snapshot_index};
use crate::support::{FOLDER, owner, write};

/// Number of seeds of a run; the variable STORAGE_SEEDS sets another one.
const SEEDS: u64 = 300;
/// Processes of a sequence, each of which is killed or ends.
const PROCESSES: usize = 24;
/// Maximum number of operations of a process before it is killed.
const MAX_OPERATIONS: u64 = 40;
/// Probability that power is lost after a process has ended.
const LOSES_POWER: f64 = 0.4;
/// Maximum number of batches that a process persists.
const MAX_BATCHES: usize = 12;

/// One data folder, and what it may hold.
struct Sequence {
    disk: VolatileDisk,
    random: Pcg64,
    /// States of which the next start may recover any.
    possible: Vec<Recovered>,
    identity: Option<MemberId>,
    starts: u64,
}

impl Sequence {
    fn new(seed: u64, faults: DiskFaults) -> Self {
        let disk = VolatileDisk::new(seed);
        disk.set_faults(faults);
        let random = Pcg64::seed_from_u64(!seed);
        let possible = vec![Recovered::default()];
        Self { disk, random, possible, identity: None, starts: 0 }
    }

    /// Runs the processes; then a start without faults must recover what the folder holds.
    fn run(mut self) -> Result<(), String> {
        for _ in 0..PROCESSES {
            let operations = self.random.random_range(1..=MAX_OPERATIONS);
            self.disk.start_process(Some(operations));
            if let Some((storage, state)) = self.open()? {
                self.write(storage, state);
            }
            if self.random.random_bool(LOSES_POWER) {
                self.disk.lose_power();
            }
        }
        self.disk.start_process(None);
        self.disk.set_faults(DiskFaults::default());
        let opened = self.open()?;
        opened.map(|_| ()).ok_or_else(|| "the folder does not open".into())
    }

    /// Opens the folder; none if the process was killed or a disk fault ended it.
    fn open(&mut self) -> Result<Option<(Storage, Recovered)>, String> {
        self.starts += 1;
        let disk = Box::new(self.disk.clone());
        let opened = match Storage::open(Path::new(FOLDER), &owner(self.starts), disk) {
            Ok(opened) => opened,
            Err(error @ StorageError::Corrupted(..)) => return Err(error.to_string()),
            Err(_) => return Ok(None),
        };
        if self.identity.is_some_and(|identity| identity != opened.identity) {
            return Err(format!("{:?} became {}", self.identity, opened.identity));
        }
        self.identity = Some(opened.identity);
        let state = normalized(opened.recovered);
        if !self.possible.contains(&state) {
            return Err(format!("recovered {state:?}, possible {:?}", self.possible));
        }
        self.possible = vec![state.clone()];
        Ok(Some((opened.storage, state)))
    }

    /// Persists batches until the process is killed, a sync fails or it ends.
    fn write(&mut self, mut storage: Storage, mut state: Recovered) {
        for _ in 0..self.random.random_range(0..=MAX_BATCHES) {
            let batch = self.draw_batch(&state);
            self.possible = interrupted(&state, &batch);
            // The writer thread retries while the disk is full.
            let mut writes = VecDeque::from(batch.clone());
            let outcome = loop {
                match storage.persist(&mut writes) {
                    Err(StorageError::Full(_)) if !self.disk.is_killed() => {}
                    outcome => break outcome,
                }
            };
            if outcome.is_err() {
                return;
            }
            state = batch.iter().fold(state, |state, write| after(&state, write));
            self.possible = vec![state.clone()];
        }
    }

    fn draw_batch(&mut self, state: &Recovered) -> Vec<Write> {
        let mut state = state.clone();
        let writes = self.random.random_range(1..=3);
        let mut batch = Vec::new();
        for _ in 0..writes {
            let write = self.draw_write(&state);
            state = after(&state, &write);
            batch.push(write);
        }
        batch
    }

    /// Draws a write as the consensus core issues it in this state.
    fn draw_write(&mut self, state: &Recovered) -> Write {
        let mut write = write(Vec::new());
        match self.random.random_range(0..10) {
            0..5 => write.entries = self.draw_entries(state, last_index(state).next(), 0),
            5 => write.hard_state = Some(self.draw_vote(state)),
            6 if state.commit < last_index(state) => {
                let first = self.random.random_range(state.commit.0 + 1..=last_index(state).0);
                write.hard_state = Some(self.draw_vote(state));
                write.entries = self.draw_entries(state, LogIndex(first), 1);
            }
            7 | 8 if snapshot_index(state) < state.commit => {
                write.snapshot = Some(self.draw_taken_snapshot(state));
            }
            9 => {
                write.hard_state = Some(self.draw_vote(state));
                write.snapshot = Some(self.draw_installed_snapshot(state));
            }
            _ => {}
        }
        let last = last_index(&after(state, &write)).0;
        let commit = after(state, &write).commit.0;
        write.commit = LogIndex(self.random.random_range(commit..=last));
        write
    }

    fn draw_vote(&mut self, state: &Recovered) -> HardState {
        let node = NodeNumber(self.random.random_range(1..=3));
        let vote = Some(MemberId { node, incarnation: Incarnation(1) });
        HardState { term: Term(state.hard_state.term.0 + 1), vote }
    }

    fn draw_entries(&mut self, state: &Recovered, first: LogIndex, later_terms: u64) -> Vec<Entry> {
        let term = Term(state.hard_state.term.0 + later_terms);
        let count = self.random.random_range(1..=4);
        let indexes = (first.0..first.0 + count).map(LogIndex);
        indexes.map(|index| Entry { term, index, payload: self.draw_payload() }).collect()
    }

    fn draw_payload(&mut self) -> Payload {
        let length = self.random.random_range(0..40);
        let bytes: Vec<u8> = (0..length).map(|_| self.random.random()).collect();
        Payload::Command(Bytes::from(bytes))
    }

    /// A snapshot of the member's own state, up to a committed entry.
    fn draw_taken_snapshot(&mut self, state: &Recovered) -> SnapshotWrite {
        let index = self.random.random_range(snapshot_index(state).0 + 1..=state.commit.0);
        let entry = state.entries.iter().find(|entry| entry.index == LogIndex(index));
        let position = entry.expect("committed entries are in the log").position();
        SnapshotWrite { snapshot: self.draw_snapshot(position), replaces_log: false }
    }

    /// A snapshot of a leader's state that the log lacks: beyond its end, or in place of entries
    /// that were not committed.
    fn draw_installed_snapshot(&mut self, state: &Recovered) -> SnapshotWrite {
        let index = self.random.random_range(state.commit.0 + 1..=last_index(state).0 + 5);
        let term = Term(state.hard_state.term.0 + 1);
        let position = LogPosition { term, index: LogIndex(index) };
        SnapshotWrite { snapshot: self.draw_snapshot(position), replaces_log: true }
    }

    fn draw_snapshot(&mut self, position: LogPosition) -> Snapshot {
        let metadata = SnapshotMetadata { position, configuration: Configuration::default() };
        let data = (0..self.random.random_range(0..60)).map(|_| self.random.random()).collect();
        Snapshot { metadata, data: Bytes::from_owner::<Vec<u8>>(data) }
    }
}

fn seeds() -> u64 {
    let seeds = std::env::var("STORAGE_SEEDS").ok();
    seeds.map_or(SEEDS, |seeds| seeds.parse().expect("STORAGE_SEEDS is a number"))
}

#[rstest]
#[case::kills_and_losses_of_power(DiskFaults::default())]
#[case::full_disk(DiskFaults { full: 0.1, ..DiskFaults::default() })]
#[case::failed_syncs(DiskFaults { failed_sync: 0.05, ..DiskFaults::default() })]
fn folder_keeps_what_a_start_recovered(#[case] faults: DiskFaults) {
    let broken: Vec<(u64, String)> = (std::env::var("ONE").map_or(0, |one| one.parse().unwrap())
        ..seeds())
        .filter_map(|seed| Some((seed, Sequence::new(seed, faults).run().err()?)))
        .collect();
    let first: Vec<_> = broken.iter().take(5).collect();
    assert!(broken.is_empty(), "{} of {} sequences broke: {first:#?}", broken.len(), seeds());
}
