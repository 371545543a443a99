//! Names of files, and replacing a file as a whole.

use std::fs::{self, DirBuilder, File, OpenOptions, Permissions};
use std::os::unix::fs::{DirBuilderExt, OpenOptionsExt, PermissionsExt};
use std::path::{Path, PathBuf};

use tracing::warn;

use super::error::StorageError;
use super::io::{StorageIo, write_all};

/// Name of a file that is being written.
const TEMPORARY: &str = "temporary";

/// Access to a data folder.
const FOLDER_MODE: u32 = 0o700;
/// Access to its files.
const FILE_MODE: u32 = 0o600;
/// The bits of a mode that give access.
const PERMISSIONS: u32 = 0o777;

/// A file whose name ends in a number.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct NumberedFile {
    pub number: u64,
    pub path: PathBuf,
}

impl NumberedFile {
    pub fn new(folder: &Path, prefix: &str, number: u64) -> Self {
        Self { number, path: folder.join(format!("{prefix}{number:020}")) }
    }
}

/// The files of a folder with a prefix, by number.
pub(super) fn numbered_files(
    folder: &Path,
    prefix: &str,
) -> Result<Vec<NumberedFile>, StorageError> {
    let unusable = |error| StorageError::unusable(folder, error);
    let mut files = Vec::new();
    for entry in fs::read_dir(folder).map_err(unusable)? {
        let path = entry.map_err(unusable)?.path();
        let name = path.file_name().and_then(|name| name.to_str()).unwrap_or_default();
        let number = name.strip_prefix(prefix).and_then(|number| number.parse().ok());
        if let Some(number) = number {
            files.push(NumberedFile { number, path });
        }
    }
    files.sort();
    Ok(files)
}

/// Makes a folder and what is in it accessible to its user alone: the configuration of routes holds the keys
/// of callers. A folder that a former release made is open to others.
pub(super) fn restrict(folder: &Path) -> Result<(), StorageError> {
    let unusable = |error| StorageError::unusable(folder, error);
    DirBuilder::new().recursive(true).mode(FOLDER_MODE).create(folder).map_err(unusable)?;
    restrict_to(folder, FOLDER_MODE);
    for entry in fs::read_dir(folder).map_err(unusable)? {
        let path = entry.map_err(unusable)?.path();
        if path.is_file() {
            restrict_to(&path, FILE_MODE);
        }
    }
    Ok(())
}

fn restrict_to(path: &Path, mode: u32) {
    let restricted = fs::metadata(path).and_then(|metadata| {
        let is_open = metadata.permissions().mode() & !mode & PERMISSIONS != 0;
        if is_open { fs::set_permissions(path, Permissions::from_mode(mode)) } else { Ok(()) }
    });
    if let Err(error) = restricted {
        // The process may have access without owning the file; the operator has to decide.
        warn!(event = "data_open_to_others", path = %path.display(), %error);
    }
}

/// How files of a data folder are opened for writing: a new one is accessible to its user alone.
pub(super) fn private_file() -> OpenOptions {
    let mut options = OpenOptions::new();
    options.write(true).create(true).mode(FILE_MODE);
    options
}

/// Writes a file under a temporary name, syncs it, and gives it its name.
pub(super) fn replace_file(
    io: &mut dyn StorageIo,
    folder: &Path,
    path: &Path,
    bytes: &[u8],
) -> Result<(), StorageError> {
    let temporary = folder.join(TEMPORARY);
    let unusable = |error| StorageError::unusable(path, error);
    let mut file = private_file().truncate(true).open(&temporary).map_err(unusable)?;
    write_all(io, &mut file, bytes).map_err(unusable)?;
    io.sync(&file).map_err(unusable)?;
    fs::rename(&temporary, path).map_err(unusable)?;
    sync_folder(io, folder)
}

/// Makes new and removed names of a folder last.
pub(super) fn sync_folder(io: &mut dyn StorageIo, folder: &Path) -> Result<(), StorageError> {
    let file = File::open(folder).map_err(|error| StorageError::unusable(folder, error))?;
    io.sync(&file).map_err(|error| StorageError::SyncFailed(folder.to_owned(), error))
}

/// Bytes with their checksum before them.
pub(super) fn with_checksum(bytes: &[u8]) -> Vec<u8> {
    let mut whole = crc32fast::hash(bytes).to_be_bytes().to_vec();
    whole.extend_from_slice(bytes);
    whole
}

/// The bytes after a checksum, if it is right.
pub(super) fn without_checksum(whole: &[u8]) -> Option<&[u8]> {
    let (checksum, bytes) = whole.split_first_chunk::<4>()?;
    (u32::from_be_bytes(*checksum) == crc32fast::hash(bytes)).then_some(bytes)
}
