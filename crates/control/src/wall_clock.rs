//! The time of day.

use std::time::{SystemTime, UNIX_EPOCH};

use gingerkeel_domain::cluster::WallTime;

/// The time of day, for commands.
pub fn wall_time() -> WallTime {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    WallTime(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}
