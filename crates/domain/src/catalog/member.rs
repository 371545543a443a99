//! Membership of brokers and control processes.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::Placement;
use crate::identifiers::ControlName;

/// State of a broker or control process as set by operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberState {
    /// Full member of the cluster.
    Active,
    /// Takes no new work; work in flight finishes.
    Draining,
    /// No longer a member of the cluster.
    Removed,
}

/// A control process as configured.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlMember {
    /// Name of the process; never reused after removal.
    pub name: ControlName,
    /// Address at which other control processes connect to it.
    pub address: SocketAddr,
    /// Region and zone in which the process runs.
    pub placement: Placement,
    /// State as set by operators.
    pub state: MemberState,
}
