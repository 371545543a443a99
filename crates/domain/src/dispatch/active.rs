//! State that the dispatcher keeps for a queued or running query.

use crate::admission::{SlotRelease, Ticket};
use crate::catalog::{AnswerPolicy, ClassPolicy};
use crate::identifiers::QueryId;
use crate::query::{Execution, Submission};
use crate::time::Timestamp;

/// A query that is queued or running.
#[derive(Debug)]
pub(super) struct ActiveQuery {
    pub(super) submission: Submission,
    pub(super) policy: ClassPolicy,
    /// Priority used for admission; the same for all classes under the baseline policy.
    pub(super) scheduled_priority: u8,
    pub(super) arrived: Timestamp,
    /// When the query was admitted; `None` while it is queued.
    pub(super) started: Option<Timestamp>,
    pub(super) execution: Option<Execution>,
    /// When the next hedges for late shards are due.
    pub(super) hedge_at: Option<Timestamp>,
    /// Resent requests under the same key that wait for the outcome of this query.
    pub(super) attached_resends: Vec<QueryId>,
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
            attached_resends: Vec::new(),
        }
    }

    pub(super) fn ticket(&self) -> Ticket {
        Ticket {
            query: self.submission.query,
            priority: self.scheduled_priority,
            deadline: self.submission.deadline,
        }
    }

    /// Slot release that is reported to admission when the query ends.
    pub(super) fn finished(&self, now: Timestamp, answered: bool) -> SlotRelease {
        let held = self.started.map(|started| now.since(started)).unwrap_or_default();
        SlotRelease { priority: self.scheduled_priority, held, answered }
    }

    /// Time at which the query is answered with the shards merged by then, if any.
    pub(super) fn answer_by(&self) -> Timestamp {
        match self.policy.answer_policy {
            AnswerPolicy::Full => self.submission.deadline,
            AnswerPolicy::Partial { soft_deadline } => {
                self.arrived.after(soft_deadline).min(self.submission.deadline)
            }
        }
    }

    /// Whether a running query ends now: at its soft deadline if at least one shard was merged, at
    /// its deadline in any case.
    pub(super) fn is_due(&self, now: Timestamp) -> bool {
        if self.submission.deadline <= now {
            return true;
        }
        let has_parts = self.execution.as_ref().is_some_and(Execution::has_parts);
        has_parts && self.answer_by() <= now
    }
}
