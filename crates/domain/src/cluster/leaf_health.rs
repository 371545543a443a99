//! Leaf health as polled by control processes. This is a hint: brokers decide by the outcomes of
//! their own requests.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::catalog::{Catalog, Change};
use crate::identifiers::{ControlName, LeafId};

/// Health of a leaf as of its last poll.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeafHealth {
    /// The leaf accepts requests.
    #[default]
    Serving,
    /// The leaf is draining.
    Leaving,
    /// The leaf reports that it cannot serve requests.
    Unhealthy,
    /// The leaf did not answer the poll.
    Unreachable,
}

/// A health change of one leaf.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeafHealthChange {
    /// Id of the leaf.
    pub leaf: LeafId,
    /// New health.
    pub health: LeafHealth,
}

/// Leaves that are not [`LeafHealth::Serving`], with the control process that reported each.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeafHints {
    hints: BTreeMap<LeafId, (LeafHealth, ControlName)>,
    version: u64,
}

impl LeafHints {
    /// Version that increases with each change, by which feeds detect changes.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Last reported health of a leaf; [`LeafHealth::Serving`] when none is recorded.
    pub fn health(&self, leaf: LeafId) -> LeafHealth {
        self.hints.get(&leaf).map_or(LeafHealth::Serving, |(health, _)| *health)
    }

    /// Leaves that report to be draining.
    pub fn leaving(&self) -> Vec<LeafId> {
        let leaving = |health: LeafHealth| health == LeafHealth::Leaving;
        let hints = self.hints.iter().filter(|(_, (health, _))| leaving(*health));
        hints.map(|(leaf, _)| *leaf).collect()
    }

    pub(super) fn report(
        &mut self,
        control: &ControlName,
        changes: &[LeafHealthChange],
        catalog: &Catalog,
    ) {
        let known = changes.iter().filter(|change| catalog.leaves().contains_key(&change.leaf));
        for change in known {
            match change.health {
                LeafHealth::Serving => self.hints.remove(&change.leaf),
                other => self.hints.insert(change.leaf, (other, control.clone())),
            };
            self.version += 1;
        }
    }

    pub(super) fn forget_removed(&mut self, change: &Change) {
        if let Change::RemoveLeaf(leaf) = change
            && self.hints.remove(leaf).is_some()
        {
            self.version += 1;
        }
    }
}
