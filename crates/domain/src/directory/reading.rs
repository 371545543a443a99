//! One reading of the outside list of leaves, whose entries others may write, too.
//!
//! An entry that names no usable leaf is left out, and the others hold. What is left out has not ended: a leaf that
//! was known, and may be the one whose entry cannot be used, stays as it was for a while.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{LeafDirectory, ListedLeaf};
use crate::identifiers::LeafIdentity;
use crate::time::Timestamp;

/// How long a leaf stays listed whose entry cannot be used any more. Lists go on naming leaves that have ended for
/// some seconds, so that brokers bear a leaf that is listed too long; one that is dropped too early serves nobody.
pub const HELD_FOR: Duration = Duration::from_secs(10);

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

impl EntryFault {
    /// The fault in one word, for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Unreadable => "unreadable",
            Self::Malformed => "malformed",
            Self::UnknownState => "unknown_state",
            Self::Contradicted => "contradicted",
        }
    }
}

/// An entry that names no usable leaf.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeftOutEntry {
    /// The leaf that it names; none where that cannot be read.
    pub leaf: Option<LeafIdentity>,
    /// Why it is left out.
    pub fault: EntryFault,
}

/// All entries of the list, as they were read.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DirectoryReading {
    leaves: BTreeMap<LeafIdentity, ListedLeaf>,
    left_out: Vec<LeftOutEntry>,
}

impl DirectoryReading {
    /// Adds an entry. Pages are read one after another, so that a leaf may come twice; where its state has changed in
    /// between, the later one holds. Entries that tell of different leaves under one identity are all left out.
    pub fn add(&mut self, entry: ListedLeaf) {
        if self.is_left_out(&entry.identity) {
            return;
        }
        let contradicts = |known: &ListedLeaf| {
            (known.address, &known.service, &known.zone)
                != (entry.address, &entry.service, &entry.zone)
        };
        if self.leaves.get(&entry.identity).is_some_and(contradicts) {
            let fault = EntryFault::Contradicted;
            self.leave_out(LeftOutEntry { leaf: Some(entry.identity), fault });
        } else {
            self.leaves.insert(entry.identity.clone(), entry);
        }
    }

    /// Adds an entry that names no usable leaf. One that names a leaf which was read contradicts it.
    pub fn leave_out(&mut self, entry: LeftOutEntry) {
        if let Some(leaf) = &entry.leaf {
            self.leaves.remove(leaf);
        }
        self.left_out.push(entry);
    }

    /// The leaves that may be used, by identity.
    pub fn leaves(&self) -> &BTreeMap<LeafIdentity, ListedLeaf> {
        &self.leaves
    }

    /// What was left out, in the order of the list.
    pub fn left_out(&self) -> &[LeftOutEntry] {
        &self.left_out
    }

    /// How many entries were left out, by fault.
    pub fn faults(&self) -> BTreeMap<EntryFault, usize> {
        let mut faults = BTreeMap::new();
        for entry in &self.left_out {
            *faults.entry(entry.fault).or_default() += 1;
        }
        faults
    }

    /// How many of them name no leaf.
    fn nameless(&self) -> usize {
        self.left_out.iter().filter(|entry| entry.leaf.is_none()).count()
    }

    fn is_left_out(&self, leaf: &LeafIdentity) -> bool {
        self.left_out.iter().any(|entry| entry.leaf.as_ref() == Some(leaf))
    }
}

/// Leaves that are known and whose entries may be among those that were left out.
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
        reading: DirectoryReading,
    ) -> Vec<ListedLeaf> {
        let nameless = reading.nameless();
        let more_nameless = nameless > self.nameless;
        self.nameless = nameless;
        let mut held = BTreeMap::new();
        let mut listed = Vec::new();
        for (identity, leaf) in known.leaves() {
            if reading.leaves.contains_key(identity) {
                continue;
            }
            let since = self.held.get(identity).copied();
            let is_named = reading.is_left_out(identity);
            let may_be_nameless = if since.is_some() { nameless > 0 } else { more_nameless };
            if !is_named && !may_be_nameless {
                continue;
            }
            let since = since.unwrap_or(now);
            held.insert(identity.clone(), since);
            if now.since(since) < HELD_FOR {
                listed.push(leaf.clone());
            }
        }
        self.held = held;
        listed.extend(reading.leaves.into_values());
        listed
    }

    /// How many leaves are held.
    pub fn count(&self) -> usize {
        self.held.len()
    }
}
