//! Settings files, their validation, and log set-up.

mod broker;
mod control;
mod error;
mod logging;
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

/// Exit code of a process whose settings or flags are wrong.
pub const EXIT_BAD_SETTINGS: i32 = 2;

/// Reads and checks a settings file.
///
/// # Errors
/// A [`SettingsError`] that names the file, the field, its value and the remedy.
pub fn load<T: DeserializeOwned + Validate>(path: &Path) -> Result<T, SettingsError> {
    let file = path.display().to_string();
    let text =
        fs::read_to_string(path).map_err(|error| SettingsError::Unreadable(file.clone(), error))?;
    parse(&file, &text)
}

/// Checks the text of a settings file; `file` is used in errors only.
///
/// # Errors
/// A [`SettingsError`] that names the file, the field, its value and the remedy.
pub fn parse<T: DeserializeOwned + Validate>(file: &str, text: &str) -> Result<T, SettingsError> {
    let settings: T = toml::from_str(text)
        .map_err(|error| SettingsError::Malformed(file.to_owned(), error.to_string()))?;
    settings.validate(&mut Check::new(file))?;
    Ok(settings)
}
