//! Simulated disk that loses unsynced writes when its machine is killed.

use std::collections::VecDeque;

use gingerkeel_domain::consensus::{Entry, Recovered, Write, WriteNumber};
use gingerkeel_domain::time::Timestamp;

/// Synced state and pending writes of a machine.
#[derive(Debug, Default)]
pub struct Disk {
    /// Persistent state.
    pub synced: Recovered,
    /// Writes not yet synced, oldest first.
    pub unsynced: VecDeque<Write>,
    /// Time at which the last write will be synced.
    pub busy_until: Timestamp,
}

impl Disk {
    /// Creates a disk with the persistent state `synced`.
    pub fn holding(synced: Recovered) -> Self {
        Self { synced, ..Self::default() }
    }

    /// Syncs all writes up to `number`.
    pub fn sync_up_to(&mut self, number: WriteNumber) {
        while self.unsynced.front().is_some_and(|write| write.number <= number) {
            if let Some(write) = self.unsynced.pop_front() {
                persist(&mut self.synced, write);
            }
        }
    }
}

fn persist(synced: &mut Recovered, write: Write) {
    synced.commit = synced.commit.max(write.commit);
    if let Some(hard_state) = write.hard_state {
        synced.hard_state = hard_state;
    }
    if let Some(written) = write.snapshot {
        let index = written.snapshot.metadata.position.index;
        let kept = |entry: &Entry| !written.replaces_log && entry.index > index;
        synced.entries.retain(kept);
        synced.snapshot = Some(written.snapshot);
    }
    if let Some(first) = write.entries.first() {
        synced.entries.retain(|entry| entry.index < first.index);
    }
    synced.entries.extend(write.entries);
}
