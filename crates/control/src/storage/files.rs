//! File names, atomic replacement and checksums.

use std::io;
use std::path::{Path, PathBuf};

use super::error::StorageError;
use super::io::{StorageFile, StorageIo};

/// Name of a file that is written before it is renamed to its final name.
const TEMPORARY_FILE: &str = "temporary";

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
    io: &mut dyn StorageIo,
    folder: &Path,
    prefix: &str,
) -> Result<Vec<NumberedFile>, StorageError> {
    let paths = io.files(folder).map_err(|error| StorageError::unusable(folder, error))?;
    let mut files = Vec::new();
    for path in paths {
        let name = path.file_name().and_then(|name| name.to_str()).unwrap_or_default();
        let number = name.strip_prefix(prefix).and_then(|number| number.parse().ok());
        if let Some(number) = number {
            files.push(NumberedFile { number, path });
        }
    }
    files.sort();
    Ok(files)
}

/// Replaces a file atomically and durably.
pub(super) fn replace_file(
    io: &mut dyn StorageIo,
    folder: &Path,
    path: &Path,
    bytes: &[u8],
) -> Result<(), StorageError> {
    rename_into_place(io, folder, path, bytes)?;
    sync_folder(io, folder)
}

/// Writes a file under a temporary name, syncs it and renames it. A sync of the folder has to follow,
/// which makes the rename durable.
pub(super) fn rename_into_place(
    io: &mut dyn StorageIo,
    folder: &Path,
    path: &Path,
    bytes: &[u8],
) -> Result<(), StorageError> {
    let temporary = folder.join(TEMPORARY_FILE);
    let unusable = |error| StorageError::unusable(path, error);
    let mut file = io.create(&temporary).map_err(unusable)?;
    write_all(file.as_mut(), bytes).map_err(unusable)?;
    file.sync().map_err(unusable)?;
    io.rename(&temporary, path).map_err(unusable)
}

/// Syncs a folder, so that created and removed names are durable.
pub(super) fn sync_folder(io: &mut dyn StorageIo, folder: &Path) -> Result<(), StorageError> {
    io.sync_folder(folder).map_err(|error| StorageError::SyncFailed(folder.to_owned(), error))
}

/// Writes all bytes, with as many calls as needed.
pub(super) fn write_all(file: &mut dyn StorageFile, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        match file.write(bytes) {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(count) => bytes = &bytes[count..],
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
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
