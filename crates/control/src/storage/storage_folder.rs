//! An open data folder: appends records, rolls segments and installs snapshots.

use std::collections::VecDeque;
use std::path::{Path, PathBuf};

use gingerkeel_domain::consensus::{
    HardState, LogIndex, MemberId, Recovered, SnapshotWrite, Write,
};

use super::error::StorageError;
use super::files::{NumberedFile, sync_folder, write_all};
use super::identity::{self, FolderOwner};
use super::io::{FolderLock, StorageFile, StorageIo};
use super::record::{LoggedWrite, Record};
use super::recovery::{PREFIX, Segment, read_log};
use super::snapshot_file;

const LOCK_FILE: &str = "lock";
/// Size in bytes from which a segment is closed and a new one is started.
const SEGMENT_BYTES: u64 = 4 * 1024 * 1024;

/// A data folder that this process holds locked.
pub struct Storage {
    folder: PathBuf,
    cluster: String,
    /// Held for as long as the folder is in use.
    _lock: FolderLock,
    io: Box<dyn StorageIo>,
    /// Segments that are complete, oldest first.
    closed: Vec<Segment>,
    open: Option<OpenSegment>,
    next_sequence: u64,
    hard_state: HardState,
    /// Whether the log on disk still holds entries that the snapshot replaced, which the next record
    /// must discard.
    reset_due: bool,
    /// Whether a write failed permanently.
    stopped: bool,
}

struct OpenSegment {
    segment: Segment,
    file: Box<dyn StorageFile>,
    /// Number of bytes that are synced.
    length: u64,
    /// Whether a partial write was truncated since the last sync.
    is_truncated: bool,
}

/// An opened folder with its recovered contents.
pub struct OpenedStorage {
    /// The folder, ready for writes.
    pub storage: Storage,
    /// The member that the folder belongs to.
    pub identity: MemberId,
    /// Hard state, snapshot and entries that were recovered.
    pub recovered: Recovered,
}

impl Storage {
    /// Locks a folder, checks its identity and recovers its contents; an empty folder is
    /// initialized for the owner. What was recovered is durable.
    ///
    /// # Errors
    /// A [`StorageError`] with the path and a remedy.
    pub fn open(
        folder: &Path,
        owner: &FolderOwner,
        mut io: Box<dyn StorageIo>,
    ) -> Result<OpenedStorage, StorageError> {
        io.create_folder(folder).map_err(|error| StorageError::unusable(folder, error))?;
        let lock = lock(io.as_mut(), folder)?;
        let identity = identity::read_or_create(io.as_mut(), folder, owner)?;
        let snapshot = snapshot_file::read_latest(io.as_mut(), folder)?;
        let mut log = read_log(io.as_mut(), folder)?;
        let recovered = log.combine(folder, snapshot)?;
        // An earlier process may have been killed before it synced the names that were read.
        sync_folder(io.as_mut(), folder)?;
        let storage = Self {
            folder: folder.to_owned(),
            cluster: owner.cluster.clone(),
            _lock: lock,
            io,
            closed: log.segments,
            open: None,
            next_sequence: log.next_sequence,
            hard_state: log.hard_state,
            reset_due: log.has_replaced_entries,
            stopped: false,
        };
        Ok(OpenedStorage { storage, identity, recovered })
    }

    /// Replaces the identity of the folder, which must hold no log: votes and entries belong to the
    /// identity under which they were written.
    ///
    /// # Errors
    /// A [`StorageError`]; the folder then keeps one of the two identities.
    pub fn replace_identity(&mut self, member: MemberId) -> Result<(), StorageError> {
        identity::replace(self.io.as_mut(), &self.folder, &self.cluster, member)
    }

    /// Persists writes in order and takes those that are durable off the queue; after `Ok` it is
    /// empty.
    ///
    /// # Errors
    /// [`StorageError::Full`] if the writes left in the queue may be retried. After any other error
    /// nothing is written until the process restarts.
    pub fn persist(&mut self, writes: &mut VecDeque<Write>) -> Result<(), StorageError> {
        if self.stopped {
            return Err(StorageError::Stopped(self.folder.clone()));
        }
        let outcome = self.persist_in_order(writes);
        if outcome.as_ref().is_err_and(|error| !error.is_temporary()) {
            self.stopped = true;
        }
        outcome
    }

    /// Each step takes a snapshot and all writes up to the next one, which go into one record.
    fn persist_in_order(&mut self, writes: &mut VecDeque<Write>) -> Result<(), StorageError> {
        while let Some(first) = writes.front() {
            if let Some(snapshot) = &first.snapshot {
                self.write_snapshot(snapshot)?;
            }
            let following = writes.iter().skip(1);
            let count = 1 + following.take_while(|write| write.snapshot.is_none()).count();
            self.append(writes.iter().take(count).map(LoggedWrite::of).collect())?;
            writes.drain(..count);
        }
        Ok(())
    }

