//! The in-memory log: the entries after a base position that a snapshot covers.

use std::collections::VecDeque;

use super::types::{Entry, LogIndex, LogPosition, Term};

/// Estimated bytes of an entry besides its command.
const ENTRY_OVERHEAD: usize = 32;

/// The in-memory log and how much of it is persisted.
#[derive(Debug, Clone)]
pub(super) struct Log {
    /// Position of the entry before the first one kept.
    base: LogPosition,
    entries: VecDeque<Entry>,
    /// Last entry passed to the driver to be persisted.
    issued: LogIndex,
    /// Last entry known to be on disk.
    persisted: LogIndex,
}

impl Log {
    /// Creates a log whose entries are all on disk.
    pub fn new(base: LogPosition, entries: Vec<Entry>) -> Self {
        let mut log =
            Self { base, entries: entries.into(), issued: base.index, persisted: base.index };
        log.issued = log.last().index;
        log.persisted = log.last().index;
        log
    }

    pub fn base(&self) -> LogPosition {
        self.base
    }

    pub fn persisted(&self) -> LogIndex {
        self.persisted
    }

    pub fn last(&self) -> LogPosition {
        self.entries.back().map_or(self.base, Entry::position)
    }

    pub fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.entry(index).map(|entry| entry.term)
    }

    pub fn entry(&self, index: LogIndex) -> Option<&Entry> {
        let offset = index.0.checked_sub(self.base.index.0 + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Appends the entry that follows the last one.
    pub fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last().index.next());
        self.entries.push_back(entry);
    }

    /// Index of the first of `entries` that is missing here or has another term.
    pub fn first_conflict(&self, entries: &[Entry]) -> Option<LogIndex> {
        entries
            .iter()
            .find(|entry| self.term_at(entry.index) != Some(entry.term))
            .map(|entry| entry.index)
    }

    /// Removes the entries from `index` on.
    pub fn truncate_from(&mut self, index: LogIndex) {
        let kept = index.0.saturating_sub(self.base.index.0 + 1);
        self.entries.truncate(usize::try_from(kept).unwrap_or(usize::MAX));
        self.issued = self.issued.min(index.previous());
        self.persisted = self.persisted.min(index.previous());
    }

    /// Entries from `first` on up to `bytes`, but at least one if any exists.
    pub fn slice(&self, first: LogIndex, bytes: usize) -> Vec<Entry> {
        let mut left = bytes;
        let mut slice = Vec::new();
        let mut index = first;
        while let Some(entry) = self.entry(index) {
            let size = entry.size() + ENTRY_OVERHEAD;
            if !slice.is_empty() && size > left {
                break;
            }
            left = left.saturating_sub(size);
            slice.push(entry.clone());
            index = index.next();
        }
        slice
    }

    /// Entries after `after`, up to and including `last`.
    pub fn between(&self, after: LogIndex, last: LogIndex) -> Vec<Entry> {
        let indexes = after.0 + 1..=last.0;
        indexes.filter_map(|index| self.entry(LogIndex(index)).cloned()).collect()
    }

    /// Takes the entries not yet passed to the driver to be persisted.
    pub fn take_unissued(&mut self) -> Vec<Entry> {
        let last = self.last().index;
        let entries = self.between(self.issued, last);
        self.issued = last;
        entries
    }

    pub fn has_unissued(&self) -> bool {
        self.issued < self.last().index
    }

    /// Marks the log as persisted up to `position`, unless that entry was replaced since.
    pub fn mark_persisted(&mut self, position: LogPosition) {
        if self.term_at(position.index) == Some(position.term) {
            self.persisted = self.persisted.max(position.index);
        }
    }

    /// The lowest index after which at most `count` entries of at most `bytes` are left up to and
    /// including `index`.
    pub fn base_before(&self, index: LogIndex, count: u64, bytes: usize) -> LogIndex {
        let mut base = index;
        let mut left = bytes;
        while index.0 - base.0 < count
            && let Some(entry) = self.entry(base)
            && let Some(rest) = left.checked_sub(entry.size() + ENTRY_OVERHEAD)
        {
            left = rest;
            base = base.previous();
        }
        base
    }

    /// Drops the entries up to and including `index`.
    pub fn compact(&mut self, index: LogIndex) {
        while self.entries.front().is_some_and(|first| first.index <= index) {
            if let Some(first) = self.entries.pop_front() {
                self.base = first.position();
            }
        }
    }

    /// Replaces the log by an empty one after a snapshot at `base`.
    pub fn reset(&mut self, base: LogPosition) {
        *self = Self::new(base, Vec::new());
    }
}
