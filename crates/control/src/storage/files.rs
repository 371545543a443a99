//! Names of files, and replacing a file as a whole.

use std::fs::{self, File};
use std::path::{Path, PathBuf};

use super::error::StorageError;
use super::io::{StorageIo, write_all};

/// Name of a file that is being written.
const TEMPORARY: &str = "temporary";

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

/// Writes a file under a temporary name, syncs it, and gives it its name.
pub(super) fn replace_file(
    io: &mut dyn StorageIo,
    folder: &Path,
    path: &Path,
    bytes: &[u8],
) -> Result<(), StorageError> {
    let temporary = folder.join(TEMPORARY);
    let unusable = |error| StorageError::unusable(path, error);
    let mut file = File::create(&temporary).map_err(unusable)?;
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
