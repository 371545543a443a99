//! Messages between members.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::configuration::MemberChange;
use super::error::MemberChangeError;
use super::types::{Entry, LogIndex, LogPosition, MemberId, SnapshotMetadata, Term};

/// A message with its sender, receiver and term.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// The sender.
    pub from: MemberId,
    /// The receiver; any other member drops the message, even one on the same machine.
    pub to: MemberId,
    /// The sender's term; in a pre-vote request, the term of the prospective election.
    pub term: Term,
    /// Content of the message.
    pub message: Message,
}

/// Number by which the requester matches a response to its request.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RequestNumber(pub u64);

/// Number of a quorum round that confirms reads; increases within a term.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ReadRound(pub u64);

/// A message between members.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks whether the receiver would grant a vote in this term; changes no receiver state.
    PreVoteRequest {
        /// Last entry of the sender's log.
        last: LogPosition,
    },
    /// Response to a pre-vote request.
    PreVoteResponse {
        /// Whether the vote would be granted.
        granted: bool,
    },
    /// Requests a vote.
    VoteRequest {
        /// Last entry of the sender's log.
        last: LogPosition,
    },
    /// Response to a vote request.
    VoteResponse {
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Replicates entries of the leader's log; a heartbeat carries none.
    AppendRequest {
        /// Position of the entry that precedes `entries`.
        previous: LogPosition,
        /// Consecutive entries to append.
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit: LogIndex,
        /// The leader's latest read round.
        round: ReadRound,
    },
    /// Response to an append request or to the last chunk of a snapshot.
    AppendResponse {
        /// Whether the entries were accepted.
        outcome: AppendOutcome,
        /// Read round of the request.
        round: ReadRound,
    },
    /// A chunk of a snapshot.
    SnapshotRequest {
        /// Position and membership that the snapshot covers.
        metadata: SnapshotMetadata,
        /// Offset of this chunk in bytes.
        offset: u64,
        /// Total bytes of the snapshot.
        length: u64,
        /// Bytes of this chunk.
        data: Bytes,
    },
    /// Response to a chunk other than the last.
    SnapshotResponse {
        /// Last entry included in the snapshot.
        index: LogIndex,
        /// Contiguous bytes received from the start.
        received: u64,
    },
    /// A command that a follower forwards to the leader.
    ForwardedCommand {
        /// The serialized command.
        command: Bytes,
    },
    /// Requests a read index from the leader.
    ReadRequest {
        /// The requester's number for the read.
        number: RequestNumber,
    },
    /// Response to a read request, sent after a quorum confirmed the leader.
    ReadResponse {
        /// The requester's number for the read.
        number: RequestNumber,
        /// Read index: the entry that must be applied before the read is served.
        index: LogIndex,
    },
    /// Requests a membership change from the leader.
    MemberChangeRequest {
        /// The requester's number for the change.
        number: RequestNumber,
        /// The requested change.
        change: MemberChange,
    },
    /// Response to a membership change request.
    MemberChangeResponse {
        /// The requester's number for the change.
        number: RequestNumber,
        /// Index of the entry that holds the change, which is not committed yet.
        outcome: Result<LogIndex, MemberChangeError>,
    },
    /// Announces to the leader that the sender is about to stop.
    StopRequest,
    /// Permits the receiver to stop.
    StopResponse,
    /// The sender led this term and has stepped down.
    LeadershipReleased {
        /// The voter that should start an election; none if no other voter is live.
        successor: Option<MemberId>,
    },
}

impl Message {
    /// Whether the message is valid in any term, so that terms are not compared.
    pub(super) fn is_independent_of_term(&self) -> bool {
        matches!(
            self,
            Self::ForwardedCommand { .. }
                | Self::ReadRequest { .. }
                | Self::ReadResponse { .. }
                | Self::MemberChangeRequest { .. }
                | Self::MemberChangeResponse { .. }
                | Self::StopRequest
                | Self::StopResponse
        )
    }
}

/// Outcome of an append request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AppendOutcome {
    /// The log matches the leader's up to this entry, on disk.
    Accepted {
        /// Index of the last matching entry.
        matched: LogIndex,
    },
    /// The preceding entry is missing or has another term.
    Rejected {
        /// Index of the preceding entry.
        previous: LogIndex,
        /// Highest index at which the logs may still match.
        hint: LogIndex,
    },
    /// Says nothing about the log: the request's term is older than the receiver's, or the receiver
    /// answers a heartbeat while the answer about its log waits for a write.
    NoStatement,
}
