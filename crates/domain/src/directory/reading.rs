//! One reading of the outside list of leaves, whose entries others may write, too.
//!
//! An entry that names no usable leaf is left out, and the others hold. What is left out has not ended: a leaf that
//! was known, and may be the one whose entry cannot be used, stays as it was for a while. So does a leaf of which an
//! earlier start is listed: lists lag. Where the earlier start stays listed, the clock of the leaf's machine was set
//! back between the two.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::{LeafDirectory, ListedLeaf};
use crate::identifiers::LeafIdentity;
use crate::time::Timestamp;

/// How long a leaf stays listed as it is known while its entry cannot be used, or tells of an earlier start. Lists
/// go on naming leaves that have ended for some seconds, so that brokers bear a leaf that is listed too long; one that
/// is dropped too early serves nobody.
pub const HOLD_PERIOD: Duration = Duration::from_secs(10);

/// Why an entry was left out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum EntryFault {
    /// It is no document, or has bytes that are no text.
    Unreadable,
    /// A field is missing, or has a value of another kind.
    Malformed,
    /// It names a state that is not known.
    UnknownState,
    /// Another entry of the reading says something else of the same leaf.
    Contradicted,
}

/// An entry that names no usable leaf.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RejectedEntry {
    /// The leaf that it names; none where that cannot be read.
    pub leaf: Option<LeafIdentity>,
    /// Why it is left out.
    pub fault: EntryFault,
}

/// All entries of the list, as they were read.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DirectoryReading {
    /// The newest start of each leaf, by name.
    leaves: BTreeMap<String, ListedLeaf>,
    rejected: Vec<RejectedEntry>,
    /// The names of the leaves that they name.
    rejected_names: BTreeSet<String>,
}

impl DirectoryReading {
    /// Adds an entry. Pages are read one after another, so that a leaf may come twice; where its state has changed in
    /// between, the later one holds. Of two starts the later one holds. Entries that tell of different leaves under one
    /// identity are all left out.
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

    /// Adds an entry that names no usable leaf. One that names a leaf which was read contradicts it.
    pub fn reject(&mut self, entry: RejectedEntry) {
        if let Some(leaf) = &entry.leaf {
            self.leaves.remove(leaf.name());
            self.rejected_names.insert(leaf.name().to_owned());
        }
        self.rejected.push(entry);
    }

    /// The leaves that may be used, by name.
    pub fn leaves(&self) -> &BTreeMap<String, ListedLeaf> {
        &self.leaves
    }

    /// What was left out, in the order of the list.
    pub fn rejected(&self) -> &[RejectedEntry] {
        &self.rejected
    }

    /// How many entries were left out, by fault.
    pub fn faults(&self) -> BTreeMap<EntryFault, usize> {
        let mut faults = BTreeMap::new();
        for entry in &self.rejected {
            *faults.entry(entry.fault).or_default() += 1;
        }
        faults
    }

    /// How many of them name no leaf.
    fn nameless(&self) -> usize {
        self.rejected.iter().filter(|entry| entry.leaf.is_none()).count()
    }
}

/// Leaves that are listed as they are known, though the list does not tell of them so: their entries may be among those
/// that were left out, or an earlier start of them is listed.
#[derive(Debug, Default)]
pub struct HeldLeaves {
    /// Since when each is held.
    held: BTreeMap<LeafIdentity, Timestamp>,
    /// Entries of the last reading that named no leaf.
    nameless: usize,
}

impl HeldLeaves {
    /// The leaves that are listed now: those of the reading, and those known that are held. A known leaf that is
    /// missing is held when an entry that was left out names it, or when more entries than before name none.
    pub fn listed(
        &mut self,
        now: Timestamp,
        known: &LeafDirectory,
        mut reading: DirectoryReading,
    ) -> Vec<ListedLeaf> {
        let nameless = reading.nameless();
        let more_nameless = nameless > self.nameless;
        self.nameless = nameless;
        let before = std::mem::take(&mut self.held);
        for (identity, leaf) in known.leaves() {
            let since = before.get(identity).copied();
            let may_be_nameless = if since.is_some() { nameless > 0 } else { more_nameless };
            let is_held = match reading.leaves.get(identity.name()) {
                Some(entry) => entry.identity.start() < identity.start(),
                None => may_be_nameless || reading.rejected_names.contains(identity.name()),
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

    /// How many leaves are held.
    pub fn count(&self) -> usize {
        self.held.len()
    }
}
