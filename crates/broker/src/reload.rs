//! Reloads settings that may change at run time: the addresses of control processes.

use std::io;
use std::net::SocketAddr;

use gingerkeel_settings::{BrokerSettings, SettingsSource};
use gingerkeel_transport::FileWatch;
use local_sync::mpsc::unbounded::{self, Rx};
use tracing::info;

/// Starts watching the settings file; returns the channel that receives the addresses of control
/// processes when they have changed.
///
/// # Errors
/// An [`io::Error`] if the handler of SIGHUP cannot be registered.
pub fn start(
    source: SettingsSource<BrokerSettings>,
    in_force: &BrokerSettings,
) -> io::Result<Rx<Vec<SocketAddr>>> {
    let watch = FileWatch::start(source.path())?;
    let (controls, changed) = unbounded::channel();
    let mut in_force = in_force.clone();
    monoio::spawn(async move {
        let file = source.path().display().to_string();
        let take = |settings: BrokerSettings| {
            let control_changed = settings.control != in_force.control;
            in_force.control = settings.control.clone();
            // All other settings keep their values from the start.
            let restart_needed = settings != in_force;
            info!(event = "settings_read", file, control_changed, restart_needed);
            if control_changed {
                // The feed lives as long as the process.
                let _ = controls.send(settings.control);
            }
        };
        watch.read_changes(|| source.read(), take).await;
    });
    Ok(changed)
}
