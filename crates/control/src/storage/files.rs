//! File names, access modes, atomic replacement and checksums.

use std::fs::{self, DirBuilder, File, OpenOptions, Permissions};
use std::os::unix::fs::{DirBuilderExt, OpenOptionsExt, PermissionsExt};
use std::path::{Path, PathBuf};

use tracing::warn;

use super::error::StorageError;
use super::io::{StorageIo, write_all};

/// Name of a file that is written before it is renamed to its final name.
const TEMPORARY_FILE: &str = "temporary";

/// Mode of a data folder: its owner alone has access.
const FOLDER_MODE: u32 = 0o700;
/// Mode of the files in a data folder.
const FILE_MODE: u32 = 0o600;
/// Permission bits of a mode.
const PERMISSION_BITS: u32 = 0o777;

/// A file whose name is a prefix and a number of 20 digits.
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

/// The files of a folder with this prefix, in ascending order of their numbers.
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

/// Creates the folder if it is missing and restricts it and its files to their owner, since the
/// route configuration contains callers' keys. Folders that earlier releases created are readable
/// by others.
pub(super) fn create_private_folder(folder: &Path) -> Result<(), StorageError> {
    let unusable = |error| StorageError::unusable(folder, error);
    DirBuilder::new().recursive(true).mode(FOLDER_MODE).create(folder).map_err(unusable)?;
    restrict_mode(folder, FOLDER_MODE);
    for entry in fs::read_dir(folder).map_err(unusable)? {
        let path = entry.map_err(unusable)?.path();
        if path.is_file() {
            restrict_mode(&path, FILE_MODE);
        }
    }
    Ok(())
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

/// Options that open a file of a data folder for writing; a new file is accessible to its owner
/// alone.
pub(super) fn private_file() -> OpenOptions {
    let mut options = OpenOptions::new();
    options.write(true).create(true).mode(FILE_MODE);
    options
}

/// Replaces a file atomically: writes it under a temporary name, syncs it and renames it.
pub(super) fn replace_file(
    io: &mut dyn StorageIo,
    folder: &Path,
    path: &Path,
    bytes: &[u8],
) -> Result<(), StorageError> {
    let temporary = folder.join(TEMPORARY_FILE);
    let unusable = |error| StorageError::unusable(path, error);
    let mut file = private_file().truncate(true).open(&temporary).map_err(unusable)?;
    write_all(io, &mut file, bytes).map_err(unusable)?;
    io.sync(&file).map_err(unusable)?;
    fs::rename(&temporary, path).map_err(unusable)?;
    sync_folder(io, folder)
}

/// Syncs a folder, so that created and removed names are durable.
pub(super) fn sync_folder(io: &mut dyn StorageIo, folder: &Path) -> Result<(), StorageError> {
    let file = File::open(folder).map_err(|error| StorageError::unusable(folder, error))?;
    io.sync(&file).map_err(|error| StorageError::SyncFailed(folder.to_owned(), error))
}

/// Prepends the CRC-32 checksum to the bytes.
pub(super) fn with_checksum(bytes: &[u8]) -> Vec<u8> {
    let mut framed = crc32fast::hash(bytes).to_be_bytes().to_vec();
    framed.extend_from_slice(bytes);
    framed
}

/// The bytes after a leading CRC-32 checksum; none if it does not match.
pub(super) fn without_checksum(framed: &[u8]) -> Option<&[u8]> {
    let (checksum, bytes) = framed.split_first_chunk::<4>()?;
    (u32::from_be_bytes(*checksum) == crc32fast::hash(bytes)).then_some(bytes)
}
