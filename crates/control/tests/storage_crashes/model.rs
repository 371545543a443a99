//! What a data folder may hold, by the writes that were persisted or interrupted.

use gingerkeel_domain::consensus::{LogIndex, Recovered, SnapshotWrite, Write};

/// Index of the last entry, or of the snapshot if no entry follows it.
pub fn last_index(state: &Recovered) -> LogIndex {
    state.entries.last().map_or_else(|| snapshot_index(state), |entry| entry.index)
}

/// Index of the snapshot; 0 if there is none.
pub fn snapshot_index(state: &Recovered) -> LogIndex {
    state.snapshot.as_ref().map_or(LogIndex(0), |snapshot| snapshot.index())
}

/// The state with the commit index that a member starts with: a snapshot covers committed entries.
pub fn normalized(state: Recovered) -> Recovered {
    let commit = state.commit.max(snapshot_index(&state));
    Recovered { commit, ..state }
}

/// The state after a write.
pub fn after(state: &Recovered, write: &Write) -> Recovered {
    let mut next = match &write.snapshot {
        Some(snapshot) => after_snapshot(state, snapshot),
        None => state.clone(),
    };
    next.commit = next.commit.max(write.commit);
    if let Some(hard_state) = write.hard_state {
        next.hard_state = hard_state;
    }
    if let Some(first) = write.entries.first() {
        next.entries.retain(|entry| entry.index < first.index);
    }
    next.entries.extend(write.entries.iter().cloned());
    normalized(next)
}

fn after_snapshot(state: &Recovered, write: &SnapshotWrite) -> Recovered {
    let mut next = state.clone();
    let index = write.snapshot.index();
    next.entries.retain(|entry| !write.replaces_log && entry.index > index);
    next.snapshot = Some(write.snapshot.clone());
    normalized(next)
}

/// The states that a folder may hold after a batch was interrupted: each write is there as a whole,
/// not at all, or with its snapshot only, and none without those before it.
pub fn interrupted(state: &Recovered, batch: &[Write]) -> Vec<Recovered> {
    let mut states = vec![state.clone()];
    let mut last = state.clone();
    for write in batch {
        states.extend(write.snapshot.as_ref().map(|snapshot| after_snapshot(&last, snapshot)));
        last = after(&last, write);
        states.push(last.clone());
    }
    states
}
