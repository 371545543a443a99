//! Test support: a broker process, a scripted control process, scripted leaves and a raw caller.
#![allow(dead_code)]

pub mod broker;
pub mod caller;
pub mod control;
pub mod leaf;
pub mod routed;

use std::net::SocketAddr;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Timeout of every wait; reached only if a test fails.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval of polling a condition.
const POLL: Duration = Duration::from_millis(10);

/// A local address that refuses connections: a reserved port without a listener.
pub fn closed_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

/// Polls until `condition` holds; panics with `what` after [`WAIT_TIMEOUT`].
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < WAIT_TIMEOUT, "timed out waiting until {what}");
        sleep(POLL);
    }
}
