//! File writes and syncs behind a trait, so that tests can make them fail.

use std::fs::File;
use std::io::{self, Write};

/// Write operations that the storage needs from the operating system.
pub trait StorageIo: Send {
    /// Appends some of the bytes to a file and returns their number.
    ///
    /// # Errors
    /// As [`Write::write`].
    fn write(&mut self, file: &mut File, bytes: &[u8]) -> io::Result<usize>;

    /// Makes a file's bytes and length, or a folder's names, durable.
    ///
    /// # Errors
    /// As [`File::sync_all`].
    fn sync(&mut self, file: &File) -> io::Result<()>;
}

/// Writes to the file system.
#[derive(Debug, Clone, Copy, Default)]
pub struct DiskIo;

impl StorageIo for DiskIo {
    fn write(&mut self, file: &mut File, bytes: &[u8]) -> io::Result<usize> {
        file.write(bytes)
    }

    fn sync(&mut self, file: &File) -> io::Result<()> {
        file.sync_data()
    }
}

/// Writes all bytes, with as many calls as needed.
pub(super) fn write_all(
    io: &mut dyn StorageIo,
    file: &mut File,
    mut bytes: &[u8],
) -> io::Result<()> {
    while !bytes.is_empty() {
        match io.write(file, bytes) {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(count) => bytes = &bytes[count..],
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}
