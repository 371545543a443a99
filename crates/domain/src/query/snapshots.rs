//! Availability of the published snapshots of one service on its leaves.
//!
//! Repeatable queries read a newly published snapshot at once. The snapshot is confirmed when a
//! leaf of every shard has answered on it; from then on all queries read it. While all replicas of
//! a shard refuse it, the snapshot is blocked and queries read the one published before.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::identifiers::{LeafId, ShardId, Snapshot};
use crate::time::Timestamp;

/// Time after which a refusal expires, because the leaf may have loaded the snapshot since.
const REFUSAL_TTL: Duration = Duration::from_millis(500);

/// Confirmations and refusals of one snapshot.
#[derive(Debug, Default)]
struct SnapshotState {
    served: Vec<ShardId>,
    shard_count: usize,
    refusals: BTreeMap<LeafId, Timestamp>,
    blocked_until: Option<Timestamp>,
}

impl SnapshotState {
    fn is_confirmed(&self) -> bool {
        self.shard_count > 0 && self.served.len() >= self.shard_count
    }

    fn is_blocked(&self, now: Timestamp) -> bool {
        self.blocked_until.is_some_and(|until| now < until)
    }
}

/// Published snapshots of one service and the availability of each.
#[derive(Debug, Default)]
pub struct SnapshotDirectory {
    published: Vec<Snapshot>,
    states: BTreeMap<Snapshot, SnapshotState>,
}

impl SnapshotDirectory {
    /// Replaces the published snapshots, newest first, each with its number of shards.
    pub fn publish(&mut self, published: impl IntoIterator<Item = (Snapshot, usize)>) {
        self.published.clear();
        for (snapshot, shard_count) in published {
            self.published.push(snapshot);
            self.states.entry(snapshot).or_default().shard_count = shard_count;
        }
        let retained = &self.published;
        self.states.retain(|snapshot, _| retained.contains(snapshot));
    }

    /// Snapshot for a new query: the newest that is not blocked, or for a query that cannot restart
    /// the newest confirmed one if there is any. When all are blocked, the newest.
    pub fn choose(&self, now: Timestamp, repeatable: bool) -> Option<Snapshot> {
        let mut open = self.published.iter().filter(|snapshot| !self.is_blocked(now, **snapshot));
        let confirmed =
            || self.published.iter().find(|snapshot| self.is_confirmed(now, **snapshot));
        let chosen = if repeatable { open.next() } else { confirmed().or_else(|| open.next()) };
        chosen.or_else(|| self.published.first()).copied()
    }

    /// Snapshot newer than `lost` on which a query may restart.
    pub fn newer(&self, now: Timestamp, lost: Snapshot) -> Option<Snapshot> {
        let newest = self.choose(now, true)?;
        (newest > lost).then_some(newest)
    }

    /// Newest snapshot other than `lost` that is not blocked.
    pub fn alternative(&self, now: Timestamp, lost: Snapshot) -> Option<Snapshot> {
        let open = |snapshot: &&Snapshot| **snapshot != lost && !self.is_blocked(now, **snapshot);
        self.published.iter().find(open).copied()
    }

    /// Records that a leaf answered for a shard on a snapshot.
    pub fn served(&mut self, snapshot: Snapshot, shard: ShardId, leaf: LeafId) {
        let Some(state) = self.states.get_mut(&snapshot) else {
            return;
        };
        if !state.refusals.is_empty() {
            state.refusals.remove(&leaf);
        }
        if !state.is_confirmed() && !state.served.contains(&shard) {
            state.served.push(shard);
        }
    }

    /// Records that a leaf refused a snapshot. `alternatives` are the replicas of the shard that
    /// take new requests; if all of them refused recently, the snapshot is blocked for 500 ms.
    pub fn refused(
        &mut self,
        now: Timestamp,
        snapshot: Snapshot,
        leaf: LeafId,
        mut alternatives: impl Iterator<Item = LeafId>,
    ) {
        let Some(state) = self.states.get_mut(&snapshot) else {
            return;
        };
        state.refusals.retain(|_, refused| now.since(*refused) < REFUSAL_TTL);
        state.refusals.insert(leaf, now);
        if alternatives.all(|replica| state.refusals.contains_key(&replica)) {
            state.blocked_until = Some(now.after(REFUSAL_TTL));
            state.served.clear();
        }
    }

    /// Leaves whose refusal of a snapshot has not expired.
    pub fn refusing(&self, now: Timestamp, snapshot: Snapshot) -> Vec<LeafId> {
        let Some(state) = self.states.get(&snapshot).filter(|state| !state.refusals.is_empty())
        else {
            return Vec::new();
        };
        let recent = state.refusals.iter().filter(|(_, at)| now.since(**at) < REFUSAL_TTL);
        recent.map(|(leaf, _)| *leaf).collect()
    }

    fn is_blocked(&self, now: Timestamp, snapshot: Snapshot) -> bool {
        self.states.get(&snapshot).is_some_and(|state| state.is_blocked(now))
    }

    fn is_confirmed(&self, now: Timestamp, snapshot: Snapshot) -> bool {
        self.states
            .get(&snapshot)
            .is_some_and(|state| state.is_confirmed() && !state.is_blocked(now))
    }
}
