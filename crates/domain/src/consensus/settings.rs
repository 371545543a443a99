//! Timing and limits of the consensus core.

use std::time::Duration;

/// Timing and limits; the same on all members.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConsensusSettings {
    /// Time between a leader's heartbeats.
    pub heartbeat_interval: Duration,
    /// Time without a leader after which a voter asks for votes, at least; up to twice that at
    /// random. Also the time within which a leader must hear from a quorum.
    pub election_timeout: Duration,
    /// Bytes of commands in one append request, unless one command alone is larger.
    pub append_bytes: usize,
    /// Append requests that may be on the way to one follower.
    pub append_in_flight: usize,
    /// Bytes of one part of a snapshot.
    pub snapshot_chunk_bytes: usize,
    /// Bytes of the largest snapshot that is taken from a leader.
    pub snapshot_bytes_limit: u64,
    /// Entries that are kept in memory behind a snapshot for followers that lag a little.
    pub trailing_entries: u64,
    /// Bytes of the largest command.
    pub command_bytes_limit: usize,
    /// Entries that may wait to be committed.
    pub uncommitted_entries_limit: u64,
    /// Entries that a learner may lack when it is promoted.
    pub promotion_lag: u64,
}

impl Default for ConsensusSettings {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(100),
            election_timeout: Duration::from_millis(600),
            append_bytes: 256 * 1024,
            append_in_flight: 64,
            snapshot_chunk_bytes: 256 * 1024,
            snapshot_bytes_limit: 1024 * 1024 * 1024,
            trailing_entries: 256,
            command_bytes_limit: 1024 * 1024,
            uncommitted_entries_limit: 16 * 1024,
            promotion_lag: 16,
        }
    }
}
