//! A member's role and what belongs to it.

use std::collections::{BTreeMap, BTreeSet};

use super::message::{ReadRound, RequestNumber};
use super::progress::Progress;
use super::types::{LogIndex, MemberId};
use crate::time::Timestamp;

/// A member's role.
#[derive(Debug)]
pub(super) enum Role {
    /// Follows a leader, or waits for one.
    Follower,
    /// Asks whether it would get votes.
    PreCandidate(Ballot),
    /// Asks for votes.
    Candidate(Ballot),
    /// Leads.
    Leader(Leadership),
}

/// Votes of one election.
#[derive(Debug, Default)]
pub(super) struct Ballot {
    pub granted: BTreeSet<MemberId>,
    pub rejected: BTreeSet<MemberId>,
}

/// What a leader knows and has to do.
#[derive(Debug)]
pub(super) struct Leadership {
    /// The other members.
    pub progress: BTreeMap<MemberId, Progress>,
    /// When the next heartbeat is due.
    pub heartbeat_due: Timestamp,
    /// When the next look at the quorum is due.
    pub quorum_check_due: Timestamp,
    /// Reads that wait.
    pub reads: PendingReads,
}

/// Reads that wait for a quorum.
#[derive(Debug, Default)]
pub(super) struct PendingReads {
    /// Reads for the next round.
    pub waiting: Vec<PendingRead>,
    /// The round on its way.
    pub round: Option<PendingRound>,
    /// Number of the latest round.
    pub latest: ReadRound,
}

/// A read and who asked.
#[derive(Debug, Clone, Copy)]
pub(super) struct PendingRead {
    /// The member that asked; the leader itself, too.
    pub origin: MemberId,
    /// Its number for the read.
    pub number: RequestNumber,
}

/// Reads that one round of heartbeats confirms.
#[derive(Debug)]
pub(super) struct PendingRound {
    pub index: LogIndex,
    pub reads: Vec<PendingRead>,
}
