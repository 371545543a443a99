//! Raft consensus on a replicated log.
//!
//! [`Node`] is the state machine of one member. It performs no I/O and reads no clock: the driver
//! passes in messages, proposals and the time, and executes each [`Ready`] that it takes. The node
//! holds back every message that depends on a write until the driver reports the write as
//! persisted.
//!
//! Extensions to basic Raft: pre-vote, check-quorum, linearizable reads by read index (also on
//! followers), chunked snapshots, learners and single-member configuration changes.

mod appending;
mod configuration;
mod election;
mod error;
mod installing;
mod leader_search;
mod leadership;
mod leading;
mod log;
mod membership;
mod message;
mod node;
mod output;
mod progress;
mod reachability;
mod reading;
mod ready;
mod settings;
mod status;
mod stopping;
mod types;

pub use configuration::{Configuration, MemberChange};
pub use error::{MemberChangeError, ProposeError, ReadError};
pub use leader_search::LeaderSearch;
pub use membership::MembershipPolicy;
pub use message::{AppendOutcome, Envelope, Message, ReadRound, RequestNumber};
pub use node::{Node, NodeStatus, Proposed, RoleName};
pub use ready::{MemberChangeOutcome, ReadOutcome, Ready, SnapshotWrite, Write, WriteNumber};
pub use settings::ConsensusSettings;
pub use status::MemberContact;
pub use types::{
    Entry, HardState, Incarnation, LogIndex, LogPosition, MemberId, NodeNumber, Payload, Recovered,
    Snapshot, SnapshotMetadata, Term,
};
