//! Says whether changed settings await a restart: a control process reads them at its start only.

use std::io;

use gingerkeel_settings::{ControlSettings, SettingsSource};
use gingerkeel_transport::FileWatch;
use tracing::{info, warn};

/// Watches the settings file for ever.
///
/// # Errors
/// An [`io::Error`] when the signal of changed settings cannot be watched.
pub fn start(
    source: SettingsSource<ControlSettings>,
    in_force: &ControlSettings,
) -> io::Result<()> {
    let watch = FileWatch::start(source.path())?;
    monoio::spawn(run(watch, source, in_force.clone()));
    Ok(())
}

async fn run(
    mut watch: FileWatch,
    source: SettingsSource<ControlSettings>,
    in_force: ControlSettings,
) {
    loop {
        watch.changed().await;
        let file = source.path().display();
        match source.read() {
            Ok(settings) => {
                info!(event = "settings_read", %file, restart_needed = settings != in_force);
            }
            Err(error) => warn!(event = "settings_unusable", %file, %error, kept = true),
        }
    }
}
