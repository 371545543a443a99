//! Writing and syncing, so that tests can make both fail.

use std::fs::File;
use std::io::{self, Write};

/// What the storage asks of the operating system when it writes.
pub trait StorageIo: Send {
    /// Writes some of the bytes at the end of a file; gives how many.
    ///
    /// # Errors
    /// As [`Write::write`].
    fn write(&mut self, file: &mut File, bytes: &[u8]) -> io::Result<usize>;

    /// Waits until a file's bytes and length, or a folder's names, are on the disk.
    ///
    /// # Errors
    /// As [`File::sync_all`].
    fn sync(&mut self, file: &File) -> io::Result<()>;
}

/// The real disk.
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

/// Writes all bytes, in as many parts as it takes.
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
