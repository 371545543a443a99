//! A copy-on-write map of leaves, divided into blocks.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Index;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::Leaf;
use crate::identifiers::LeafId;

/// Low bits of a leaf number that select the entry within a block: a change copies at most 128
/// pointers.
const BLOCK_BITS: u32 = 7;

/// Leaves whose numbers have the same high bits.
type Block = BTreeMap<LeafId, Arc<Leaf>>;

/// Leaves by number. A clone copies one pointer per block; serialized as a plain map.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "BTreeMap<LeafId, Arc<Leaf>>", into = "BTreeMap<LeafId, Arc<Leaf>>")]
pub struct LeafMap {
    /// Blocks by the high bits of their leaf numbers; none is empty.
    blocks: BTreeMap<u32, Arc<Block>>,
}

impl LeafMap {
    /// The leaf with this number.
    pub fn get(&self, id: &LeafId) -> Option<&Arc<Leaf>> {
        self.blocks.get(&block_of(*id))?.get(id)
    }

    /// Whether the map has a leaf with this number.
    pub fn contains_key(&self, id: &LeafId) -> bool {
        self.get(id).is_some()
    }

    /// All leaves with their numbers, in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = (&LeafId, &Arc<Leaf>)> {
        self.blocks.values().flat_map(|block| block.iter())
    }

    /// All leaf numbers, in ascending order.
    pub fn keys(&self) -> impl Iterator<Item = &LeafId> {
        self.iter().map(|(id, _)| id)
    }

    /// All leaves, in ascending order of their numbers.
    pub fn values(&self) -> impl Iterator<Item = &Arc<Leaf>> {
        self.iter().map(|(_, leaf)| leaf)
    }

    /// Number of leaves, summed over all blocks.
    pub fn len(&self) -> usize {
        self.blocks.values().map(|block| block.len()).sum()
    }

    /// Whether the map has no leaves.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    /// Leaf numbers of both maps in blocks that this map does not share with `former`: a superset
    /// of the leaves that differ.
    pub fn unshared_with(&self, former: &Self) -> BTreeSet<LeafId> {
        let numbers: BTreeSet<&u32> = self.blocks.keys().chain(former.blocks.keys()).collect();
        let mut unshared = BTreeSet::new();
        for number in numbers {
            let (newer, older) = (self.blocks.get(number), former.blocks.get(number));
            let shared = newer.zip(older).is_some_and(|(newer, older)| Arc::ptr_eq(newer, older));
            if !shared {
                let both = newer.into_iter().chain(older);
                unshared.extend(both.flat_map(|block| block.keys().copied()));
            }
        }
        unshared
    }

    pub(super) fn insert(&mut self, leaf: Leaf) {
        let block = self.blocks.entry(block_of(leaf.id)).or_default();
        Arc::make_mut(block).insert(leaf.id, Arc::new(leaf));
    }

    pub(super) fn get_mut(&mut self, id: &LeafId) -> Option<&mut Leaf> {
        let block = self.blocks.get_mut(&block_of(*id)).filter(|block| block.contains_key(id))?;
        Arc::make_mut(block).get_mut(id).map(Arc::make_mut)
    }

    pub(super) fn remove(&mut self, id: &LeafId) {
        let number = block_of(*id);
        let Some(block) = self.blocks.get_mut(&number) else {
            return;
        };
        Arc::make_mut(block).remove(id);
        if block.is_empty() {
            self.blocks.remove(&number);
        }
    }
}

impl Index<&LeafId> for LeafMap {
    type Output = Arc<Leaf>;

    /// # Panics
    /// If the map has no leaf with this number.
    fn index(&self, id: &LeafId) -> &Arc<Leaf> {
        self.get(id).expect("the catalog has the leaf")
    }
}

impl From<BTreeMap<LeafId, Arc<Leaf>>> for LeafMap {
    fn from(leaves: BTreeMap<LeafId, Arc<Leaf>>) -> Self {
        let mut blocks: BTreeMap<u32, Block> = BTreeMap::new();
        for (id, leaf) in leaves {
            blocks.entry(block_of(id)).or_default().insert(id, leaf);
        }
        let shared = blocks.into_iter().map(|(number, block)| (number, Arc::new(block)));
        Self { blocks: shared.collect() }
    }
}

impl From<LeafMap> for BTreeMap<LeafId, Arc<Leaf>> {
    fn from(leaves: LeafMap) -> Self {
        leaves.iter().map(|(id, leaf)| (*id, leaf.clone())).collect()
    }
}

fn block_of(id: LeafId) -> u32 {
    id.0 >> BLOCK_BITS
}
