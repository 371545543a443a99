//! Bodies of messages, collected as they arrive.
//!
//! A long body is collected in a memory map of its own. Only the pages that bytes have arrived for
//! take memory, nothing is moved as the body grows, and all of it is given back to the system at its
//! end. In the heap, thousands of growing buffers leave gaps that other bodies cannot use.

use std::rc::Rc;

use bytes::Bytes;
use memmap2::MmapMut;

use crate::memory::{MemoryCharge, MemoryShare, MemoryShortage};

/// Length up to which a body is collected in the heap, in bytes.
const HEAP_BYTES: usize = 16 * 1024;
/// Smallest capacity of a body in the heap, in bytes.
const LEAST_CAPACITY: usize = 1024;
/// Size of a page of memory, in bytes.
const PAGE_BYTES: usize = 4 * 1024;

/// A body that arrives in pieces, charged for the memory that it takes.
pub struct CollectedBody {
    heap: Vec<u8>,
    /// Holds the body once it is longer than [`HEAP_BYTES`].
    map: Option<MmapMut>,
    length: usize,
    /// None if the body is not accounted for.
    charge: Option<MemoryCharge>,
    /// Maximum length, in bytes.
    limit: usize,
}

impl CollectedBody {
    /// Creates an empty body of at most `limit` bytes, charged to a connection if it is accounted
    /// for.
    pub fn new(share: Option<&Rc<MemoryShare>>, limit: usize) -> Self {
        let charge = share.map(MemoryCharge::none);
        Self { heap: Vec::new(), map: None, length: 0, charge, limit }
    }

    /// Number of bytes so far.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether no byte has arrived yet.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Adds a piece.
    ///
    /// # Errors
    /// [`MemoryShortage::NoRoom`], also if the body would exceed its limit; it is as before then.
    pub async fn push(&mut self, piece: &[u8]) -> Result<(), MemoryShortage> {
        let length = self.length + piece.len();
        if self.map.is_none() && length <= HEAP_BYTES {
            self.grow_heap(length).await?;
        } else {
            self.charge_to(length.next_multiple_of(PAGE_BYTES)).await?;
            self.move_to_map()?;
        }
        self.push_uncharged(piece)
    }

    /// Adds a piece for which there may be no room: it has been received, and is no longer than one
    /// read.
    ///
    /// # Errors
    /// [`MemoryShortage::NoRoom`] if the body would exceed its limit.
    pub fn push_uncharged(&mut self, piece: &[u8]) -> Result<(), MemoryShortage> {
        let length = self.length + piece.len();
        match &mut self.map {
            Some(map) => {
                let room = map.get_mut(self.length..length).ok_or(MemoryShortage::NoRoom)?;
                room.copy_from_slice(piece);
            }
            None => self.heap.extend_from_slice(piece),
        }
        self.length = length;
        Ok(())
    }

    async fn grow_heap(&mut self, length: usize) -> Result<(), MemoryShortage> {
        let before = self.heap.capacity();
        if length > before {
            let capacity = (2 * before).max(LEAST_CAPACITY).min(self.limit).max(length);
            // Both buffers exist while the bytes are moved.
            self.charge_to(before + capacity).await?;
            self.heap.reserve_exact(capacity - self.heap.len());
            self.charge.iter_mut().for_each(|charge| charge.lower_to(capacity));
        }
        Ok(())
    }

    fn move_to_map(&mut self) -> Result<(), MemoryShortage> {
        if self.map.is_none() {
            let mut map = MmapMut::map_anon(self.limit).map_err(|_| MemoryShortage::NoRoom)?;
            map.get_mut(..self.length).ok_or(MemoryShortage::NoRoom)?.copy_from_slice(&self.heap);
            self.heap = Vec::new();
            self.map = Some(map);
        }
        Ok(())
    }

    async fn charge_to(&mut self, bytes: usize) -> Result<(), MemoryShortage> {
        match &mut self.charge {
            Some(charge) => charge.raise_to(bytes).await,
            None => Ok(()),
        }
    }

    /// The whole body, and the charge that is to be kept as long as it.
    pub fn finish(self) -> (Bytes, Option<MemoryCharge>) {
        let bytes = match self.map {
            Some(map) => Bytes::from_owner(map).slice(..self.length),
            None => Bytes::from(self.heap),
        };
        (bytes, self.charge)
    }
}
