//! Bounded waiting for conditions.

use std::thread::sleep;
use std::time::{Duration, Instant};

/// Time between two looks at a condition.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);

/// Waits until `condition` holds; false when it does not within `limit`.
pub fn wait_until(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + limit;
    loop {
        if condition() {
            return true;
        }
        if Instant::now() >= end {
            return false;
        }
        sleep(LOOK_INTERVAL);
    }
}
