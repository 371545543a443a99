//! Recovery of the log from its segments.

use std::path::Path;

use gingerkeel_domain::consensus::{Entry, HardState, LogIndex, Recovered, Snapshot};
use tracing::warn;

use super::error::StorageError;
use super::files::{NumberedFile, numbered_files, rename_into_place};
use super::io::StorageIo;
use super::record::{Decoded, LoggedWrite, Record};

pub(super) const PREFIX: &str = "log-";

/// A segment file of the log.
#[derive(Debug, Clone)]
pub(super) struct Segment {
    pub file: NumberedFile,
    /// Index of the last entry in the segment; 0 if it has none.
    pub last_index: LogIndex,
}

/// The log as read from its segments.
#[derive(Debug, Default)]
pub(super) struct RecoveredLog {
    pub segments: Vec<Segment>,
    /// Sequence number of the next record.
    pub next_sequence: u64,
    pub hard_state: HardState,
    /// Whether the segments hold entries that the snapshot replaced.
    pub has_replaced_entries: bool,
    entries: Vec<Entry>,
    commit: LogIndex,
}

/// Reads all segments, truncates a torn tail and syncs what is left; the folder's names are still to
/// be synced.
///
/// A process may have been killed between a write and its sync; the write is read back all the same,
/// and a loss of power would still revert it.
pub(super) fn read_log(
    io: &mut dyn StorageIo,
    folder: &Path,
) -> Result<RecoveredLog, StorageError> {
    let files = numbered_files(io, folder, PREFIX)?;
    let mut log = RecoveredLog::default();
    let count = files.len();
    for (position, file) in files.into_iter().enumerate() {
        if position == 0 {
            log.next_sequence = file.number;
        }
        if file.number != log.next_sequence {
            return Err(StorageError::Corrupted(file.path, 0, "the preceding segment is missing"));
        }
        log.read_segment(io, file, position + 1 == count)?;
    }
    Ok(log)
}

impl RecoveredLog {
    fn read_segment(
        &mut self,
        io: &mut dyn StorageIo,
        file: NumberedFile,
        is_last: bool,
    ) -> Result<(), StorageError> {
        let bytes =
            io.read(&file.path).map_err(|error| StorageError::unusable(&file.path, error))?;
        let mut segment = Segment { file, last_index: LogIndex(0) };
        let mut offset = 0;
        while offset < bytes.len() {
            let Decoded::Record(record, length) = Record::decode(&bytes[offset..]) else {
                check_torn_tail(&segment.file.path, &bytes, offset, is_last)?;
                break;
            };
            if record.sequence != self.next_sequence {
                let path = segment.file.path;
                return Err(StorageError::Corrupted(path, offset as u64, "a record is missing"));
            }
            self.next_sequence += 1;
            for write in record.writes {
                let last = write.entries.last().map(|entry| entry.index);
                segment.last_index = segment.last_index.max(last.unwrap_or_default());
                self.replay(write);
            }
            offset += length;
        }
        let path = &segment.file.path;
        if offset < bytes.len() {
            let removed = bytes.len() - offset;
            warn!(event = "torn_tail_cut", file = %path.display(), offset, bytes = removed);
        }
        if is_last {
            rewrite(io, path, &bytes[..offset])?;
        } else {
            sync(io, path)?;
        }
        self.segments.push(segment);
        Ok(())
    }

    fn replay(&mut self, write: LoggedWrite) {
        if write.resets_log {
            self.entries.clear();
        }
        if let Some(hard_state) = write.hard_state {
            self.hard_state = hard_state;
        }
        self.commit = self.commit.max(write.commit);
        if let Some(first) = write.entries.first() {
            let kept = self.entries.partition_point(|entry| entry.index < first.index);
            self.entries.truncate(kept);
        }
        self.entries.extend(write.entries);
    }

    /// Combines the log with the latest snapshot.
    ///
    /// # Errors
    /// [`StorageError::Corrupted`] if entries are missing after the snapshot.
    pub fn combine(
        &mut self,
        folder: &Path,
        snapshot: Option<Snapshot>,
    ) -> Result<Recovered, StorageError> {
        let mut entries = std::mem::take(&mut self.entries);
        let position = snapshot.as_ref().map(|snapshot| snapshot.metadata.position);
        let position = position.unwrap_or_default();
        let covered = entries.iter().find(|entry| entry.index == position.index);
        let conflicting = covered.is_some_and(|entry| entry.term != position.term);
        let ends_before = entries.last().is_some_and(|last| last.index < position.index);
        if conflicting || ends_before {
            // The process stopped after it installed a snapshot and before it discarded the old
            // log.
            self.has_replaced_entries = !entries.is_empty();
            entries.clear();
        }
        entries.retain(|entry| entry.index > position.index);
        let indexes = (position.index.0 + 1..).map(LogIndex);
        if !entries.iter().zip(indexes).all(|(entry, index)| entry.index == index) {
            return Err(StorageError::Corrupted(folder.to_owned(), 0, "entries are missing"));
        }
        Ok(Recovered { hard_state: self.hard_state, snapshot, entries, commit: self.commit })
    }
}

/// Refuses bytes without a valid record unless they are an incomplete write at the end of the last
/// segment.
fn check_torn_tail(
    path: &Path,
    bytes: &[u8],
    offset: usize,
    is_last: bool,
) -> Result<(), StorageError> {
    // A valid record after the corruption was synced later, so the corrupted one had been synced
    // too.
    if !is_last || Record::occurs_in(&bytes[offset + 1..]) {
        let reason = "a synced record is incomplete or corrupted";
        return Err(StorageError::Corrupted(path.to_owned(), offset as u64, reason));
    }
    Ok(())
}

/// Writes the last segment anew with its valid records, so that they are durable.
///
/// A sync would not be enough: after a failed one the operating system may still return bytes that
/// the disk lacks, and may report later syncs as successful. Only the last segment can hold such
/// bytes, since nothing is written after a failed sync.
fn rewrite(io: &mut dyn StorageIo, path: &Path, records: &[u8]) -> Result<(), StorageError> {
    let folder = path.parent().unwrap_or(Path::new("."));
    match rename_into_place(io, folder, path, records) {
        // A start must not need free space; what was written before has its space already.
        Err(error) if error.is_temporary() => truncate(io, path, records.len()),
        outcome => outcome,
    }
}

fn truncate(io: &mut dyn StorageIo, path: &Path, length: usize) -> Result<(), StorageError> {
    let unusable = |error| StorageError::unusable(path, error);
    let mut file = io.open(path).map_err(unusable)?;
    file.set_len(length as u64).map_err(unusable)?;
    file.sync().map_err(|error| StorageError::SyncFailed(path.to_owned(), error))
}

fn sync(io: &mut dyn StorageIo, path: &Path) -> Result<(), StorageError> {
    let mut file = io.open(path).map_err(|error| StorageError::unusable(path, error))?;
    file.sync().map_err(|error| StorageError::SyncFailed(path.to_owned(), error))
}
