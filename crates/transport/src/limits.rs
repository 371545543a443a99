//! Limits of messages from a peer.

use std::time::Duration;

/// Limits of a single message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of the start line and headers, in bytes.
    pub head_bytes: usize,
    /// Maximum size of the body, in bytes.
    pub body_bytes: usize,
    /// Maximum time from the first byte of a message to its last.
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
