//! File operations of a data folder behind traits, so that tests can make them fail and can lose
//! what was not synced.

use std::fs::{self, DirBuilder, File, OpenOptions, Permissions};
use std::io::{self, Write};
use std::os::unix::fs::{DirBuilderExt, OpenOptionsExt, PermissionsExt};
use std::path::{Path, PathBuf};

use rustix::fs::{FlockOperation, flock};
use rustix::io::Errno;
use tracing::warn;

/// Mode of a data folder: its owner alone has access.
const FOLDER_MODE: u32 = 0o700;
/// Mode of the files in a data folder.
const FILE_MODE: u32 = 0o600;
/// Permission bits of a mode.
const PERMISSION_BITS: u32 = 0o777;

/// Holds a folder locked until it is dropped.
pub type FolderLock = Box<dyn Send>;

/// Operations that the storage needs from a file system.
pub trait StorageIo: Send {
    /// Creates the folder if it is missing and restricts it and its files to their owner, since the
    /// route configuration contains callers' keys. Folders that earlier releases created are
    /// readable by others. The name of a created folder is durable.
    ///
    /// # Errors
    /// As [`DirBuilder::create`], [`fs::read_dir`] and [`File::sync_all`].
    fn create_folder(&mut self, folder: &Path) -> io::Result<()>;

    /// Locks a folder by its lock file; none if another process holds the lock.
    ///
    /// # Errors
    /// As [`OpenOptions::open`] and `flock(2)`.
    fn lock(&mut self, path: &Path) -> io::Result<Option<FolderLock>>;

    /// Paths of the folder's files, in no particular order.
    ///
    /// # Errors
    /// As [`fs::read_dir`].
    fn files(&mut self, folder: &Path) -> io::Result<Vec<PathBuf>>;

    /// Reads a whole file.
    ///
    /// # Errors
    /// As [`fs::read`].
    fn read(&mut self, path: &Path) -> io::Result<Vec<u8>>;

    /// Opens an existing file; writes are appended.
    ///
    /// # Errors
    /// As [`OpenOptions::open`].
    fn open(&mut self, path: &Path) -> io::Result<Box<dyn StorageFile>>;

    /// Creates a file, or truncates an existing one; writes are appended.
    ///
    /// # Errors
    /// As [`OpenOptions::open`].
    fn create(&mut self, path: &Path) -> io::Result<Box<dyn StorageFile>>;

    /// Renames a file, replacing any file of the new name.
    ///
    /// # Errors
    /// As [`fs::rename`].
    fn rename(&mut self, from: &Path, to: &Path) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    /// As [`fs::remove_file`].
    fn remove(&mut self, path: &Path) -> io::Result<()>;

    /// Makes created, renamed and removed names of a folder durable.
    ///
    /// # Errors
    /// As [`File::sync_all`].
    fn sync_folder(&mut self, folder: &Path) -> io::Result<()>;
}

/// An open file of a data folder.
pub trait StorageFile: Send {
    /// Appends some of the bytes and returns their number.
    ///
    /// # Errors
    /// As [`Write::write`].
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize>;

    /// Changes the file's length.
    ///
    /// # Errors
    /// As [`File::set_len`].
    fn set_len(&mut self, length: u64) -> io::Result<()>;

    /// Makes the file's bytes and length durable.
    ///
    /// # Errors
    /// As [`File::sync_data`].
    fn sync(&mut self) -> io::Result<()>;
}

/// The operating system's file system.
#[derive(Debug, Clone, Copy, Default)]
pub struct DiskIo;

impl StorageIo for DiskIo {
    fn create_folder(&mut self, folder: &Path) -> io::Result<()> {
        let missing: Vec<&Path> = folder.ancestors().take_while(|path| !path.exists()).collect();
        DirBuilder::new().recursive(true).mode(FOLDER_MODE).create(folder)?;
        for created in missing {
            self.sync_folder(parent(created))?;
        }
        restrict_mode(folder, FOLDER_MODE);
        for path in self.files(folder)? {
            if path.is_file() {
                restrict_mode(&path, FILE_MODE);
            }
        }
        Ok(())
    }

    fn lock(&mut self, path: &Path) -> io::Result<Option<FolderLock>> {
        let file = private_file().create(true).truncate(false).open(path)?;
        match flock(&file, FlockOperation::NonBlockingLockExclusive) {
            Ok(()) => Ok(Some(Box::new(file))),
            Err(Errno::WOULDBLOCK) => Ok(None),
            Err(error) => Err(error.into()),
        }
    }

    fn files(&mut self, folder: &Path) -> io::Result<Vec<PathBuf>> {
        fs::read_dir(folder)?.map(|entry| Ok(entry?.path())).collect()
    }

    fn read(&mut self, path: &Path) -> io::Result<Vec<u8>> {
        fs::read(path)
    }

    fn open(&mut self, path: &Path) -> io::Result<Box<dyn StorageFile>> {
        Ok(Box::new(DiskFile(private_file().append(true).open(path)?)))
    }

    fn create(&mut self, path: &Path) -> io::Result<Box<dyn StorageFile>> {
        let file = private_file().append(true).create(true).open(path)?;
        file.set_len(0)?;
        Ok(Box::new(DiskFile(file)))
    }

    fn rename(&mut self, from: &Path, to: &Path) -> io::Result<()> {
        fs::rename(from, to)
    }

    fn remove(&mut self, path: &Path) -> io::Result<()> {
        fs::remove_file(path)
    }

    fn sync_folder(&mut self, folder: &Path) -> io::Result<()> {
        // fdatasync covers what is needed to read a file's bytes, which excludes a folder's names.
        File::open(folder)?.sync_all()
    }
}

/// A file of the operating system.
struct DiskFile(File);

impl StorageFile for DiskFile {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.write(bytes)
    }

    fn set_len(&mut self, length: u64) -> io::Result<()> {
        self.0.set_len(length)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.0.sync_data()
    }
}

/// Options that open a file for writing; a new file is accessible to its owner alone.
fn private_file() -> OpenOptions {
    let mut options = OpenOptions::new();
    options.write(true).mode(FILE_MODE);
    options
}

/// The folder that holds the name of `path`.
fn parent(path: &Path) -> &Path {
    match path.parent() {
        Some(parent) if parent != Path::new("") => parent,
        _ => Path::new("."),
    }
}

fn restrict_mode(path: &Path, mode: u32) {
    let restricted = fs::metadata(path).and_then(|metadata| {
        let is_open = metadata.permissions().mode() & !mode & PERMISSION_BITS != 0;
        if is_open { fs::set_permissions(path, Permissions::from_mode(mode)) } else { Ok(()) }
    });
    if let Err(error) = restricted {
        // The process may have access without owning the file, so only the operator can change it.
        warn!(event = "data_open_to_others", path = %path.display(), %error);
    }
}
