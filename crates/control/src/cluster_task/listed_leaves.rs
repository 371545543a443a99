//! The outside list of leaves as this process reads it while it leads.

use std::collections::BTreeMap;

use gingerkeel_domain::directory::{
    DirectoryReading, EntryFault, HeldLeaves, LeafDirectory, ListedLeaf,
};
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
        let leaves = reading.leaves().len();
        let listed = self.held.listed(now, known, reading);
        if faults != self.faults {
            let count = |fault| faults.get(&fault).copied().unwrap_or(0);
            let unreadable = count(EntryFault::Unreadable);
            let malformed = count(EntryFault::Malformed);
            let unknown_state = count(EntryFault::UnknownState);
            let contradicted = count(EntryFault::Contradicted);
            let held = self.held.count();
            let leaf = named.as_ref().map_or("", |leaf| leaf.as_str());
            if faults.is_empty() {
                info!(event = "directory_entries_usable", leaves);
            } else {
                warn!(
                    event = "directory_entries_left_out",
                    leaves, unreadable, malformed, unknown_state, contradicted, held, leaf
                );
            }
            self.faults = faults;
        }
        listed
    }
}