    fn write_snapshot(&mut self, write: &SnapshotWrite) -> Result<(), StorageError> {
        snapshot_file::write(self.io.as_mut(), &self.folder, &write.snapshot)?;
        if write.replaces_log {
            self.append(vec![LoggedWrite { resets_log: true, ..LoggedWrite::default() }])?;
        }
        self.remove_covered_segments(write.snapshot.metadata.position.index)
    }

    /// Removes the oldest segments that a snapshot covers, except the open one.
    fn remove_covered_segments(&mut self, index: LogIndex) -> Result<(), StorageError> {
        self.close_segment()?;
        // Older segments may go only once a later one repeats the hard state.
        self.append(vec![LoggedWrite::default()])?;
        let covered = self.closed.iter().take_while(|segment| segment.last_index <= index).count();
        for segment in self.closed.drain(..covered) {
            let path = segment.file.path;
            self.io.remove(&path).map_err(|error| StorageError::unusable(&path, error))?;
            // Removals that are synced together may survive a loss of power in any order, which
            // would leave a gap between segments.
            sync_folder(self.io.as_mut(), &self.folder)?;
        }
        Ok(())
    }

    /// Appends one record and syncs it.
    fn append(&mut self, mut writes: Vec<LoggedWrite>) -> Result<(), StorageError> {
        if writes.is_empty() {
            return Ok(());
        }
        let hard_state = writes.iter().rev().find_map(|write| write.hard_state);
        let hard_state = hard_state.unwrap_or(self.hard_state);
        self.open_segment()?;
        let Some(open) = &mut self.open else {
            return Err(StorageError::Stopped(self.folder.clone()));
        };
        if let Some(first) = writes.first_mut() {
            first.resets_log |= self.reset_due;
            if open.length == 0 {
                // Each segment repeats the hard state, so that older ones can be removed.
                first.hard_state = first.hard_state.or(Some(self.hard_state));
            }
        }
        let path = &open.segment.file.path;
        let last = writes.iter().filter_map(|write| write.entries.last()).next_back();
        let last_index = last.map_or(LogIndex(0), |entry| entry.index);
        let record = Record { sequence: self.next_sequence, writes };
        let Some(bytes) = record.encode() else {
            return Err(StorageError::Stopped(path.clone()));
        };
        if let Err(error) = write_all(open.file.as_mut(), &bytes) {
            let error = StorageError::unusable(path, error);
            // A partial write must not precede the next attempt.
            open.is_truncated = true;
            return match open.file.set_len(open.length) {
                Ok(()) => Err(error),
                Err(cause) => Err(StorageError::Io(path.clone(), cause)),
            };
        }
        open.file.sync().map_err(|error| StorageError::SyncFailed(path.clone(), error))?;
        open.is_truncated = false;
        open.length += bytes.len() as u64;
        open.segment.last_index = open.segment.last_index.max(last_index);
        self.next_sequence += 1;
        self.hard_state = hard_state;
        self.reset_due = false;
        if open.length >= SEGMENT_BYTES {
            self.close_segment()?;
        }
        Ok(())
    }

    fn open_segment(&mut self) -> Result<(), StorageError> {
        if self.open.is_some() {
            return Ok(());
        }
        let file = NumberedFile::new(&self.folder, PREFIX, self.next_sequence);
        let unusable = |error| StorageError::unusable(&file.path, error);
        // An existing file of this name holds no synced record.
        let handle = self.io.create(&file.path).map_err(unusable)?;
        sync_folder(self.io.as_mut(), &self.folder)?;
        self.closed.retain(|segment| segment.file != file);
        let segment = Segment { file, last_index: LogIndex(0) };
        self.open = Some(OpenSegment { segment, file: handle, length: 0, is_truncated: false });
        Ok(())
    }

    /// Closes the open segment unless it is empty.
    fn close_segment(&mut self) -> Result<(), StorageError> {
        let Some(mut open) = self.open.take_if(|open| open.length > 0) else {
            return Ok(());
        };
        if open.is_truncated {
            // Only the last segment may end with an incomplete record after a loss of power.
            let path = &open.segment.file.path;
            open.file.sync().map_err(|error| StorageError::SyncFailed(path.clone(), error))?;
        }
        self.closed.push(open.segment);
        Ok(())
    }
}

fn lock(io: &mut dyn StorageIo, folder: &Path) -> Result<FolderLock, StorageError> {
    let path = folder.join(LOCK_FILE);
    let lock = io.lock(&path).map_err(|error| StorageError::unusable(&path, error))?;
    lock.ok_or_else(|| StorageError::InUse(folder.to_owned()))
}
