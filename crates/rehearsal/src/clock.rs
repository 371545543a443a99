//! Wall-clock moments that processes of one machine share.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Microseconds since the Unix epoch.
pub type Microseconds = u64;

/// The present moment.
pub fn now() -> Microseconds {
    // A clock before 1970 would make every record useless; zero shows that plainly.
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    microseconds(since_epoch)
}

/// A span in whole microseconds.
pub fn microseconds(span: Duration) -> Microseconds {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
