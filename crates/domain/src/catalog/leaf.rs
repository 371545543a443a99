//! A leaf: a back-end process that serves replicas of shards.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::identifiers::{LeafId, RegionName, ZoneName};

/// Address at which a leaf accepts HTTP requests.
pub type LeafAddress = SocketAddr;

/// Where a process runs.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Placement {
    /// Region of the zone.
    pub region: RegionName,
    /// Failure zone within the region.
    pub zone: ZoneName,
}

/// State of a leaf as set by operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeafState {
    /// Takes new work.
    Active,
    /// Takes no new work; requests in flight finish.
    Draining,
}

/// One leaf as configured.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leaf {
    /// Number of the leaf, unique within the catalog.
    pub id: LeafId,
    /// Address at which the leaf accepts requests.
    pub address: LeafAddress,
    /// Region and zone in which the leaf runs.
    pub placement: Placement,
    /// Number of requests that the leaf runs concurrently.
    pub slots: u32,
    /// Number of connections that the leaf accepts from all brokers together.
    pub connection_limit: u32,
    /// State as set by operators.
    pub state: LeafState,
}
