//! Logs whether changed settings need a restart: a control process reads its settings only at its
//! start.

use std::io;

use gingerkeel_settings::{ControlSettings, SettingsSource};
use gingerkeel_transport::FileWatch;
use tracing::info;

/// Spawns a task that reads the settings file again on each change or signal and logs whether the
/// settings differ from those in force.
///
/// # Errors
/// An [`io::Error`] if the file or the signal to reload it cannot be watched.
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
