//! Timing and limits of the consensus core.

use std::time::Duration;

/// Timing and limits; must be the same on all members.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConsensusSettings {
    /// Interval between a leader's heartbeats.
    pub heartbeat_interval: Duration,
    /// Minimum election timeout; each voter draws from one to two times this value. A leader
    /// that does not hear from a quorum within this time steps down.
    pub election_timeout: Duration,
    /// Maximum bytes of entries in one append request; a larger entry is sent alone.
    pub append_bytes: usize,
    /// Maximum append requests in flight to one follower.
    pub append_in_flight: usize,
    /// Bytes of one snapshot chunk.
    pub snapshot_chunk_bytes: usize,
    /// Maximum bytes of a snapshot that is accepted from a leader.
    pub snapshot_bytes_limit: u64,
    /// Entries kept in memory behind a snapshot, so that slightly lagging followers need none.
    pub trailing_entries: u64,
    /// Maximum bytes of these entries: a member that joins gets all entries that are kept.
    pub trailing_bytes: usize,
    /// Maximum bytes of a command.
    pub command_bytes_limit: usize,
    /// Maximum uncommitted entries in a leader's log.
    pub uncommitted_entries_limit: u64,
    /// Maximum committed entries by which a learner may lag when it is promoted.
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
            trailing_bytes: 1024 * 1024,
            command_bytes_limit: 1024 * 1024,
            uncommitted_entries_limit: 16 * 1024,
            promotion_lag: 16,
        }
    }
}
