//! Broken promises.

use std::fmt;

use serde::Serialize;

/// Which promise was broken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ViolationKind {
    /// An answer has parts of more than one snapshot, or of another than it says.
    MixedSnapshot,
    /// A part is of another query or another shard, or is not whole.
    ForeignPart,
    /// The coverage is not that of the parts and the missing shards.
    FalseCoverage,
    /// A part has no counterpart in the journal of any leaf.
    InventedPart,
    /// Something that was said not to have run had run.
    NotRunButRan,
    /// A query that may run at most once ran more than once.
    RanTwice,
    /// A leaving leaf started new work.
    WorkAfterDrain,
    /// An answer that was owed was cut off.
    AnswerCut,
    /// An answer that was owed never came.
    NeverAnswered,
    /// A response was none of a broker's documents.
    NotUnderstood,
    /// A refusal does not say when to come back.
    RefusalWithoutRetryAfter,
    /// A lower class was served much better than a higher one.
    PriorityInverted,
}

/// One broken promise with its evidence.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// Which promise.
    pub kind: ViolationKind,
    /// The query, leaf or service that shows it.
    pub subject: String,
    /// What was seen.
    pub evidence: String,
}

impl Violation {
    /// A violation.
    pub fn new(kind: ViolationKind, subject: impl ToString, evidence: impl ToString) -> Self {
        Self { kind, subject: subject.to_string(), evidence: evidence.to_string() }
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:?}: {}: {}", self.kind, self.subject, self.evidence)
    }
}
