//! The data folder of a control process: the replicated log, hard state and snapshots.
//!
//! | file | holds |
//! |---|---|
//! | `lock` | nothing; locked exclusively while a process uses the folder |
//! | `identity` | format version, cluster and member; replaced only while there is no log |
//! | `log-N` | records from number N on, appended and synced |
//! | `snapshot-N` | the state after entry N; replaced atomically |
//!
//! A record is a batch that was synced as a whole, so a crash can tear only the last record. A
//! corrupted record followed by a valid one had been synced; the folder is refused rather than the
//! record skipped.

mod error;
mod files;
mod identity;
mod io;
mod record;
mod recovery;
mod snapshot_file;
mod storage_folder;
mod writer;

pub use error::StorageError;
pub use identity::{FORMAT_VERSION, FolderOwner};
pub use io::{DiskIo, FolderLock, StorageFile, StorageIo};
pub use storage_folder::{OpenedStorage, Storage};
pub use writer::{Writer, WriterEvent, WriterMessage};
