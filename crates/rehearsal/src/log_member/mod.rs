//! A member of a replicated log whose commands are plain words.
//!
//! The log is that of the control processes, with its disk and peers; only the state machine is a
//! stand-in, so that the log can be disturbed and compared from the outside. The member takes one
//! line over a connection of its own and answers with one line.

mod interface;
mod words;

use std::path::PathBuf;

use gingerkeel_control::replication::{self, ReplicationOptions};
use gingerkeel_settings::ControlSettings;
use gumdrop::Options;
use local_sync::mpsc::unbounded;
use tracing::info;

pub use interface::{Request, ask};
pub use words::{WordsMessage, run_words};

use crate::error::RehearsalError;

/// Flags of a member of a replicated log.
#[derive(Debug, Options)]
pub struct LogMemberFlags {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "settings file of a control process, TOML", meta = "FILE")]
    settings: Option<PathBuf>,
    #[options(help = "applied entries between snapshots", default = "50", meta = "COUNT")]
    snapshot_interval: u64,
}

/// Serves requests on the address for operators until the process ends.
///
/// # Errors
/// A [`RehearsalError`] when the settings are wrong or the log does not start.
pub fn run(flags: LogMemberFlags) -> Result<(), RehearsalError> {
    let path = flags.settings.ok_or_else(|| {
        RehearsalError::Flag("no settings file: name one with --settings FILE".into())
    })?;
    let settings: ControlSettings = gingerkeel_settings::load(&path)?;
    let interval = flags.snapshot_interval;
    gingerkeel_transport::block_on(serve(settings, interval))
        .map_err(|error| RehearsalError::resource("runtime", error))?
}

async fn serve(settings: ControlSettings, interval: u64) -> Result<(), RehearsalError> {
    let listener = gingerkeel_transport::listen(settings.operators)
        .map_err(|error| RehearsalError::resource(settings.operators, error))?;
    let (applies, received) = unbounded::channel();
    let options = ReplicationOptions { snapshot_interval: interval, ..Default::default() };
    let log = replication::start(&settings, options, applies)
        .map_err(|error| RehearsalError::Log(error.to_string()))?;
    let words = run_words(received);
    info!(event = "started", role = "log_member", node = settings.node);
    interface::serve(listener, log, words).await;
    Ok(())
}
