//! Injected faults, and mutants that disable a rule of the code under test.

use super::leaf::LeafMode;

/// Index of a leaf: its service, and its position among the leaves of the service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct LeafPlace {
    /// Index of the service. The last service, after the shards, serves single requests.
    pub service: usize,
    /// Index of the leaf in its service.
    pub leaf: usize,
}

/// An injected fault.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// Changes the mode of the leaf.
    Mode(LeafPlace, LeafMode),
    /// Multiplies the service times of the leaf by this factor.
    Slow(LeafPlace, f64),
    /// Lists the leaf as leaving in the directory.
    Leaving(LeafPlace),
    /// Multiplies the request rate by this factor.
    Load(f64),
}

/// A fault with its time.
pub type TimedFault = crate::fault_plan::TimedFault<Fault>;

/// A rule that the simulation disables, to show that the checks detect its absence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// The budget of extra requests is ignored.
    BudgetIgnored,
    /// All requests are treated as repeatable.
    EveryRequestRepeatable,
    /// Brokers are not notified of leaving leaves.
    LeavingUnheard,
    /// Failed parts count as received.
    FailedPartsCount,
    /// Requests that may have run are reported as not run.
    UnknownSaidNotRun,
    /// Ended leaves are treated as slow ones, and requests that reach another leaf at a reused
    /// address are not deducted from the budget.
    EndedLeavesUnnoticed,
    /// Requests continue after their deadlines.
    DeadlineUnheard,
}
