//! Bounds on what a peer may send.

use std::time::Duration;

/// Bounds on one message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of the start line and headers.
    pub head_bytes: usize,
    /// Bytes of the body.
    pub body_bytes: usize,
    /// Time from the first byte of a message to its last.
    pub message_time: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 1024 * 1024,
            message_time: Duration::from_secs(10),
        }
    }
}
