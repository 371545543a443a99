//! A leaf: one back end process that serves replicas of shards.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::identifiers::{LeafId, RegionName, ZoneName};

/// Address at which a leaf takes HTTP requests.
pub type LeafAddress = SocketAddr;

/// Where a process runs.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Placement {
    /// Region of the zone.
    pub region: RegionName,
    /// Failure zone.
    pub zone: ZoneName,
}

/// What operators want of a leaf.
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
    /// Its number.
    pub id: LeafId,
    /// Its address.
    pub address: LeafAddress,
    /// Its place.
    pub placement: Placement,
    /// Requests it runs at the same time.
    pub slots: u32,
    /// Connections it accepts over all brokers.
    pub connection_limit: u32,
    /// What operators want of it.
    pub state: LeafState,
}
