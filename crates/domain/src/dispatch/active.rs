//! A query that waits or runs.

use crate::catalog::{AnswerPolicy, ClassPolicy};
use crate::query::{Execution, Submission};
use crate::time::Timestamp;

/// A query that waits or runs.
#[derive(Debug)]
pub(super) struct ActiveQuery {
    pub(super) submission: Submission,
    pub(super) policy: ClassPolicy,
    pub(super) arrived: Timestamp,
    pub(super) execution: Option<Execution>,
    /// When late shards are hedged next.
    pub(super) hedge_at: Option<Timestamp>,
}

impl ActiveQuery {
    /// When the query is answered, if there is something to answer with.
    pub(super) fn answer_by(&self) -> Timestamp {
        match self.policy.answer_policy {
            AnswerPolicy::Full => self.submission.deadline,
            AnswerPolicy::Partial { soft_deadline } => {
                self.arrived.after(soft_deadline).min(self.submission.deadline)
            }
        }
    }

    /// Whether a query that runs has waited long enough: at its soft deadline with whatever was
    /// merged, at its deadline in any case.
    pub(super) fn is_due(&self, now: Timestamp) -> bool {
        if self.submission.deadline <= now {
            return true;
        }
        let has_parts = self.execution.as_ref().is_some_and(Execution::has_parts);
        has_parts && self.answer_by() <= now
    }
}
