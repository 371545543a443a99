//! The list of leaves, as read from an external directory.
//!
//! A leaf is identified by its identity, never by its address: the platform soon assigns the
//! address of a terminated leaf to another one. The identity includes the start time, since a
//! restarted leaf keeps its name but none of its state. The list is replicated as deltas.

mod former;
mod reading;
mod shared_names;
mod start;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use self::shared_names::NameInterner;
use crate::identifiers::{LeafIdentity, ServiceName, SoftwareVersion, ZoneName};

pub use former::{FormerDirectoryDelta, FormerLeafDirectory};
pub use reading::{DirectoryReading, EntryFault, HOLD_PERIOD, HeldLeaves, RejectedEntry};
pub use start::LeafStart;

/// Version of the list within a cluster; incremented by each delta.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct DirectoryVersion(pub u64);

/// Whether a leaf takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeafAvailability {
    /// Accepts new requests.
    Ready,
    /// Draining: finishes requests in flight and accepts no new ones.
    Leaving,
}

/// One entry of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedLeaf {
    /// Name and start time of the leaf.
    pub identity: LeafIdentity,
    /// The service that the leaf belongs to.
    pub service: ServiceName,
    /// Address at which the leaf accepts requests.
    pub address: SocketAddr,
    /// Zone in which the leaf runs.
    pub zone: ZoneName,
    /// Number of requests that the leaf processes concurrently.
    pub slots: u32,
    /// Whether the leaf accepts new requests.
    pub availability: LeafAvailability,
    /// Remaining warm-up time when this entry was made, in milliseconds; 0 for a warm leaf.
    #[serde(default)]
    pub cold_ms: u64,
    /// Version of the leaf's software; empty if the external directory does not provide it.
    #[serde(default)]
    pub version: SoftwareVersion,
}

impl ListedLeaf {
    /// Whether `newer` has to be replicated. A shorter remaining warm-up time alone is no change,
    /// since time has passed; only a longer one or the end of the warm-up is.
    fn differs_from(&self, newer: &Self) -> bool {
        let turns_cold_or_warm =
            newer.cold_ms > self.cold_ms || (newer.cold_ms == 0) != (self.cold_ms == 0);
        let equal_except_cold_ms = Self { cold_ms: newer.cold_ms, ..self.clone() } == *newer;
        turns_cold_or_warm || !equal_except_cold_ms
    }
}

/// All listed leaves at one version of the list.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeafDirectory {
    version: DirectoryVersion,
    leaves: BTreeMap<LeafIdentity, ListedLeaf>,
}

/// The difference between two consecutive versions of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DirectoryDelta {
    /// The version that the delta applies to.
    pub base: DirectoryVersion,
    /// Entries that were added or changed.
    pub changed: Vec<ListedLeaf>,
    /// Identities of the leaves that are no longer listed.
    pub gone: Vec<LeafIdentity>,
}

impl DirectoryDelta {
    /// Interns service, zone and version names, so that equal names share memory.
    pub fn intern_names(&mut self) {
        let mut names = NameInterner::default();
        self.changed.iter_mut().for_each(|leaf| names.intern(leaf));
    }
}

impl LeafDirectory {
    /// Interns service, zone and version names, so that equal names share memory.
    pub fn intern_names(&mut self) {
        let mut names = NameInterner::default();
        self.leaves.values_mut().for_each(|leaf| names.intern(leaf));
    }

    /// The version of the list; 0 before the first delta.
    pub fn version(&self) -> DirectoryVersion {
        self.version
    }

    /// The entries by identity.
    pub fn leaves(&self) -> &BTreeMap<LeafIdentity, ListedLeaf> {
        &self.leaves
    }

    /// The delta from this list to `listed`, or `None` if nothing changed. The first list is always
    /// a delta, even if it is empty.
    pub fn delta_to(&self, listed: &[ListedLeaf]) -> Option<DirectoryDelta> {
        let has_changed = |leaf: &&ListedLeaf| {
            self.leaves.get(&leaf.identity).is_none_or(|known| known.differs_from(leaf))
        };
        let changed: Vec<ListedLeaf> = listed.iter().filter(has_changed).cloned().collect();
        let present: BTreeSet<&LeafIdentity> = listed.iter().map(|leaf| &leaf.identity).collect();
        let gone = self.leaves.keys().filter(|identity| !present.contains(identity));
        let gone: Vec<LeafIdentity> = gone.cloned().collect();
        let first = self.version == DirectoryVersion(0);
        if changed.is_empty() && gone.is_empty() && !first {
            return None;
        }
        Some(DirectoryDelta { base: self.version, changed, gone })
    }

    /// Applies a delta. Returns `false`, without effect, if the delta applies to another version.
    pub fn apply(&mut self, delta: &DirectoryDelta) -> bool {
        if delta.base != self.version {
            return false;
        }
        self.version.0 += 1;
        for identity in &delta.gone {
            self.leaves.remove(identity);
        }
        for leaf in &delta.changed {
            self.leaves.insert(leaf.identity.clone(), leaf.clone());
        }
        true
    }
}
