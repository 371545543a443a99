//! The external list of leaves, as the leader reads it.

use std::collections::BTreeMap;

use gingerkeel_domain::directory::{
    DirectoryReading, EntryFault, HeldLeaves, LeafDirectory, ListedLeaf,
};
use gingerkeel_domain::identifiers::LeafIdentity;
use gingerkeel_domain::time::Timestamp;
use tracing::{info, warn};

/// State kept between readings of the list.
#[derive(Debug, Default)]
pub(super) struct ListedLeaves {
    held: HeldLeaves,
    /// Number of entries that the last reading left out, by fault.
    faults: BTreeMap<EntryFault, usize>,
}

impl ListedLeaves {
    /// Merges a reading with the known directory into the list of leaves. Logs the number of
    /// entries that were left out whenever it changes.
    pub(super) fn read(
        &mut self,
        now: Timestamp,
        known: &LeafDirectory,
        reading: DirectoryReading,
    ) -> Vec<ListedLeaf> {
        let faults = reading.faults();
        let named = reading.rejected().iter().find_map(|entry| entry.leaf.clone());
        let usable = reading.leaves().len();
        let listed = self.held.listed(now, known, reading);
        if faults != self.faults {
            self.faults = faults;
            self.log_left_out(usable, named.as_ref());
        }
        listed
    }

    /// Logs how many entries are left out, with the name of one affected leaf.
    fn log_left_out(&self, leaves: usize, named: Option<&LeafIdentity>) {
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
