//! Raft roles and the state of each.

use std::collections::{BTreeMap, BTreeSet};

use super::message::{ReadRound, RequestNumber};
use super::progress::Progress;
use super::types::{LogIndex, MemberId};
use crate::time::Timestamp;

/// Role of a member with its role-specific state.
#[derive(Debug)]
pub(super) enum Role {
    /// Replicates the leader's log, or waits for a leader.
    Follower,
    /// Collects pre-votes before it starts an election.
    PreCandidate(Ballot),
    /// Collects votes.
    Candidate(Candidacy),
    /// Replicates its log to the other members.
    Leader(Leadership),
}

/// State of a candidate.
#[derive(Debug, Default)]
pub(super) struct Candidacy {
    /// Votes in the current term.
    pub votes: Ballot,
    /// Pre-votes for the next term, once the votes have taken longer than the election timeout.
    /// Votes of the current term still count meanwhile.
    pub next_term: Option<Ballot>,
}

/// Votes received in one election or pre-vote.
#[derive(Debug, Default)]
pub(super) struct Ballot {
    pub granted: BTreeSet<MemberId>,
    pub rejected: BTreeSet<MemberId>,
}

impl Role {
    /// Votes received in the current term.
    pub fn votes(&self) -> Option<&Ballot> {
        match self {
            Self::Candidate(candidacy) => Some(&candidacy.votes),
            _ => None,
        }
    }

    /// Pre-votes received for the next term.
    pub fn pre_votes(&self) -> Option<&Ballot> {
        match self {
            Self::PreCandidate(ballot) => Some(ballot),
            Self::Candidate(candidacy) => candidacy.next_term.as_ref(),
            _ => None,
        }
    }

    /// The same, to record a response.
    pub fn pre_votes_mut(&mut self) -> Option<&mut Ballot> {
        match self {
            Self::PreCandidate(ballot) => Some(ballot),
            Self::Candidate(candidacy) => candidacy.next_term.as_mut(),
            _ => None,
        }
    }

    /// Ends a pre-vote that is lost; votes of the current term still count.
    pub fn end_pre_vote(&mut self) {
        match self {
            Self::Candidate(candidacy) => candidacy.next_term = None,
            role => *role = Self::Follower,
        }
    }
}

impl Ballot {
    /// Records the response of a voter.
    pub fn record(&mut self, voter: MemberId, granted: bool) {
        let votes = if granted { &mut self.granted } else { &mut self.rejected };
        votes.insert(voter);
    }
}

/// State of a leader.
#[derive(Debug)]
pub(super) struct Leadership {
    /// Replication progress of each other member.
    pub progress: BTreeMap<MemberId, Progress>,
    /// When the next heartbeat is due.
    pub heartbeat_due: Timestamp,
    /// When the next quorum check is due.
    pub quorum_check_due: Timestamp,
    /// Reads not yet confirmed.
    pub reads: PendingReads,
}

/// Reads that wait for confirmation by a quorum.
#[derive(Debug, Default)]
pub(super) struct PendingReads {
    /// Reads queued for the next round.
    pub waiting: Vec<PendingRead>,
    /// The round in progress.
    pub round: Option<PendingRound>,
    /// Number of the latest round.
    pub latest: ReadRound,
}

/// A read and its requester.
#[derive(Debug, Clone, Copy)]
pub(super) struct PendingRead {
    /// The requesting member; may be the leader itself.
    pub origin: MemberId,
    /// The requester's number for the read.
    pub number: RequestNumber,
}

/// Reads that one round of append requests confirms.
#[derive(Debug)]
pub(super) struct PendingRound {
    pub index: LogIndex,
    pub reads: Vec<PendingRead>,
}
