//! A disk in memory that keeps what was synced apart from what was only written.
//!
//! A process that is killed leaves its files as they are. A loss of power reverts each file to what
//! its last successful sync covered; each later write is present, absent or torn, and each name that
//! was created, renamed or removed since the last sync of the folder is kept or lost, independently
//! of the others. Some losses of power remove everything that was not synced.
//!
//! After a failed sync, the bytes that it should have written are still read back, but a later sync
//! writes them no more: the operating system reports a write-back error once and drops the pages.

use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard};

use gingerkeel_control::storage::{FolderLock, StorageFile, StorageIo};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

/// Share of the losses of power that remove everything that was not synced.
const LOSES_ALL: f64 = 0.3;
/// Probability that one unsynced operation survives any other loss of power as it was made.
const SURVIVES: f64 = 0.45;
/// Probability that an unsynced write survives in part.
const TORN: f64 = 0.3;

/// A disk; clones share its contents.
#[derive(Clone)]
pub struct VolatileDisk(Arc<Mutex<Contents>>);

struct Contents {
    files: Vec<FileContents>,
    /// Names as a running process sees them, each with its file's place in `files`.
    names: BTreeMap<PathBuf, usize>,
    synced_names: BTreeMap<PathBuf, usize>,
    unsynced_names: Vec<NameChange>,
    random: Pcg64,
    /// Operations until the process is killed in the next one; `None` is never.
    operations_left: Option<u64>,
    is_killed: bool,
    /// Operations since the disk was created or the process was started.
    operations: u64,
    faults: DiskFaults,
    /// Writes until the disk is full; `None` is never.
    writes_left: Option<u64>,
}

/// Probabilities of failures of single operations.
#[derive(Debug, Clone, Copy, Default)]
pub struct DiskFaults {
    /// A sync of a file fails.
    pub failed_sync: f64,
    /// A write finds the disk full, after it has written a part.
    pub full: f64,
}

#[derive(Default)]
struct FileContents {
    /// Bytes that a running process reads.
    current: Vec<u8>,
    /// Bytes that survive a loss of power.
    synced: Vec<u8>,
    unsynced: Vec<FileChange>,
}

enum FileChange {
    Write { offset: usize, bytes: Vec<u8> },
    Length(usize),
}

enum NameChange {
    Created(PathBuf, usize),
    Renamed { from: PathBuf, to: PathBuf, file: usize },
    Removed(PathBuf),
}

impl VolatileDisk {
    pub fn new(seed: u64) -> Self {
        Self(Arc::new(Mutex::new(Contents {
            files: Vec::new(),
            names: BTreeMap::new(),
            synced_names: BTreeMap::new(),
            unsynced_names: Vec::new(),
            random: Pcg64::seed_from_u64(seed),
            operations_left: None,
            is_killed: false,
            operations: 0,
            faults: DiskFaults::default(),
            writes_left: None,
        })))
    }

    fn contents(&self) -> MutexGuard<'_, Contents> {
        self.0.lock().expect("no panic")
    }

    /// Adds a file that is durable.
    pub fn insert(&self, path: &Path, bytes: Vec<u8>) {
        let mut contents = self.contents();
        let (current, synced) = (bytes.clone(), bytes);
        contents.files.push(FileContents { current, synced, unsynced: Vec::new() });
        let file = contents.files.len() - 1;
        contents.names.insert(path.to_owned(), file);
        contents.synced_names.insert(path.to_owned(), file);
    }

    /// Starts a process that is killed in the operation after that many; `None` is never.
    pub fn start_process(&self, operations: Option<u64>) {
        let mut contents = self.contents();
        contents.is_killed = false;
        contents.operations_left = operations;
        contents.operations = 0;
    }

    /// Operations of the process so far.
    pub fn operations(&self) -> u64 {
        self.contents().operations
    }

    /// Whether the process was killed.
    pub fn is_killed(&self) -> bool {
        self.contents().is_killed
    }

    pub fn set_faults(&self, faults: DiskFaults) {
        self.contents().faults = faults;
    }

    /// Sets after how many writes the disk is full; `None` is never.
    pub fn set_writes_left(&self, writes: Option<u64>) {
        self.contents().writes_left = writes;
    }

    /// Loses what was not synced, as far as chance wants it.
    pub fn lose_power(&self) {
        let mut contents = self.contents();
        let loses_all = contents.random.random_bool(LOSES_ALL);
        contents.lose_names(loses_all);
        contents.lose_bytes(loses_all);
    }
}

impl Contents {
    fn lose_names(&mut self, loses_all: bool) {
        for change in std::mem::take(&mut self.unsynced_names) {
            if !loses_all && self.random.random_bool(SURVIVES) {
                change.apply(&mut self.synced_names);
            }
        }
        self.names = self.synced_names.clone();
    }

    fn lose_bytes(&mut self, loses_all: bool) {
        for file in &mut self.files {
            for change in std::mem::take(&mut file.unsynced) {
                if loses_all {
                    continue;
                }
                if self.random.random_bool(SURVIVES) {
                    change.apply(&mut file.synced);
                } else if self.random.random_bool(TORN)
                    && let Some(torn) = change.torn(&mut self.random)
                {
                    torn.apply(&mut file.synced);
                }
            }
            file.current = file.synced.clone();
        }
    }

    /// Counts an operation; an error if the process is killed.
    fn operate(&mut self) -> io::Result<()> {
        if self.operations_left == Some(0) {
            self.is_killed = true;
            return Err(io::Error::other("the process is killed"));
        }
        self.operations += 1;
        self.operations_left = self.operations_left.map(|left| left - 1);
        Ok(())
    }

