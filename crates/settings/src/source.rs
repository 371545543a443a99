//! Source of the settings of a running process, for reloading.

use std::path::{Path, PathBuf};

/// Function that reads settings from a file. The error is a message for operators.
pub type ReadSettings<T> = fn(&Path) -> Result<T, String>;

/// Path of a settings file with the function that reads it.
#[derive(Debug, Clone)]
pub struct SettingsSource<T> {
    path: PathBuf,
    read: ReadSettings<T>,
}

impl<T> SettingsSource<T> {
    /// Creates a source that reads the file at `path` with `read`.
    pub fn new(path: PathBuf, read: ReadSettings<T>) -> Self {
        Self { path, read }
    }

    /// Path of the settings file.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Reads and validates the current content of the file.
    ///
    /// # Errors
    /// Returns a message for operators if the file cannot be read or is invalid.
    pub fn read(&self) -> Result<T, String> {
        (self.read)(&self.path)
    }
}
