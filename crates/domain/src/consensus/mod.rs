//! Consensus on a replicated log by the rules of Raft.
//!
//! [`Node`] is one member's core. It does no I/O and reads no clock: the driver hands in messages,
//! proposals and the time, takes a [`Ready`] and does what it says. The core itself holds back
//! each message that depends on a write until the driver reports that the write is on disk.
//!
//! Beyond the basic rules: pre-vote, check-quorum, reads confirmed by a quorum (also for
//! followers), snapshots sent in parts, learners, and changes of one member at a time.

mod appending;
mod configuration;
mod election;
mod error;
mod handing_out;
mod installing;
mod leadership;
mod leading;
mod log;
mod membership;
mod message;
mod node;
mod progress;
mod reading;
mod ready;
mod settings;
mod types;

pub use configuration::{Configuration, MemberChange};
pub use error::{MemberChangeError, ProposeError, ReadError};
pub use membership::MembershipPolicy;
pub use message::{AppendOutcome, Envelope, Message, ReadRound, RequestNumber};
pub use node::{Node, NodeStatus, Proposed, RoleName};
pub use ready::{MemberChangeOutcome, ReadOutcome, Ready, SnapshotWrite, Write, WriteNumber};
pub use settings::ConsensusSettings;
pub use types::{
    Entry, HardState, Incarnation, LogIndex, LogPosition, MemberId, NodeNumber, Payload, Recovered,
    Snapshot, SnapshotMetadata, Term,
};
