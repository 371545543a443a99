//! Observations of operators and brokers, and the final states of the machines.

use std::collections::BTreeMap;

use gingerkeel_domain::catalog::Catalog;
use gingerkeel_domain::cluster::{AcceptedChange, ChangeOutcome, ChangeRequest, CommandId};
use gingerkeel_domain::consensus::{LogIndex, MemberId};
use gingerkeel_domain::identifiers::Revision;
use gingerkeel_domain::time::Timestamp;

use super::broker::BrokerIndex;

/// A command and its reported outcomes.
#[derive(Debug, Clone)]
pub struct CommandRecord {
    /// The command as first sent.
    pub request: ChangeRequest,
    /// Each outcome with the time of its arrival.
    pub outcomes: Vec<(Timestamp, ChangeOutcome)>,
}

/// Snapshot of a broker's state.
#[derive(Debug, Clone, Copy)]
pub struct BrokerSample {
    /// The broker.
    pub broker: BrokerIndex,
    /// Time of the sample.
    pub at: Timestamp,
    /// Number of restarts of the broker.
    pub run: u64,
    /// Revision in force.
    pub revision: Revision,
    /// Whether the broker serves queries.
    pub serves: bool,
}

/// A log index at which a member applied a different command than another member.
#[derive(Debug, Clone, Copy)]
pub struct Divergence {
    /// Member that applied a different command.
    pub member: MemberId,
    /// Log index of the command.
    pub index: LogIndex,
}

/// State of a machine at the end of the run.
#[derive(Debug, Clone)]
pub struct FinalState {
    /// Catalog of the machine.
    pub catalog: Catalog,
    /// The accepted changes, oldest first.
    pub changes: Vec<AcceptedChange>,
}

/// Observations of a run.
#[derive(Debug, Default)]
pub struct History {
    /// Commands by session and sequence number.
    pub commands: BTreeMap<CommandId, CommandRecord>,
    /// Samples of brokers, ordered by time.
    pub samples: Vec<BrokerSample>,
    /// Log indexes at which members applied different commands.
    pub divergences: Vec<Divergence>,
    /// States of the machines that run at the end.
    pub final_states: Vec<FinalState>,
    /// Number of full catalogs sent to brokers.
    pub full_copies: usize,
    /// Number of connection attempts of brokers.
    pub connects: usize,
}
