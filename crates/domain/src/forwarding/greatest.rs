//! Merging of parts: keeps the greatest records of all of them.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Size of a record in bytes.
pub const RECORD_BYTES: usize = 16;

type Record = [u8; RECORD_BYTES];

/// The greatest records of the parts added so far, in byte order; equal records each count.
#[derive(Debug)]
pub struct GreatestRecords {
    limit: usize,
    /// Min-heap of the records kept.
    kept: BinaryHeap<Reverse<Record>>,
}

impl GreatestRecords {
    /// Creates a merger that keeps at most `limit` records.
    pub fn new(limit: usize) -> Self {
        Self { limit, kept: BinaryHeap::new() }
    }

    /// Adds the records of a part; trailing bytes that do not fill a record are ignored.
    pub fn add(&mut self, part: &[u8]) {
        for record in part.chunks_exact(RECORD_BYTES) {
            if let Ok(record) = Record::try_from(record) {
                self.add_record(record);
            }
        }
    }

    fn add_record(&mut self, record: Record) {
        if self.kept.len() < self.limit {
            self.kept.push(Reverse(record));
            return;
        }
        if self.kept.peek().is_some_and(|least| least.0 < record) {
            self.kept.pop();
            self.kept.push(Reverse(record));
        }
    }

    /// Returns the records in descending order.
    pub fn into_bytes(self) -> Vec<u8> {
        // Reversed records sort in descending order.
        let sorted = self.kept.into_sorted_vec();
        sorted.into_iter().flat_map(|record| record.0).collect()
    }
}
