//! What control processes saw of leaves: a hint for brokers, who decide by their own outcomes.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::catalog::{Catalog, Change};
use crate::identifiers::{ControlName, LeafId};

/// What a leaf said of itself when it was polled last.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeafHealth {
    /// It takes work.
    #[default]
    Serving,
    /// It is leaving.
    Leaving,
    /// It cannot take work.
    Unhealthy,
    /// It did not answer.
    Unreachable,
}

/// A leaf whose health changed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeafHealthChange {
    /// The leaf.
    pub leaf: LeafId,
    /// What it says now.
    pub health: LeafHealth,
}

/// Leaves that are not [`LeafHealth::Serving`], and who saw it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeafHints {
    hints: BTreeMap<LeafId, (LeafHealth, ControlName)>,
    version: u64,
}

impl LeafHints {
    /// Grows with each change, so that feeds see that there is one.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// What a leaf said last; serving when nothing else is known.
    pub fn health(&self, leaf: LeafId) -> LeafHealth {
        self.hints.get(&leaf).map_or(LeafHealth::Serving, |(health, _)| *health)
    }

    /// Leaves that say that they are leaving.
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
