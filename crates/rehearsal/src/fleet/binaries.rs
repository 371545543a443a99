//! Where the programs are: beside the one that runs.

use std::path::{Path, PathBuf};

use crate::error::RehearsalError;

/// Folder of cargo that holds test programs, below the one with the programs.
const TEST_FOLDER: &str = "deps";

/// The programs of a fleet.
#[derive(Debug, Clone)]
pub struct Binaries {
    folder: PathBuf,
}

impl Binaries {
    /// The programs beside the running one, or, for a test, in the folder above it.
    ///
    /// # Errors
    /// [`RehearsalError::Resource`] when the path of the running program is not known.
    pub fn find() -> Result<Self, RehearsalError> {
        let current = std::env::current_exe()
            .map_err(|error| RehearsalError::resource("the running program", error))?;
        let folder = current.parent().unwrap_or(Path::new("."));
        let folder =
            if folder.ends_with(TEST_FOLDER) { folder.parent().unwrap_or(folder) } else { folder };
        Ok(Self { folder: folder.to_owned() })
    }

    /// The broker.
    pub fn broker(&self) -> PathBuf {
        self.folder.join("gingerkeel-broker")
    }

    /// The control process.
    pub fn control(&self) -> PathBuf {
        self.folder.join("gingerkeel-control")
    }

    /// The operators' command line.
    pub fn command_line(&self) -> PathBuf {
        self.folder.join("gingerkeel")
    }

    /// Stand-ins.
    pub fn rehearsal(&self) -> PathBuf {
        self.folder.join("gingerkeel-rehearsal")
    }
}
