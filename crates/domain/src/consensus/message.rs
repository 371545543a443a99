//! Messages between members.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::configuration::MemberChange;
use super::error::MemberChangeError;
use super::types::{Entry, LogIndex, LogPosition, MemberId, SnapshotMetadata, Term};

/// A message with its sender, receiver and term.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Who sends it.
    pub from: MemberId,
    /// Whom it is for; another member, also one on the same machine, drops it.
    pub to: MemberId,
    /// The sender's term; with a request for a pre-vote, the term that it would open.
    pub term: Term,
    /// What it says.
    pub message: Message,
}

/// Number of a read that its asker chose.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RequestNumber(pub u64);

/// Number of a round in which a leader confirms reads; grows within a term.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ReadRound(pub u64);

/// What a member says to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Would you vote for me in this term? Changes nothing at the receiver.
    PreVoteRequest {
        /// Last entry of the sender's log.
        last: LogPosition,
    },
    /// Answer to a request for a pre-vote.
    PreVoteResponse {
        /// Whether the vote would be given.
        granted: bool,
    },
    /// Asks for a vote.
    VoteRequest {
        /// Last entry of the sender's log.
        last: LogPosition,
    },
    /// Answer to a request for a vote.
    VoteResponse {
        /// Whether the vote is given.
        granted: bool,
    },
    /// Entries of the leader's log; none in a heartbeat.
    AppendRequest {
        /// The entry before the first.
        previous: LogPosition,
        /// The entries.
        entries: Vec<Entry>,
        /// Last entry that the leader knows to be committed.
        commit: LogIndex,
        /// The leader's latest round of reads.
        round: ReadRound,
    },
    /// Answer to an append request or to the last part of a snapshot.
    AppendResponse {
        /// What became of the entries.
        outcome: AppendOutcome,
        /// The round of the request.
        round: ReadRound,
    },
    /// A part of a snapshot.
    SnapshotRequest {
        /// What the snapshot covers.
        metadata: SnapshotMetadata,
        /// Bytes of the snapshot before this part.
        offset: u64,
        /// Bytes of the whole snapshot.
        length: u64,
        /// The part.
        data: Bytes,
    },
    /// Answer to a part of a snapshot that was not the last.
    SnapshotResponse {
        /// Last entry that the snapshot covers.
        index: LogIndex,
        /// Bytes that the receiver has from the start.
        received: u64,
    },
    /// A command that a follower hands to the leader.
    ForwardedCommand {
        /// The command.
        command: Bytes,
    },
    /// Asks the leader up to which entry a read has to wait.
    ReadRequest {
        /// The asker's number for the read.
        number: RequestNumber,
    },
    /// Answer to a read request, after a quorum confirmed the leader.
    ReadResponse {
        /// The asker's number for the read.
        number: RequestNumber,
        /// The entry that must be applied before the read is answered.
        index: LogIndex,
    },
    /// Asks the leader for a change of the members.
    MemberChangeRequest {
        /// The asker's number for the change.
        number: RequestNumber,
        /// The change.
        change: MemberChange,
    },
    /// Answer to a request for a change of the members.
    MemberChangeResponse {
        /// The asker's number for the change.
        number: RequestNumber,
        /// The entry that holds the change; it is not committed yet.
        outcome: Result<LogIndex, MemberChangeError>,
    },
}

impl Message {
    /// Whether the message means the same in every term, so that terms are not compared.
    pub(super) fn is_independent_of_term(&self) -> bool {
        matches!(
            self,
            Self::ForwardedCommand { .. }
                | Self::ReadRequest { .. }
                | Self::ReadResponse { .. }
                | Self::MemberChangeRequest { .. }
                | Self::MemberChangeResponse { .. }
        )
    }
}

/// What became of the entries of an append request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AppendOutcome {
    /// The log is the leader's up to this entry, on disk.
    Accepted {
        /// The entry.
        matched: LogIndex,
    },
    /// The entry before the first is missing or of another term.
    Rejected {
        /// Index of that entry.
        previous: LogIndex,
        /// Where the logs may still agree.
        hint: LogIndex,
    },
    /// The sender of the request is of an earlier term.
    StaleTerm,
}
