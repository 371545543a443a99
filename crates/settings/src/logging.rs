//! Logs: one line of key=value pairs for each event.

mod bounded;

use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::MakeWriter;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

pub use bounded::{LogGuard, LogSettings};

/// Environment variable that selects levels, such as `info,gingerkeel_broker=debug`.
const LEVEL_VARIABLE: &str = "GINGERKEEL_LOG";

/// Starts logging to standard error for this process; a second call has no effect.
pub fn start_logging() {
    start(std::io::stderr);
}

/// Starts logging to standard output within a budget of lines, and without ever waiting for the
/// reader. Lines that wait are written while the guard lives.
pub fn start_bounded_logging(settings: LogSettings) -> LogGuard {
    let (writer, guard) = bounded::writer(settings, std::io::stdout());
    start(writer);
    guard
}

fn start<W>(writer: W)
where
    W: for<'writer> MakeWriter<'writer> + Send + Sync + 'static,
{
    let filter = EnvFilter::try_from_env(LEVEL_VARIABLE).unwrap_or_else(|_| EnvFilter::new("info"));
    let layer = tracing_logfmt::builder().layer().with_writer(writer);
    // Fails only when logging was started before, which is as good.
    let _ = tracing_subscriber::registry().with(filter).with(layer).try_init();
}
