//! One reading of the external leaf directory, whose entries may come from other writers.
//!
//! An unusable entry is rejected and the others are used. A rejected entry does not mean that its
//! leaf has terminated: a known leaf that may be the one of the rejected entry keeps its last known
//! state for [`HOLD_PERIOD`]. The same holds for a leaf that is listed with an earlier start time,
//! because the directory lags. If the earlier start time stays listed, the clock of the leaf's
//! machine was set back between the two starts.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::{LeafDirectory, ListedLeaf};
use crate::identifiers::LeafIdentity;
use crate::time::Timestamp;

/// How long a leaf keeps its last known state while its entry is unusable or has an earlier start
/// time. Brokers tolerate a leaf that is listed too long, since directories list terminated leaves
/// for some seconds anyway; a leaf that is removed too early gets no requests.
pub const HOLD_PERIOD: Duration = Duration::from_secs(10);

/// Why an entry was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum EntryFault {
    /// The entry is not a valid document or not valid text.
    Unreadable,
    /// A field is missing or has a value of the wrong type.
    Malformed,
    /// The state of the leaf is not a known one.
    UnknownState,
    /// Another entry of the reading has the same identity but other contents.
    Contradicted,
}

/// An entry that was rejected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RejectedEntry {
    /// Identity in the entry, if it could be read.
    pub leaf: Option<LeafIdentity>,
    /// Why the entry was rejected.
    pub fault: EntryFault,
}

/// All entries of one reading.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DirectoryReading {
    /// The entry with the latest start time of each leaf, by name.
    leaves: BTreeMap<String, ListedLeaf>,
    rejected: Vec<RejectedEntry>,
    /// Names of the leaves in rejected entries.
    rejected_names: BTreeSet<String>,
}

impl DirectoryReading {
    /// Adds an entry. Pages are read one after another, so a leaf may occur twice: the entry with
    /// the later start time wins, and of two entries with the same start time the one read last.
    /// Entries with the same identity but another address, service or zone are all rejected.
    pub fn add(&mut self, entry: ListedLeaf) {
        let name = entry.identity.name().to_owned();
        if self.rejected_names.contains(&name) {
            return;
        }
        let order = self.leaves.get(&name).map(|known| {
            let is_same = (known.address, &known.service, &known.zone)
                == (entry.address, &entry.service, &entry.zone);
            (entry.identity.start().cmp(&known.identity.start()), is_same)
        });
        match order {
            Some((Ordering::Less, _)) => {}
            Some((Ordering::Equal, false)) => {
                let fault = EntryFault::Contradicted;
                self.reject(RejectedEntry { leaf: Some(entry.identity), fault });
            }
            _ => {
                self.leaves.insert(name, entry);
            }
        }
    }

    /// Adds a rejected entry. A usable entry of the same name is discarded, since the two
    /// contradict each other.
    pub fn reject(&mut self, entry: RejectedEntry) {
        if let Some(leaf) = &entry.leaf {
            self.leaves.remove(leaf.name());
            self.rejected_names.insert(leaf.name().to_owned());
        }
        self.rejected.push(entry);
    }

    /// The usable entries, by name of the leaf.
    pub fn leaves(&self) -> &BTreeMap<String, ListedLeaf> {
        &self.leaves
    }

    /// The rejected entries, in the order of the directory.
    pub fn rejected(&self) -> &[RejectedEntry] {
        &self.rejected
    }

    /// Number of rejected entries by fault.
    pub fn faults(&self) -> BTreeMap<EntryFault, usize> {
        let mut faults = BTreeMap::new();
        for entry in &self.rejected {
            *faults.entry(entry.fault).or_default() += 1;
        }
        faults
    }

    /// Number of rejected entries without a readable identity.
    fn unidentified(&self) -> usize {
        self.rejected.iter().filter(|entry| entry.leaf.is_none()).count()
    }
}

/// Known leaves that keep their last known state although the latest reading does not contain it:
/// their entries may be among the rejected ones, or are listed with an earlier start time.
#[derive(Debug, Default)]
pub struct HeldLeaves {
    /// Time from which each leaf is held.
    held: BTreeMap<LeafIdentity, Timestamp>,
    /// Number of rejected entries without identity in the last reading.
    unidentified: usize,
}

impl HeldLeaves {
    /// The leaves to list: those of the reading and those that are held. A known leaf that is
    /// missing from the reading is held if a rejected entry has its name, or if the reading has
    /// more rejected entries without identity than the last one.
    pub fn listed(
        &mut self,
        now: Timestamp,
        known: &LeafDirectory,
        mut reading: DirectoryReading,
    ) -> Vec<ListedLeaf> {
        let unidentified = reading.unidentified();
        let more_unidentified = unidentified > self.unidentified;
        self.unidentified = unidentified;
        let before = std::mem::take(&mut self.held);
        for (identity, leaf) in known.leaves() {
            let since = before.get(identity).copied();
            let may_be_unidentified =
                if since.is_some() { unidentified > 0 } else { more_unidentified };
            let is_held = match reading.leaves.get(identity.name()) {
                Some(entry) => entry.identity.start() < identity.start(),
                None => may_be_unidentified || reading.rejected_names.contains(identity.name()),
            };
            if !is_held {
                continue;
            }
            let since = since.unwrap_or(now);
            self.held.insert(identity.clone(), since);
            if now.since(since) < HOLD_PERIOD {
                reading.leaves.insert(identity.name().to_owned(), leaf.clone());
            }
        }
        reading.leaves.into_values().collect()
    }

    /// Number of held leaves.
    pub fn count(&self) -> usize {
        self.held.len()
    }
}
