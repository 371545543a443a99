//! A query that waits or runs.

use crate::admission::{SlotRelease, Ticket};
use crate::catalog::{AnswerPolicy, ClassPolicy};
use crate::identifiers::QueryId;
use crate::query::{Execution, Submission};
use crate::time::Timestamp;

/// A query that waits or runs.
#[derive(Debug)]
pub(super) struct ActiveQuery {
    pub(super) submission: Submission,
    pub(super) policy: ClassPolicy,
    /// Priority as admission sees it.
    pub(super) scheduled_priority: u8,
    pub(super) arrived: Timestamp,
    /// When admission let it start.
    pub(super) started: Option<Timestamp>,
    pub(super) execution: Option<Execution>,
    /// When late shards are hedged next.
    pub(super) hedge_at: Option<Timestamp>,
    /// Resent requests that wait for its outcome.
    pub(super) followers: Vec<QueryId>,
}

impl ActiveQuery {
    pub(super) fn new(
        now: Timestamp,
        submission: Submission,
        policy: ClassPolicy,
        scheduled_priority: u8,
    ) -> Self {
        Self {
            submission,
            policy,
            scheduled_priority,
            arrived: now,
            started: None,
            execution: None,
            hedge_at: None,
            followers: Vec::new(),
        }
    }

    pub(super) fn ticket(&self) -> Ticket {
        Ticket {
            query: self.submission.query,
            priority: self.scheduled_priority,
            deadline: self.submission.deadline,
        }
    }

    /// What admission is told when the query gives its slot back.
    pub(super) fn finished(&self, now: Timestamp, answered: bool) -> SlotRelease {
        let held = self.started.map(|started| now.since(started)).unwrap_or_default();
        SlotRelease { priority: self.scheduled_priority, held, answered }
    }

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
