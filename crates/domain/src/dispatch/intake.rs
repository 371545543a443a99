//! Entry and exit of a query: request key, budget, admission, delivery of the outcome, charge.

use super::{ActiveQuery, DEFAULT_RETRY_AFTER, Dispatcher, Effect};
use crate::admission::RefusalReason;
use crate::budget::BudgetError;
use crate::catalog::ClassPolicy;
use crate::cluster::ChargeKey;
use crate::identifiers::QueryId;
use crate::query::{QueryOutcome, Submission, UnrecordedReason};
use crate::request_key::Claim;
use crate::time::Timestamp;

/// A resent request that waits for the outcome of the query running under its key.
#[derive(Debug, Clone, Copy)]
pub(super) struct AttachedResend {
    running: QueryId,
    deadline: Timestamp,
}

impl Dispatcher {
    pub(super) fn submit(
        &mut self,
        now: Timestamp,
        submission: Submission,
        effects: &mut Vec<Effect>,
    ) {
        match self.claim(now, &submission) {
            Claim::Execute => self.admit(now, submission, effects),
            Claim::Attach(running) => self.attach(running, &submission, effects),
            Claim::Recorded(outcome) => self.answer(submission.query, outcome, effects),
            Claim::Unrecorded(reason) => {
                self.answer(submission.query, QueryOutcome::Unrecorded(reason), effects)
            }
            Claim::UsedByOtherRequest => {
                let outcome = refused(RefusalReason::KeyTaken);
                self.answer(submission.query, outcome, effects);
            }
        }
    }

    /// Handles the disconnect of a caller: nothing is answered, and the query is cancelled unless
    /// it has a request key, under which the caller may ask for the outcome later.
    pub(super) fn abandon(&mut self, now: Timestamp, query: QueryId, effects: &mut Vec<Effect>) {
        self.detach(query);
        let keyed = |active: &ActiveQuery| active.submission.key.is_some();
        if self.queries.get(&query).is_some_and(keyed) {
            return;
        }
        let Some(active) = self.remove_query(query) else {
            return;
        };
        self.refund(now, &active);
        if active.started.is_some() {
            self.release(now, &active, false, effects);
        } else if let Some(admission) = self.admissions.get_mut(&active.submission.service) {
            admission.withdraw(query);
        }
    }

    /// Delivers the outcome of a query that was removed, also to the resends attached to it. The
    /// caller of a keyed query may have disconnected; the driver then drops the outcome.
    pub(super) fn deliver_outcome(
        &mut self,
        now: Timestamp,
        active: &ActiveQuery,
        outcome: QueryOutcome,
        effects: &mut Vec<Effect>,
    ) {
        if matches!(outcome, QueryOutcome::Answered(_)) {
            self.charge(active);
        } else {
            self.refund(now, active);
        }
        if let Some(keyed) = &active.submission.key {
            self.keys.record(now, &keyed.key, &outcome);
        }
        for resend in &active.attached_resends {
            if let Some(ended) = self.attached_resends.remove(resend) {
                self.timers.remove(&(ended.deadline, *resend));
                self.answer(*resend, outcome.clone(), effects);
            }
        }
        self.answer(active.submission.query, outcome, effects);
    }

    /// Ends a resend that reached its own deadline; the running query continues.
    pub(super) fn resend_timed_out(&mut self, query: QueryId, effects: &mut Vec<Effect>) {
        if self.detach(query) {
            let outcome = QueryOutcome::Unrecorded(UnrecordedReason::StillRunning);
            self.answer(query, outcome, effects);
        }
    }

    fn claim(&mut self, now: Timestamp, submission: &Submission) -> Claim {
        match &submission.key {
            Some(keyed) => self.keys.claim(now, &submission.caller, keyed, submission.query),
            None => Claim::Execute,
        }
    }

    fn admit(&mut self, now: Timestamp, submission: Submission, effects: &mut Vec<Effect>) {
        let policy = match self.pay(now, &submission) {
            Ok(policy) => policy,
            Err(outcome) => {
                if let Some(keyed) = &submission.key {
                    self.keys.record(now, &keyed.key, &outcome);
                }
                self.answer(submission.query, outcome, effects);
                return;
            }
        };
        let query = submission.query;
        let priority = self.scheduled_priority(policy.priority);
        let active = ActiveQuery::new(now, submission, policy, priority);
        let ticket = active.ticket();
        self.timers.insert((ticket.deadline, query));
        let mut decisions = Vec::new();
        if let Some(admission) = self.admissions.get_mut(&active.submission.service) {
            admission.offer(now, ticket, &mut decisions);
        }
        self.queries.insert(query, active);
        self.apply_decisions(now, decisions, effects);
    }

    /// Debits the price of the class from the caller's budget, or gives the refusal.
    fn pay(
        &mut self,
        now: Timestamp,
        submission: &Submission,
    ) -> Result<ClassPolicy, QueryOutcome> {
        if let Some(reason) = self.refusal(now) {
            return Err(refused(reason));
        }
        let policy = self.catalog.class(&submission.service, &submission.class).cloned();
        let policy = policy.ok_or_else(|| refused(RefusalReason::NotServed))?;
        let paid = self.budgets.pay(now, &submission.caller, policy.price);
        paid.map(|()| policy).map_err(|unpaid| match unpaid {
            BudgetError::UnknownCaller => refused(RefusalReason::UnknownCaller),
            BudgetError::BudgetSpent(retry_after) => {
                QueryOutcome::NotRun { reason: RefusalReason::BudgetSpent, retry_after }
            }
        })
    }

    fn charge(&mut self, active: &ActiveQuery) {
        let Submission { caller, service, class, .. } = active.submission.clone();
        self.charges.charge(ChargeKey { caller, service, class }, active.policy.price);
    }

    fn refund(&mut self, now: Timestamp, active: &ActiveQuery) {
        self.budgets.refund(now, &active.submission.caller, active.policy.price);
    }

    fn attach(&mut self, running: QueryId, submission: &Submission, effects: &mut Vec<Effect>) {
        let query = submission.query;
        let Some(active) = self.queries.get_mut(&running) else {
            let outcome = QueryOutcome::Unrecorded(UnrecordedReason::NotKnown);
            self.answer(query, outcome, effects);
            return;
        };
        active.attached_resends.push(query);
        self.attached_resends
            .insert(query, AttachedResend { running, deadline: submission.deadline });
        self.timers.insert((submission.deadline, query));
    }

    /// Detaches a resend from its running query; false when `query` is not an attached resend.
    fn detach(&mut self, query: QueryId) -> bool {
        let Some(resend) = self.attached_resends.remove(&query) else {
            return false;
        };
        self.timers.remove(&(resend.deadline, query));
        if let Some(active) = self.queries.get_mut(&resend.running) {
            active.attached_resends.retain(|candidate| *candidate != query);
        }
        true
    }

    fn answer(&self, query: QueryId, outcome: QueryOutcome, effects: &mut Vec<Effect>) {
        effects.push(Effect::Answer { query, outcome });
    }
}

/// A refusal with the default retry delay, for reasons that no drain rate applies to.
fn refused(reason: RefusalReason) -> QueryOutcome {
    QueryOutcome::NotRun { reason, retry_after: DEFAULT_RETRY_AFTER }
}
