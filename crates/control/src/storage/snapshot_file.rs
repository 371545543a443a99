//! Snapshots on disk, one file each.

use std::path::Path;

use gingerkeel_domain::consensus::Snapshot;
use gingerkeel_protocol::{decode_document, encode_document};

use super::error::StorageError;
use super::files::{
    NumberedFile, numbered_files, replace_file, sync_folder, with_checksum, without_checksum,
};
use super::io::StorageIo;

const PREFIX: &str = "snapshot-";

/// Writes a snapshot atomically, then removes older ones.
pub(super) fn write(
    io: &mut dyn StorageIo,
    folder: &Path,
    snapshot: &Snapshot,
) -> Result<(), StorageError> {
    let number = snapshot.metadata.position.index.0;
    let file = NumberedFile::new(folder, PREFIX, number);
    let document = encode_document(snapshot).map_err(|_| {
        StorageError::Corrupted(file.path.clone(), 0, "the snapshot cannot be written")
    })?;
    replace_file(io, folder, &file.path, &with_checksum(&document))?;
    for earlier in numbered_files(io, folder, PREFIX)?.iter().filter(|other| other.number < number)
    {
        io.remove(&earlier.path).map_err(|error| StorageError::unusable(&earlier.path, error))?;
    }
    sync_folder(io, folder)
}

/// Reads the latest snapshot; none if there is no file.
pub(super) fn read_latest(
    io: &mut dyn StorageIo,
    folder: &Path,
) -> Result<Option<Snapshot>, StorageError> {
    let files = numbered_files(io, folder, PREFIX)?;
    let Some(file) = files.last() else {
        return Ok(None);
    };
    let damaged = |reason| StorageError::Corrupted(file.path.clone(), 0, reason);
    let bytes = io.read(&file.path).map_err(|error| StorageError::unusable(&file.path, error))?;
    let document = without_checksum(&bytes).ok_or(damaged("wrong checksum"))?;
    decode_document(document).map(Some).map_err(|_| damaged("not a snapshot"))
}
