//! What operators and brokers saw, and what the machines hold in the end.

use std::collections::BTreeMap;

use gingerkeel_domain::catalog::Catalog;
use gingerkeel_domain::cluster::{AcceptedChange, ChangeOutcome, ChangeRequest, CommandId};
use gingerkeel_domain::consensus::{LogIndex, MemberId};
use gingerkeel_domain::identifiers::Revision;
use gingerkeel_domain::time::Timestamp;

use super::broker::BrokerIndex;

/// A command and the outcomes that its operator was told.
#[derive(Debug, Clone)]
pub struct CommandRecord {
    /// The command.
    pub request: ChangeRequest,
    /// Outcomes with the time of each.
    pub outcomes: Vec<(Timestamp, ChangeOutcome)>,
}

/// What a broker works by at a moment.
#[derive(Debug, Clone, Copy)]
pub struct BrokerSample {
    /// The broker.
    pub broker: BrokerIndex,
    /// The moment.
    pub at: Timestamp,
    /// Number of the broker's run.
    pub run: u64,
    /// Revision in force.
    pub revision: Revision,
    /// Whether it serves queries.
    pub serves: bool,
}

/// A member applied another command than the others at the same place of the log.
#[derive(Debug, Clone, Copy)]
pub struct Divergence {
    /// The member.
    pub member: MemberId,
    /// The place.
    pub index: LogIndex,
}

/// The state of a machine at the end.
#[derive(Debug, Clone)]
pub struct FinalState {
    /// Its catalog.
    pub catalog: Catalog,
    /// The accepted changes, oldest first.
    pub changes: Vec<AcceptedChange>,
}

/// What was seen in a run.
#[derive(Debug, Default)]
pub struct History {
    /// Commands by identity.
    pub commands: BTreeMap<CommandId, CommandRecord>,
    /// Samples of brokers, in order of time.
    pub samples: Vec<BrokerSample>,
    /// Places at which members applied different commands.
    pub divergences: Vec<Divergence>,
    /// Machines that run at the end.
    pub final_states: Vec<FinalState>,
    /// Full copies of the catalog that were sent.
    pub full_copies: usize,
    /// Links that brokers opened.
    pub connects: usize,
}
