//! Layout of the leaf list in releases without software versions, for decoding their documents.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::{DirectoryDelta, DirectoryVersion, LeafAvailability, LeafDirectory, ListedLeaf};
use crate::identifiers::{LeafIdentity, ServiceName, SoftwareVersion, ZoneName};

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct FormerListedLeaf {
    identity: LeafIdentity,
    service: ServiceName,
    address: SocketAddr,
    zone: ZoneName,
    slots: u32,
    availability: LeafAvailability,
    cold_ms: u64,
}

/// [`LeafDirectory`] in the former layout.
#[derive(Debug, Serialize, Deserialize)]
pub struct FormerLeafDirectory {
    version: DirectoryVersion,
    leaves: BTreeMap<LeafIdentity, FormerListedLeaf>,
}

/// [`DirectoryDelta`] in the former layout.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FormerDirectoryDelta {
    base: DirectoryVersion,
    changed: Vec<FormerListedLeaf>,
    gone: Vec<LeafIdentity>,
}

impl From<FormerListedLeaf> for ListedLeaf {
    fn from(former: FormerListedLeaf) -> Self {
        Self {
            identity: former.identity,
            service: former.service,
            address: former.address,
            zone: former.zone,
            slots: former.slots,
            availability: former.availability,
            cold_ms: former.cold_ms,
            version: SoftwareVersion::default(),
        }
    }
}

impl From<FormerLeafDirectory> for LeafDirectory {
    fn from(former: FormerLeafDirectory) -> Self {
        let leaves = former.leaves.into_iter();
        let leaves = leaves.map(|(identity, leaf)| (identity, leaf.into())).collect();
        Self { version: former.version, leaves }
    }
}

impl From<FormerDirectoryDelta> for DirectoryDelta {
    fn from(former: FormerDirectoryDelta) -> Self {
        let changed = former.changed.into_iter().map(ListedLeaf::from).collect();
        Self { base: former.base, changed, gone: former.gone }
    }
}
