//! Wall-clock time.

use std::time::{SystemTime, UNIX_EPOCH};

use gingerkeel_domain::cluster::WallTime;

/// Milliseconds since the Unix epoch, for timestamps of commands; 0 if the clock is set before it.
pub fn wall_time() -> WallTime {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    WallTime(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}
