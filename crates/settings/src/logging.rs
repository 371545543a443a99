//! Logging in logfmt: one line of key=value pairs per event.

mod bounded;

use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::MakeWriter;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

pub use bounded::{LogGuard, LogSettings};

/// Environment variable with the log filter, such as `info,gingerkeel_broker=debug`.
const LEVEL_VARIABLE: &str = "GINGERKEEL_LOG";

/// Starts logging to standard error. Has no effect if logging has already been started.
pub fn start_logging() {
    start(std::io::stderr);
}

/// Starts rate-limited logging to standard output that never blocks on a slow reader. Keep the
/// guard until the process exits, since dropping it flushes the queued lines and stops the writer.
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
    // Fails only if logging has already been started.
    let _ = tracing_subscriber::registry().with(filter).with(layer).try_init();
}
