//! Says whether changed settings await a restart: a control process reads them at its start only.

use std::io;

use gingerkeel_settings::{ControlSettings, SettingsSource};
use gingerkeel_transport::FileWatch;
use tracing::info;

/// Watches the settings file for ever.
///
/// # Errors
/// An [`io::Error`] when the signal of changed settings cannot be watched.
pub fn start(
    source: SettingsSource<ControlSettings>,
    in_force: &ControlSettings,
) -> io::Result<()> {
    let watch = FileWatch::start(source.path())?;
    let in_force = in_force.clone();
    monoio::spawn(async move {
        let file = source.path().display().to_string();
        let take = |settings: ControlSettings| {
            info!(event = "settings_read", file, restart_needed = settings != in_force);
        };
        watch.read_changes(|| source.read(), take).await;
    });
    Ok(())
}
