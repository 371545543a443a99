//! The operating system's disk with injected faults: full, short writes, failed syncs.

use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

use gingerkeel_control::storage::{DiskIo, FolderLock, StorageFile, StorageIo};

/// A disk with injected faults; clones share them.
#[derive(Clone, Default)]
pub struct FaultyIo {
    pub faults: Arc<Mutex<Faults>>,
    /// Number of syncs of files and folders so far.
    pub syncs: Arc<AtomicUsize>,
}

#[derive(Default)]
pub struct Faults {
    /// Free space in bytes; `None` is unlimited.
    pub free_bytes: Option<usize>,
    /// Maximum number of bytes per write; `None` is unlimited.
    pub max_write_bytes: Option<usize>,
    pub sync_fails: bool,
}

impl FaultyIo {
    /// Limits the free space; `None` is unlimited.
    pub fn set_free_bytes(&self, free_bytes: Option<usize>) {
        self.faults.lock().expect("no panic").free_bytes = free_bytes;
    }

    pub fn set_sync_fails(&self, sync_fails: bool) {
        self.faults.lock().expect("no panic").sync_fails = sync_fails;
    }

    fn sync(&self, sync: impl FnOnce() -> io::Result<()>) -> io::Result<()> {
        self.syncs.fetch_add(1, Ordering::Relaxed);
        match self.faults.lock().expect("no panic").sync_fails {
            true => Err(io::Error::other("bad sector")),
            false => sync(),
        }
    }

    fn file(&self, file: Box<dyn StorageFile>) -> Box<dyn StorageFile> {
        Box::new(FaultyFile { file, disk: self.clone() })
    }
}

impl StorageIo for FaultyIo {
    fn create_folder(&mut self, folder: &Path) -> io::Result<()> {
        DiskIo.create_folder(folder)
    }

    fn lock(&mut self, path: &Path) -> io::Result<Option<FolderLock>> {
        DiskIo.lock(path)
    }

    fn files(&mut self, folder: &Path) -> io::Result<Vec<PathBuf>> {
        DiskIo.files(folder)
    }

    fn read(&mut self, path: &Path) -> io::Result<Vec<u8>> {
        DiskIo.read(path)
    }

    fn open(&mut self, path: &Path) -> io::Result<Box<dyn StorageFile>> {
        Ok(self.file(DiskIo.open(path)?))
    }

    fn create(&mut self, path: &Path) -> io::Result<Box<dyn StorageFile>> {
        Ok(self.file(DiskIo.create(path)?))
    }

    fn rename(&mut self, from: &Path, to: &Path) -> io::Result<()> {
        DiskIo.rename(from, to)
    }

    fn remove(&mut self, path: &Path) -> io::Result<()> {
        DiskIo.remove(path)
    }

    fn sync_folder(&mut self, folder: &Path) -> io::Result<()> {
        self.sync(|| DiskIo.sync_folder(folder))
    }
}

struct FaultyFile {
    file: Box<dyn StorageFile>,
    disk: FaultyIo,
}

impl StorageFile for FaultyFile {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut faults = self.disk.faults.lock().expect("no panic");
        let longest = faults.max_write_bytes.unwrap_or(usize::MAX);
        let free_bytes = faults.free_bytes.unwrap_or(usize::MAX);
        if free_bytes == 0 {
            return Err(io::ErrorKind::StorageFull.into());
        }
        let count = bytes.len().min(longest).min(free_bytes);
        faults.free_bytes = faults.free_bytes.map(|free_bytes| free_bytes - count);
        self.file.write(&bytes[..count])
    }

    fn set_len(&mut self, length: u64) -> io::Result<()> {
        self.file.set_len(length)
    }

    fn sync(&mut self) -> io::Result<()> {
        let disk = self.disk.clone();
        disk.sync(|| self.file.sync())
    }
}
