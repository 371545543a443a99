//! What goes wrong in a run, and rules that are switched off to see the checks fail.

use super::leaf::LeafMode;

/// A leaf: its service, by place, and its place among the leaves of that.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct LeafPlace {
    /// Place of the service; the one after the shards is asked for single requests.
    pub service: usize,
    /// Place among its leaves.
    pub leaf: usize,
}

/// A fault.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// The leaf behaves so from now on.
    Mode(LeafPlace, LeafMode),
    /// The leaf takes this many times as long from now on.
    Slow(LeafPlace, f64),
    /// The list of leaves says from now on that the leaf leaves.
    Leaving(LeafPlace),
    /// This many times the callers come from now on.
    Load(f64),
}

/// A fault and when it comes.
pub type TimedFault = crate::fault_plan::TimedFault<Fault>;

/// A rule of the code that is switched off by keeping from it what it needs to know.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// Extra requests are sent without asking the budget.
    BudgetIgnored,
    /// Every request is taken for a repeatable one.
    EveryRequestRepeatable,
    /// No leaf is told to be leaving.
    LeavingUnheard,
    /// A part that failed is taken for one that came.
    FailedPartsCount,
    /// A request that may have run is said not to have.
    UnknownSaidNotRun,
    /// An ended leaf is not told from a slow one, and what arrived at whoever has its address is not taken out of
    /// a budget.
    EndedLeavesUnnoticed,
    /// A request is held on past its deadline.
    DeadlineUnheard,
}
