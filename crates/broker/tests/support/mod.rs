//! A broker process between a scripted control process, scripted leaves and a raw caller.
#![allow(dead_code)]

pub mod broker;
pub mod caller;
pub mod control;
pub mod leaf;
pub mod routed;

use std::net::SocketAddr;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Longest wait for anything; it is reached only when a test fails.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Pause between looks at a condition.
const POLL: Duration = Duration::from_millis(10);

/// An address of this machine that nothing listens on: a reserved port.
pub fn closed_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

/// Waits until `condition` holds.
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < WAIT_TIMEOUT, "waited in vain until {what}");
        sleep(POLL);
    }
}
