//! State of a simulated operator.

use gingerkeel_domain::catalog::{CallerAccount, Change, Leaf};
use gingerkeel_domain::cluster::{ChangeOutcome, ChangeRequest, CommandId};
use gingerkeel_domain::identifiers::{CallerName, Revision, SessionName};

use super::machine::MachineIndex;

/// Index of an operator in the simulated world.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct OperatorIndex(pub usize);

/// An operator with one session and at most one outstanding command.
#[derive(Debug)]
pub struct Operator {
    /// Session name.
    pub session: SessionName,
    /// Control machine for the next request.
    pub machine: MachineIndex,
    /// Command without an outcome yet.
    pub outstanding: Option<ChangeRequest>,
    /// Highest known accepted revision.
    pub known: Revision,
    next_sequence: u64,
}

impl Operator {
    /// Creates an operator that sends its first request to `machine`.
    pub fn new(number: usize, machine: MachineIndex) -> Self {
        Self {
            session: SessionName::new(format!("operator-{number}")),
            machine,
            outstanding: None,
            known: Revision(0),
            next_sequence: 1,
        }
    }

    /// Creates a change that conflicts with no other change.
    pub fn own_change(&mut self) -> ChangeRequest {
        let account = CallerAccount { budget_per_second: self.next_sequence, burst: 1 };
        let caller = CallerName::new(format!("{}-{}", self.session, self.next_sequence));
        self.request(None, Change::DefineCaller { caller, account })
    }

    /// Creates a change that adds a leaf.
    pub fn addition(&mut self, leaf: Leaf) -> ChangeRequest {
        self.request(None, Change::AddLeaf(leaf))
    }

    /// Creates a change of a contended target, based on the highest known revision.
    pub fn racing_change(&mut self, change: Change) -> ChangeRequest {
        self.request(Some(self.known), change)
    }

    /// Records the outcome of a command.
    pub fn told(&mut self, request: &ChangeRequest, outcome: &ChangeOutcome) {
        if self.outstanding.as_ref().is_some_and(|outstanding| outstanding.id == request.id) {
            self.outstanding = None;
        }
        if let ChangeOutcome::Accepted { revision, .. } = outcome {
            self.known = self.known.max(*revision);
        }
    }

    /// Assigns a new sequence number to the outstanding command.
    pub fn renumber(&mut self) {
        let sequence = self.take_sequence();
        if let Some(outstanding) = &mut self.outstanding {
            outstanding.id.sequence = sequence;
        }
    }

    fn request(&mut self, based_on: Option<Revision>, change: Change) -> ChangeRequest {
        let id = CommandId { session: self.session.clone(), sequence: self.take_sequence() };
        ChangeRequest { id, based_on, change }
    }

    fn take_sequence(&mut self) -> u64 {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        sequence
    }
}
