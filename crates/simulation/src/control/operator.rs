//! Operators: commands, resends and races.

use gingerkeel_domain::catalog::{CallerAccount, Change, Leaf};
use gingerkeel_domain::cluster::{ChangeOutcome, ChangeRequest, CommandId};
use gingerkeel_domain::identifiers::{CallerName, Revision, SessionName};

use super::machine::MachineIndex;

/// Number of an operator in a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct OperatorIndex(pub usize);

/// An operator with one session.
#[derive(Debug)]
pub struct Operator {
    /// Name of the session.
    pub session: SessionName,
    /// The control machine that is asked next.
    pub machine: MachineIndex,
    /// The command without an outcome.
    pub outstanding: Option<ChangeRequest>,
    /// The accepted revision as last told.
    pub known: Revision,
    next_sequence: u64,
}

impl Operator {
    /// An operator that asks `machine` first.
    pub fn new(number: usize, machine: MachineIndex) -> Self {
        Self {
            session: SessionName::new(format!("operator-{number}")),
            machine,
            outstanding: None,
            known: Revision(0),
            next_sequence: 1,
        }
    }

    /// A change of the operator's own, which nothing conflicts with.
    pub fn own_change(&mut self) -> ChangeRequest {
        let account = CallerAccount { budget_per_second: self.next_sequence, burst: 1 };
        let caller = CallerName::new(format!("{}-{}", self.session, self.next_sequence));
        self.request(None, Change::DefineCaller { caller, account })
    }

    /// The addition of a leaf.
    pub fn addition(&mut self, leaf: Leaf) -> ChangeRequest {
        self.request(None, Change::AddLeaf(leaf))
    }

    /// A change of what all operators race for, made against the revision last told.
    pub fn racing_change(&mut self, change: Change) -> ChangeRequest {
        self.request(Some(self.known), change)
    }

    /// The outcome of a command came.
    pub fn told(&mut self, request: &ChangeRequest, outcome: &ChangeOutcome) {
        if self.outstanding.as_ref().is_some_and(|outstanding| outstanding.id == request.id) {
            self.outstanding = None;
        }
        if let ChangeOutcome::Accepted { revision, .. } = outcome {
            self.known = self.known.max(*revision);
        }
    }

    /// The outstanding command under a new number, as if it had never been sent.
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
