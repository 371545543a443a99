//! What a broker knows of leaves: the list in force, what was observed of each, and the connections.

use std::collections::BTreeMap;
use std::time::Duration;

use gingerkeel_domain::directory::LeafDirectory;
use gingerkeel_domain::forwarding::{
    ColdLeaves, ColdStart, ExtraLoadShare, MisdirectedRequests, ReplicaSet,
};
use gingerkeel_domain::identifiers::{LeafIdentity, ServiceName};
use gingerkeel_domain::time::Timestamp;

use super::extra_load::ExtraLoad;
use super::pool::LeafPool;

/// What the leaves of a service bear from all brokers together.
#[derive(Debug, Clone, Copy)]
pub struct ServiceLimits {
    /// Connections to each leaf.
    pub connections: usize,
    /// How leaves start.
    pub cold_start: ColdStart,
}

impl Default for ServiceLimits {
    /// Nothing is known to limit them.
    fn default() -> Self {
        Self { connections: usize::MAX, cold_start: ColdStart::default() }
    }
}

/// What is known of one service.
#[derive(Default)]
pub(super) struct ServiceState {
    pub(super) replicas: ReplicaSet,
    pub(super) extra: ExtraLoad,
    /// How long leaves of the service say that they keep idle connections.
    pub(super) keep_alive_timeout: Option<Duration>,
}

/// The list in force and what is known of its leaves.
#[derive(Default)]
pub(super) struct Leaves {
    pub(super) directory: LeafDirectory,
    pub(super) services: BTreeMap<ServiceName, ServiceState>,
    pub(super) pools: BTreeMap<LeafIdentity, LeafPool>,
    pub(super) cold: ColdLeaves,
    pub(super) misdirected: MisdirectedRequests,
}

impl Leaves {
    /// A request for a leaf arrived at another one, which has its address: the service of that one pays for
    /// it, at once or when the list names it.
    pub(super) fn cover_misdirected(
        &mut self,
        now: Timestamp,
        share: &ExtraLoadShare,
        ended: &LeafIdentity,
    ) {
        let Some(address) = self.directory.leaves().get(ended).map(|leaf| leaf.address) else {
            return;
        };
        let mut leaves = self.directory.leaves().values();
        let holder = leaves.find(|leaf| leaf.address == address && leaf.identity != *ended);
        match holder.and_then(|leaf| self.services.get_mut(&leaf.service)) {
            Some(service) => service.extra.cover(share, now),
            None => self.misdirected.arrived(now, address),
        }
    }
}

#[cfg(test)]
mod tests;
