//! Logs: one line of key=value pairs for each event, on standard error.

use tracing_subscriber::EnvFilter;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

/// Environment variable that selects levels, such as `info,gingerkeel_broker=debug`.
const LEVEL_VARIABLE: &str = "GINGERKEEL_LOG";

/// Starts logging for this process; a second call has no effect.
pub fn start_logging() {
    let filter = EnvFilter::try_from_env(LEVEL_VARIABLE).unwrap_or_else(|_| EnvFilter::new("info"));
    let layer = tracing_logfmt::builder().layer().with_writer(std::io::stderr);
    // Fails only when logging was started before, which is as good.
    let _ = tracing_subscriber::registry().with(filter).with(layer).try_init();
}
