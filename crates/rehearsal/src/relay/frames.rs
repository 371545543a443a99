//! Bytes of frames by their kind, counted as the frames pass.

use std::sync::atomic::{AtomicU64, Ordering};

/// Bytes of the length before each body.
const LENGTH_BYTES: usize = 4;
/// Kinds that are told apart; a kind beyond them counts as the last.
const KINDS: usize = 16;

/// Bytes of each kind of frame; a kind is the first byte of the body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BytesByKind {
    bytes: [u64; KINDS],
}

impl BytesByKind {
    /// Bytes of one kind, lengths included.
    pub fn of(&self, kind: u8) -> u64 {
        self.bytes[slot(kind)]
    }
}

/// Counts that several connections add to.
#[derive(Debug, Default)]
pub struct KindCounters {
    bytes: [AtomicU64; KINDS],
}

impl KindCounters {
    /// What was counted so far.
    pub fn read(&self) -> BytesByKind {
        BytesByKind { bytes: self.bytes.each_ref().map(|count| count.load(Ordering::Relaxed)) }
    }

    fn add(&self, kind: u8, count: usize) {
        self.bytes[slot(kind)].fetch_add(count as u64, Ordering::Relaxed);
    }
}

fn slot(kind: u8) -> usize {
    usize::from(kind).min(KINDS - 1)
}

/// Follows the frames of one direction of a connection, in whatever pieces they come.
#[derive(Debug, Default)]
pub struct FrameFollower {
    length: [u8; LENGTH_BYTES],
    length_seen: usize,
    kind: u8,
    body_left: usize,
    at_kind: bool,
}

impl FrameFollower {
    /// Counts the next bytes.
    pub fn follow(&mut self, mut bytes: &[u8], counters: &KindCounters) {
        while let Some((first, rest)) = bytes.split_first() {
            if self.at_kind {
                self.kind = *first;
                self.at_kind = false;
                counters.add(self.kind, LENGTH_BYTES);
            }
            if self.body_left > 0 {
                let taken = self.body_left.min(bytes.len());
                counters.add(self.kind, taken);
                self.body_left -= taken;
                bytes = &bytes[taken..];
            } else {
                self.take_length(*first);
                bytes = rest;
            }
        }
    }

    fn take_length(&mut self, byte: u8) {
        self.length[self.length_seen] = byte;
        self.length_seen += 1;
        if self.length_seen == LENGTH_BYTES {
            self.length_seen = 0;
            self.body_left = u32::from_be_bytes(self.length) as usize;
            self.at_kind = self.body_left > 0;
        }
    }
}
