//! The outside list of leaves as this process reads it while it leads.

use std::collections::BTreeMap;

use gingerkeel_domain::directory::{
    DirectoryReading, EntryFault, HeldLeaves, LeafDirectory, ListedLeaf,
};
use gingerkeel_domain::identifiers::LeafIdentity;
use gingerkeel_domain::time::Timestamp;
use tracing::{info, warn};

/// What the last readings of the list leave to be known.
#[derive(Debug, Default)]
pub(super) struct ListedLeaves {
    held: HeldLeaves,
    /// How many entries the last reading left out, by fault.
    faults: BTreeMap<EntryFault, usize>,
}

impl ListedLeaves {
    /// The leaves that are listed, by a reading and by what is known. Tells when entries are left out, once until other
    /// numbers of them are.
    pub(super) fn read(
        &mut self,
        now: Timestamp,
        known: &LeafDirectory,
        reading: DirectoryReading,
    ) -> Vec<ListedLeaf> {
        let faults = reading.faults();
        let named = reading.left_out().iter().find_map(|entry| entry.leaf.clone());
        let usable = reading.leaves().len();
        let listed = self.held.listed(now, known, reading);
        if faults != self.faults {
            self.faults = faults;
            self.tell(usable, named.as_ref());
        }
        listed
    }

    /// Tells how many entries are left out, and of a leaf that one of them names.
    fn tell(&self, leaves: usize, named: Option<&LeafIdentity>) {
        if self.faults.is_empty() {
            info!(event = "directory_entries_usable", leaves);
            return;
        }
        let count = |fault| self.faults.get(&fault).copied().unwrap_or(0);
        warn!(
            event = "directory_entries_left_out",
            leaves,
            unreadable = count(EntryFault::Unreadable),
            malformed = count(EntryFault::Malformed),
            unknown_state = count(EntryFault::UnknownState),
            contradicted = count(EntryFault::Contradicted),
            held = self.held.count(),
            leaf = named.map_or("", LeafIdentity::as_str)
        );
    }
}
