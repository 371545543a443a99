//! What operators want of brokers and control processes.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::Placement;
use crate::identifiers::ControlName;

/// What operators want of a process of the tier.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberState {
    /// Takes part.
    Active,
    /// Takes no new work; what is in flight finishes.
    Draining,
    /// Does not belong to the cluster any more.
    Removed,
}

/// A control process as configured.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlMember {
    /// Its name.
    pub name: ControlName,
    /// Where other control processes reach it.
    pub address: SocketAddr,
    /// Its place.
    pub placement: Placement,
    /// What operators want of it.
    pub state: MemberState,
}
