//! Interning of names that many leaves share.

use std::collections::BTreeSet;

use super::ListedLeaf;
use crate::identifiers::{ServiceName, SoftwareVersion, ZoneName};

/// The distinct names seen so far. A decoded list has its own copy of each name for each of
/// thousands of leaves.
#[derive(Default)]
pub(super) struct NameInterner {
    services: BTreeSet<ServiceName>,
    zones: BTreeSet<ZoneName>,
    versions: BTreeSet<SoftwareVersion>,
}

impl NameInterner {
    /// Replaces the names of a leaf by equal ones that were seen before.
    pub(super) fn intern(&mut self, leaf: &mut ListedLeaf) {
        leaf.service = interned(&mut self.services, &leaf.service);
        leaf.zone = interned(&mut self.zones, &leaf.zone);
        leaf.version = interned(&mut self.versions, &leaf.version);
    }
}

fn interned<Name: Clone + Ord>(known: &mut BTreeSet<Name>, name: &Name) -> Name {
    if let Some(same) = known.get(name) {
        return same.clone();
    }
    known.insert(name.clone());
    name.clone()
}
