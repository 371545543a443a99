//! State of a broker's leaves: the directory in force, observations and connection pools.

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

/// Limits of the leaves of a service, over all brokers together.
#[derive(Debug, Clone, Copy)]
pub struct ServiceLimits {
    /// Connections to each leaf.
    pub connections: usize,
    /// Request rate of leaves after their start.
    pub cold_start: ColdStart,
}

impl Default for ServiceLimits {
    /// No limits.
    fn default() -> Self {
        Self { connections: usize::MAX, cold_start: ColdStart::default() }
    }
}

/// State of one service.
#[derive(Default)]
pub(super) struct ServiceState {
    pub(super) replicas: ReplicaSet,
    pub(super) extra: ExtraLoad,
    /// How long leaves of the service keep idle connections, as they last stated.
    pub(super) keep_alive_timeout: Option<Duration>,
}

/// The directory in force and the state of its leaves.
#[derive(Default)]
pub(super) struct Leaves {
    pub(super) directory: LeafDirectory,
    pub(super) services: BTreeMap<ServiceName, ServiceState>,
    pub(super) pools: BTreeMap<LeafIdentity, LeafPool>,
    pub(super) cold: ColdLeaves,
    pub(super) misdirected: MisdirectedRequests,
}

impl Leaves {
    /// Charges a request that arrived at another leaf, now at the address of the `ended` one, to
    /// the service of that other leaf: at once, or as soon as the directory lists it.
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
