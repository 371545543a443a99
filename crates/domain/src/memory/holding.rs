//! What one connection holds, and for how long it has been at it.

use std::time::Duration;

use crate::time::Timestamp;

/// Identifies a connection; never used twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionNumber(pub u64);

/// What a connection is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Activity {
    /// Waits for the first byte of a message.
    Idle,
    /// Receives a message, of which nothing has run.
    Receiving,
    /// Its message is whole and being served; it is never evicted.
    Serving,
    /// Its answer is being sent.
    Sending,
}

/// What the account knows of a connection.
#[derive(Debug, Clone)]
pub(super) struct Holding {
    /// Bytes charged, including the fixed cost of the connection.
    pub bytes: u64,
    pub activity: Activity,
    /// When the activity began.
    pub since: Timestamp,
    /// Whether the connection was told to close.
    pub evicted: bool,
}

impl Holding {
    /// Bytes held beyond the first `bytes`.
    pub fn beyond(&self, bytes: u64) -> u64 {
        self.bytes.saturating_sub(bytes)
    }

    /// Whether the connection stays open and has this activity.
    pub fn is(&self, activity: Activity) -> bool {
        !self.evicted && self.activity == activity
    }

    /// Whether the connection has been receiving or sending, or has held more than `small` bytes
    /// while idle, for at least `protected`.
    pub fn is_overdue(&self, now: Timestamp, protected: Duration, small: u64) -> bool {
        let transfers = self.is(Activity::Receiving) || self.is(Activity::Sending);
        let holds = self.is(Activity::Idle) && self.beyond(small) > 0;
        (transfers || holds) && now.since(self.since) >= protected
    }

    /// Bytes times microseconds since the activity began: what evicting the connection is worth.
    pub fn weight(&self, now: Timestamp) -> u128 {
        u128::from(self.bytes) * now.since(self.since).as_micros()
    }
}
