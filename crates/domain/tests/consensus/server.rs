//! A simulated machine: a disk whose unsynced writes may be lost, and a small state machine.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use bytes::Bytes;
use gingerkeel_domain::consensus::{
    Entry, Envelope, LogIndex, MemberId, Node, Payload, Recovered, Write, WriteNumber,
};
use gingerkeel_domain::time::Timestamp;

/// What a disk holds, and what has not been synced.
#[derive(Default)]
pub struct Disk {
    pub synced: Recovered,
    pub unsynced: VecDeque<Write>,
    /// When the latest write is going to be synced.
    busy_until: Timestamp,
    /// When the sync that runs is done; writes that wait for it share the next one.
    running_until: Timestamp,
}

impl Disk {
    /// When a write that is synced by itself, after those before it, is on disk.
    pub fn sync_alone(&mut self, now: Timestamp, time: Duration) -> Timestamp {
        self.busy_until = self.busy_until.max(now).after(time);
        self.busy_until
    }

    /// The same for a write that shares its sync with all others that wait for the disk.
    pub fn sync_with_waiting(&mut self, now: Timestamp, time: Duration) -> Timestamp {
        if self.running_until <= now {
            self.running_until = self.busy_until;
        }
        if self.busy_until <= now {
            self.running_until = now.after(time);
            self.busy_until = self.running_until;
        } else if self.busy_until == self.running_until {
            self.busy_until = self.running_until.after(time);
        }
        self.busy_until
    }

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

/// Counts each numbered command once, whatever its number of copies in the log.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StateMachine {
    seen: BTreeSet<u64>,
    order: Vec<u64>,
}

impl StateMachine {
    pub fn apply(&mut self, entry: &Entry) {
        let Payload::Command(command) = &entry.payload else {
            return;
        };
        let number = u64::from_be_bytes(command[..8].try_into().expect("eight bytes"));
        if self.seen.insert(number) {
            self.order.push(number);
        }
    }

    pub fn holds(&self, number: u64) -> bool {
        self.seen.contains(&number)
    }

    pub fn snapshot(&self) -> Bytes {
        self.order.iter().flat_map(|number| number.to_be_bytes()).collect()
    }

    pub fn restore(data: &[u8]) -> Self {
        let order: Vec<u64> = data
            .chunks_exact(8)
            .map(|chunk| u64::from_be_bytes(chunk.try_into().expect("eight bytes")))
            .collect();
        Self { seen: order.iter().copied().collect(), order }
    }
}

/// A machine of the cluster.
pub struct Server {
    pub identity: MemberId,
    pub node: Option<Node>,
    pub disk: Disk,
    pub state: StateMachine,
    pub applied: LogIndex,
    /// Grows with each start, so that events of an earlier run are told apart.
    pub run: u64,
    pub frozen: bool,
    /// What arrived while frozen.
    pub backlog: Vec<Envelope>,
    /// Writes that were synced while frozen.
    pub synced_in_freeze: Option<WriteNumber>,
    pub timer: Option<Timestamp>,
}

impl Server {
    pub fn new(identity: MemberId, synced: Recovered) -> Self {
        Self {
            identity,
            node: None,
            disk: Disk { synced, ..Disk::default() },
            state: StateMachine::default(),
            applied: LogIndex(0),
            run: 0,
            frozen: false,
            backlog: Vec::new(),
            synced_in_freeze: None,
            timer: None,
        }
    }

    pub fn kill(&mut self) {
        self.node = None;
        self.run += 1;
        self.frozen = false;
        self.backlog.clear();
        self.synced_in_freeze = None;
        self.disk.unsynced.clear();
        self.state = StateMachine::default();
        self.applied = LogIndex(0);
        self.timer = None;
    }
}