    /// An error if the disk is full.
    fn find_space(&mut self) -> io::Result<()> {
        if self.writes_left == Some(0) || self.random.random_bool(self.faults.full) {
            return Err(io::ErrorKind::StorageFull.into());
        }
        self.writes_left = self.writes_left.map(|left| left - 1);
        Ok(())
    }

    fn file(&self, path: &Path) -> io::Result<usize> {
        self.names.get(path).copied().ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn change_name(&mut self, change: NameChange) {
        change.apply(&mut self.names);
        self.unsynced_names.push(change);
    }

    fn change_file(&mut self, file: usize, change: FileChange) {
        let file = &mut self.files[file];
        change.apply(&mut file.current);
        file.unsynced.push(change);
    }

    fn sync_file(&mut self, file: usize) -> io::Result<()> {
        let fails = self.random.random_bool(self.faults.failed_sync);
        let file = &mut self.files[file];
        for change in std::mem::take(&mut file.unsynced) {
            if !fails || self.random.random_bool(SURVIVES) {
                change.apply(&mut file.synced);
            }
        }
        if fails { Err(io::Error::other("bad sector")) } else { Ok(()) }
    }
}

impl NameChange {
    fn apply(&self, names: &mut BTreeMap<PathBuf, usize>) {
        match self {
            Self::Created(path, file) => {
                names.insert(path.clone(), *file);
            }
            Self::Renamed { from, to, file } => {
                names.remove(from);
                names.insert(to.clone(), *file);
            }
            Self::Removed(path) => {
                names.remove(path);
            }
        }
    }
}

impl FileChange {
    fn apply(&self, bytes: &mut Vec<u8>) {
        match self {
            Self::Write { offset, bytes: written } => {
                let end = offset + written.len();
                if bytes.len() < end {
                    bytes.resize(end, 0);
                }
                bytes[*offset..end].copy_from_slice(written);
            }
            Self::Length(length) => bytes.resize(*length, 0),
        }
    }

    /// The part of a write that survives if it is torn: the bytes up to some byte, sometimes with
    /// zeros in place of the first of them. None for a length, which is never torn.
    fn torn(self, random: &mut Pcg64) -> Option<Self> {
        let Self::Write { offset, mut bytes } = self else {
            return None;
        };
        bytes.truncate(random.random_range(0..=bytes.len()));
        if random.random_bool(0.5) {
            let zeros = random.random_range(0..=bytes.len());
            bytes[..zeros].fill(0);
        }
        Some(Self::Write { offset, bytes })
    }
}

impl StorageIo for VolatileDisk {
    fn create_folder(&mut self, _folder: &Path) -> io::Result<()> {
        self.contents().operate()
    }

    fn lock(&mut self, _path: &Path) -> io::Result<Option<FolderLock>> {
        self.contents().operate()?;
        Ok(Some(Box::new(())))
    }

    fn files(&mut self, _folder: &Path) -> io::Result<Vec<PathBuf>> {
        Ok(self.contents().names.keys().cloned().collect())
    }

    fn read(&mut self, path: &Path) -> io::Result<Vec<u8>> {
        let contents = self.contents();
        let file = contents.file(path)?;
        Ok(contents.files[file].current.clone())
    }

    fn open(&mut self, path: &Path) -> io::Result<Box<dyn StorageFile>> {
        let file = self.contents().file(path)?;
        Ok(Box::new(VolatileFile { disk: self.clone(), file }))
    }

    fn create(&mut self, path: &Path) -> io::Result<Box<dyn StorageFile>> {
        let mut contents = self.contents();
        contents.operate()?;
        let file = match contents.file(path) {
            Ok(file) => file,
            Err(_) => {
                contents.files.push(FileContents::default());
                let file = contents.files.len() - 1;
                contents.change_name(NameChange::Created(path.to_owned(), file));
                file
            }
        };
        contents.change_file(file, FileChange::Length(0));
        Ok(Box::new(VolatileFile { disk: self.clone(), file }))
    }

    fn rename(&mut self, from: &Path, to: &Path) -> io::Result<()> {
        let mut contents = self.contents();
        contents.operate()?;
        let file = contents.file(from)?;
        let (from, to) = (from.to_owned(), to.to_owned());
        contents.change_name(NameChange::Renamed { from, to, file });
        Ok(())
    }

    fn remove(&mut self, path: &Path) -> io::Result<()> {
        let mut contents = self.contents();
        contents.operate()?;
        contents.file(path)?;
        contents.change_name(NameChange::Removed(path.to_owned()));
        Ok(())
    }

    fn sync_folder(&mut self, _folder: &Path) -> io::Result<()> {
        let mut contents = self.contents();
        contents.operate()?;
        contents.unsynced_names.clear();
        contents.synced_names = contents.names.clone();
        Ok(())
    }
}

struct VolatileFile {
    disk: VolatileDisk,
    file: usize,
}

impl StorageFile for VolatileFile {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut contents = self.disk.contents();
        let is_killed_before = contents.is_killed;
        let outcome = contents.operate().and_then(|()| contents.find_space());
        let count = match outcome {
            Ok(()) => bytes.len(),
            Err(_) if is_killed_before => 0,
            Err(_) => contents.random.random_range(0..=bytes.len()),
        };
        let offset = contents.files[self.file].current.len();
        let bytes = bytes[..count].to_vec();
        contents.change_file(self.file, FileChange::Write { offset, bytes });
        outcome.map(|()| count)
    }

    fn set_len(&mut self, length: u64) -> io::Result<()> {
        let mut contents = self.disk.contents();
        contents.operate()?;
        let length = usize::try_from(length).expect("a length in memory");
        contents.change_file(self.file, FileChange::Length(length));
        Ok(())
    }

    fn sync(&mut self) -> io::Result<()> {
        let mut contents = self.disk.contents();
        contents.operate()?;
        contents.sync_file(self.file)
    }
}
