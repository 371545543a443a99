//! The list of leaves, as an outside directory gives it.
//!
//! A leaf is told apart by its identity, never by its address: addresses are given to other
//! leaves soon after one has ended. Its start is a part of its identity: one that starts again under
//! its name knows nothing of before. The list is replicated as deltas.

mod former;
mod reading;
mod shared_names;
mod start;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use self::shared_names::SharedNames;
use crate::identifiers::{LeafIdentity, ServiceName, SoftwareVersion, ZoneName};

pub use former::{FormerDirectoryDelta, FormerLeafDirectory};
pub use reading::{DirectoryReading, EntryFault, HOLD_PERIOD, HeldLeaves, RejectedEntry};
pub use start::LeafStart;

/// Version of the list within a cluster; grows with each delta.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct DirectoryVersion(pub u64);

/// Whether a leaf takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeafAvailability {
    /// It does.
    Ready,
    /// It is leaving: it finishes what it has.
    Leaving,
}

/// One leaf.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedLeaf {
    /// Which run of which leaf it is.
    pub identity: LeafIdentity,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Zone in which it runs.
    pub zone: ZoneName,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub availability: LeafAvailability,
    /// How long it stays cold from when this entry was made, in milliseconds; 0 when it is warm.
    #[serde(default)]
    pub cold_ms: u64,
    /// Version of the software that it runs; empty where the list does not tell.
    #[serde(default)]
    pub version: SoftwareVersion,
}

impl ListedLeaf {
    /// Whether `newer` says something else of the leaf. A leaf that stays cold for less long than it
    /// was to is no news: the time has passed.
    fn differs_from(&self, newer: &Self) -> bool {
        let cools = newer.cold_ms > self.cold_ms || (newer.cold_ms == 0) != (self.cold_ms == 0);
        let same_but_cold = Self { cold_ms: newer.cold_ms, ..self.clone() } == *newer;
        cools || !same_but_cold
    }
}

/// All leaves that are known.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeafDirectory {
    version: DirectoryVersion,
    leaves: BTreeMap<LeafIdentity, ListedLeaf>,
}

/// What takes a list of one version to the next.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DirectoryDelta {
    /// The version that it builds on.
    pub base: DirectoryVersion,
    /// Leaves that are new or changed.
    pub changed: Vec<ListedLeaf>,
    /// Leaves that are gone.
    pub gone: Vec<LeafIdentity>,
}

impl DirectoryDelta {
    /// Holds each name once that many leaves share.
    pub fn intern_names(&mut self) {
        let mut names = SharedNames::default();
        self.changed.iter_mut().for_each(|leaf| names.share(leaf));
    }
}

impl LeafDirectory {
    /// Holds each name once that many leaves share.
    pub fn intern_names(&mut self) {
        let mut names = SharedNames::default();
        self.leaves.values_mut().for_each(|leaf| names.share(leaf));
    }

    /// The version of the list; 0 when none was ever given.
    pub fn version(&self) -> DirectoryVersion {
        self.version
    }

    /// The leaves by identity.
    pub fn leaves(&self) -> &BTreeMap<LeafIdentity, ListedLeaf> {
        &self.leaves
    }

    /// What takes this list to `listed`; none when they are the same. The very first list is a
    /// delta even when it is empty.
    pub fn delta_to(&self, listed: &[ListedLeaf]) -> Option<DirectoryDelta> {
        let news = |leaf: &&ListedLeaf| {
            self.leaves.get(&leaf.identity).is_none_or(|known| known.differs_from(leaf))
        };
        let changed: Vec<ListedLeaf> = listed.iter().filter(news).cloned().collect();
        let present: BTreeSet<&LeafIdentity> = listed.iter().map(|leaf| &leaf.identity).collect();
        let gone = self.leaves.keys().filter(|identity| !present.contains(identity));
        let gone: Vec<LeafIdentity> = gone.cloned().collect();
        let first = self.version == DirectoryVersion(0);
        if changed.is_empty() && gone.is_empty() && !first {
            return None;
        }
        Some(DirectoryDelta { base: self.version, changed, gone })
    }

    /// Takes a delta over; false, without effect, when it builds on another version.
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
