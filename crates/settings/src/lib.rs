//! Settings files, their validation, and logging setup.

mod broker;
mod control;
mod error;
mod logging;
mod process;
mod source;
mod validate;

use std::fs;
use std::path::Path;

use serde::de::DeserializeOwned;

pub use broker::{BrokerSettings, DisconnectedPolicy, PolicySetting, RouteSettings};
pub use control::{
    ControlSettings, DirectorySettings, PeerSettings, RolloutSettings, SeedSettings,
};
pub use error::SettingsError;
pub use logging::{LogGuard, LogSettings, start_bounded_logging, start_logging};
pub use source::{ReadSettings, SettingsSource};
pub use validate::{Check, Validate};

/// Exit code for invalid settings or command-line flags.
pub const EXIT_BAD_SETTINGS: i32 = 2;

/// Reads and validates a settings file.
///
/// # Errors
/// Returns a [`SettingsError`] if the file cannot be read, cannot be parsed or has an invalid
/// value.
pub fn load<T: DeserializeOwned + Validate>(path: &Path) -> Result<T, SettingsError> {
    let file = path.display().to_string();
    let text =
        fs::read_to_string(path).map_err(|error| SettingsError::Unreadable(file.clone(), error))?;
    parse(&file, &text)
}

/// Parses and validates the text of a settings file. `file` is the file name for errors.
///
/// # Errors
/// Returns a [`SettingsError`] if the text cannot be parsed or has an invalid value.
pub fn parse<T: DeserializeOwned + Validate>(file: &str, text: &str) -> Result<T, SettingsError> {
    let settings: T = toml::from_str(text)
        .map_err(|error| SettingsError::Malformed(file.to_owned(), error.to_string()))?;
    settings.validate(&mut Check::new(file))?;
    Ok(settings)
}
