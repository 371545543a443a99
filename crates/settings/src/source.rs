//! Where the settings of a running process come from, to be read again.

use std::path::{Path, PathBuf};

/// Reads settings out of a file, or says in words that name the remedy why it cannot.
pub type ReadSettings<T> = fn(&Path) -> Result<T, String>;

/// A settings file and how it is read.
#[derive(Debug, Clone)]
pub struct SettingsSource<T> {
    path: PathBuf,
    read: ReadSettings<T>,
}

impl<T> SettingsSource<T> {
    /// The file at `path`, read by `read`.
    pub fn new(path: PathBuf, read: ReadSettings<T>) -> Self {
        Self { path, read }
    }

    /// The file.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Reads and checks the file as it is now.
    ///
    /// # Errors
    /// What is wrong with it, with the remedy.
    pub fn read(&self) -> Result<T, String> {
        (self.read)(&self.path)
    }
}
