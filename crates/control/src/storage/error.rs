//! Errors of the data folder.

use std::io;
use std::path::PathBuf;

use quick_error::quick_error;

quick_error! {
    /// The data folder cannot be used, or a write did not reach the disk.
    #[derive(Debug)]
    pub enum StorageError {
        /// A file or the folder cannot be read or written.
        Io(path: PathBuf, error: io::Error) {
            source(error)
            display("{}: {error}: check that the folder exists, belongs to this user and is on a healthy disk", path.display())
        }
        /// Another process uses the folder.
        InUse(path: PathBuf) {
            display("{}: another process uses this data folder: stop it, or name another data_folder", path.display())
        }
        /// The folder belongs to another cluster.
        ClusterMismatch(path: PathBuf, found: String, expected: String) {
            display("{}: the data folder is of cluster {found}, not {expected}: name the right data_folder, or the right cluster in the settings", path.display())
        }
        /// The folder belongs to another machine.
        NodeMismatch(path: PathBuf, found: u32, expected: u32) {
            display("{}: the data folder is of node {found}, not {expected}: never copy a data folder; name the right data_folder, or the right node in the settings", path.display())
        }
        /// The folder was written by a release with another format.
        UnsupportedFormat(path: PathBuf, found: u16, expected: u16) {
            display("{}: the data folder has format {found}, this release reads {expected}: start the release that wrote it", path.display())
        }
        /// A synced file is incomplete or fails its checksum.
        Corrupted(path: PathBuf, offset: u64, reason: &'static str) {
            display("{}: damaged at byte {offset} ({reason}): move the data folder away and start with an empty one, so that the machine rejoins as a new member", path.display())
        }
        /// The disk is full; nothing of the failed batch is kept, earlier batches are.
        Full(path: PathBuf) {
            display("{}: the disk is full: free some space; changes are accepted again by themselves", path.display())
        }
        /// A sync failed, so the contents of the disk are unknown.
        SyncFailed(path: PathBuf, error: io::Error) {
            source(error)
            display("{}: a sync failed ({error}): check the disk, then start the process again", path.display())
        }
        /// An earlier write failed permanently; nothing more is written.
        Stopped(path: PathBuf) {
            display("{}: an earlier write failed: check the disk, then start the process again", path.display())
        }
    }
}

impl StorageError {
    /// Converts an I/O error at `path`: a full disk or an exhausted disk quota becomes
    /// [`StorageError::Full`].
    pub(super) fn unusable(path: &std::path::Path, error: io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded => {
                Self::Full(path.to_owned())
            }
            _ => Self::Io(path.to_owned(), error),
        }
    }

    /// Whether a retry of the same write may succeed.
    pub fn is_temporary(&self) -> bool {
        matches!(self, Self::Full(_))
    }
}
