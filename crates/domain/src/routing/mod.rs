//! Choice of a replica for each shard, from this broker's own observations.

use std::collections::BTreeMap;
use std::time::Duration;

use rand_core::RngCore;

use crate::catalog::{Catalog, LeafState};
use crate::identifiers::LeafId;
use crate::time::Timestamp;

/// Weight of the newest latency in the smoothed latency.
const LATENCY_SMOOTHING: f64 = 0.2;

/// How a leaf request ended, as seen by this broker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Observation {
    /// The leaf answered after this time.
    Answered(Duration),
    /// The leaf refused without running it.
    Refused,
    /// The leaf failed or did not answer in time.
    Failed,
    /// This broker cancelled the request.
    Cancelled,
}

#[derive(Debug, Default)]
struct LeafView {
    in_flight: u32,
    smoothed_latency: f64,
    operator_draining: bool,
    marked_draining: bool,
}

/// Chooses replicas.
#[derive(Debug, Default)]
pub struct Router {
    leaves: BTreeMap<LeafId, LeafView>,
}

impl Router {
    /// Takes over the leaves of a catalog; observations of those that remain are kept.
    pub fn reconfigure(&mut self, catalog: &Catalog) {
        self.leaves.retain(|leaf, _| catalog.leaves().contains_key(leaf));
        for (id, leaf) in catalog.leaves() {
            let view = self.leaves.entry(*id).or_default();
            view.operator_draining = leaf.state == LeafState::Draining;
        }
    }

    /// Chooses one of `replicas` that is not in `tried`, or none when no replica takes work.
    pub fn choose(
        &mut self,
        replicas: &[LeafId],
        tried: &[LeafId],
        random: &mut dyn RngCore,
    ) -> Option<LeafId> {
        let usable: Vec<LeafId> = replicas
            .iter()
            .copied()
            .filter(|leaf| !tried.contains(leaf) && self.takes_new_work(*leaf))
            .collect();
        let first = pick(&usable, random)?;
        let second = pick(&usable, random)?;
        Some(self.less_loaded(first, second))
    }

    /// Whether new work may be sent to the leaf.
    pub fn takes_new_work(&self, leaf: LeafId) -> bool {
        self.leaves.get(&leaf).is_some_and(|view| !view.operator_draining && !view.marked_draining)
    }

    /// A request was sent to the leaf.
    pub fn sent(&mut self, leaf: LeafId) {
        if let Some(view) = self.leaves.get_mut(&leaf) {
            view.in_flight += 1;
        }
    }

    /// A request to the leaf ended.
    pub fn ended(&mut self, _now: Timestamp, leaf: LeafId, observation: Observation) {
        let Some(view) = self.leaves.get_mut(&leaf) else {
            return;
        };
        view.in_flight = view.in_flight.saturating_sub(1);
        if let Observation::Answered(latency) = observation {
            view.smoothed_latency +=
                LATENCY_SMOOTHING * (latency.as_secs_f64() - view.smoothed_latency);
        }
    }

    /// The leaf said on a reply that it is leaving, or that it is not.
    pub fn mark_draining(&mut self, leaf: LeafId, draining: bool) {
        if let Some(view) = self.leaves.get_mut(&leaf) {
            view.marked_draining = draining;
        }
    }

    fn less_loaded(&self, first: LeafId, second: LeafId) -> LeafId {
        let load = |leaf: LeafId| {
            let view = &self.leaves[&leaf];
            (view.in_flight, view.smoothed_latency)
        };
        if load(second) < load(first) { second } else { first }
    }
}

fn pick(leaves: &[LeafId], random: &mut dyn RngCore) -> Option<LeafId> {
    if leaves.is_empty() {
        return None;
    }
    let index = random.next_u64() % leaves.len() as u64;
    Some(leaves[index as usize])
}
