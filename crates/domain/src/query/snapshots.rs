//! Which snapshots the leaves of one service are known to serve.
//!
//! A newly published snapshot is tried by repeatable queries. Once a leaf of every shard has
//! answered on it, it is confirmed and carries all queries. While all replicas of some shard
//! refuse it, it is blocked, and queries read the snapshot published before it.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::identifiers::{LeafId, ShardId, Snapshot};
use crate::time::Timestamp;

/// Time after which a refusal says nothing any more: the leaf may have loaded the snapshot.
const REFUSAL_MEMORY: Duration = Duration::from_millis(500);

/// What is known of one snapshot.
#[derive(Debug, Default)]
struct Knowledge {
    served: Vec<ShardId>,
    shard_count: usize,
    refusals: BTreeMap<LeafId, Timestamp>,
    blocked_until: Option<Timestamp>,
}

impl Knowledge {
    fn is_confirmed(&self) -> bool {
        self.shard_count > 0 && self.served.len() >= self.shard_count
    }

    fn is_blocked(&self, now: Timestamp) -> bool {
        self.blocked_until.is_some_and(|until| now < until)
    }
}

/// The published snapshots of one service and what is known of each.
#[derive(Debug, Default)]
pub struct SnapshotDirectory {
    published: Vec<Snapshot>,
    known: BTreeMap<Snapshot, Knowledge>,
}

impl SnapshotDirectory {
    /// Takes over the published snapshots, newest first, each with its number of shards.
    pub fn publish(&mut self, published: impl IntoIterator<Item = (Snapshot, usize)>) {
        self.published.clear();
        for (snapshot, shard_count) in published {
            self.published.push(snapshot);
            self.known.entry(snapshot).or_default().shard_count = shard_count;
        }
        let retained = &self.published;
        self.known.retain(|snapshot, _| retained.contains(snapshot));
    }

    /// The snapshot that a new query reads: the newest that is not blocked. A query that cannot
    /// start over takes the newest confirmed one, as long as there is one.
    pub fn choose(&self, now: Timestamp, repeatable: bool) -> Option<Snapshot> {
        let mut open = self.published.iter().filter(|snapshot| !self.is_blocked(now, **snapshot));
        let confirmed =
            || self.published.iter().find(|snapshot| self.is_confirmed(now, **snapshot));
        let chosen = if repeatable { open.next() } else { confirmed().or_else(|| open.next()) };
        chosen.or_else(|| self.published.first()).copied()
    }

    /// A newer snapshot than `lost` on which a query may start over.
    pub fn newer(&self, now: Timestamp, lost: Snapshot) -> Option<Snapshot> {
        let newest = self.choose(now, true)?;
        (newest > lost).then_some(newest)
    }

    /// Another snapshot than `lost`, newest first, on which a query may start over.
    pub fn alternative(&self, now: Timestamp, lost: Snapshot) -> Option<Snapshot> {
        let open = |snapshot: &&Snapshot| **snapshot != lost && !self.is_blocked(now, **snapshot);
        self.published.iter().find(open).copied()
    }

    /// A leaf answered for a shard on a snapshot.
    pub fn served(&mut self, snapshot: Snapshot, shard: ShardId, leaf: LeafId) {
        let Some(known) = self.known.get_mut(&snapshot) else {
            return;
        };
        if !known.refusals.is_empty() {
            known.refusals.remove(&leaf);
        }
        if !known.is_confirmed() && !known.served.contains(&shard) {
            known.served.push(shard);
        }
    }

    /// A leaf refused a snapshot. `alternatives` are the replicas of the shard that take new
    /// work; when all of them refused lately, the snapshot is blocked for a while.
    pub fn refused(
        &mut self,
        now: Timestamp,
        snapshot: Snapshot,
        leaf: LeafId,
        mut alternatives: impl Iterator<Item = LeafId>,
    ) {
        let Some(known) = self.known.get_mut(&snapshot) else {
            return;
        };
        known.refusals.retain(|_, refused| now.since(*refused) < REFUSAL_MEMORY);
        known.refusals.insert(leaf, now);
        if alternatives.all(|replica| known.refusals.contains_key(&replica)) {
            known.blocked_until = Some(now.after(REFUSAL_MEMORY));
            known.served.clear();
        }
    }

    /// Leaves that refused a snapshot lately.
    pub fn refusing(&self, now: Timestamp, snapshot: Snapshot) -> Vec<LeafId> {
        let Some(known) = self.known.get(&snapshot).filter(|known| !known.refusals.is_empty())
        else {
            return Vec::new();
        };
        let recent = known.refusals.iter().filter(|(_, at)| now.since(**at) < REFUSAL_MEMORY);
        recent.map(|(leaf, _)| *leaf).collect()
    }

    fn is_blocked(&self, now: Timestamp, snapshot: Snapshot) -> bool {
        self.known.get(&snapshot).is_some_and(|known| known.is_blocked(now))
    }

    fn is_confirmed(&self, now: Timestamp, snapshot: Snapshot) -> bool {
        self.known
            .get(&snapshot)
            .is_some_and(|known| known.is_confirmed() && !known.is_blocked(now))
    }
}
