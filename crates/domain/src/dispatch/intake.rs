//! The way in and out of a query: request key, budget, admission, and what its outcome costs.

use super::{ActiveQuery, DEFAULT_RETRY_AFTER, Dispatcher, Effect};
use crate::admission::RefusalReason;
use crate::budget::BudgetError;
use crate::catalog::ClassPolicy;
use crate::cluster::ChargeKey;
use crate::identifiers::QueryId;
use crate::query::{QueryOutcome, Submission, UnrecordedReason};
use crate::request_key::Claim;
use crate::time::Timestamp;

/// A resent request that waits for the outcome of the query that runs under its key.
#[derive(Debug, Clone, Copy)]
pub(super) struct Follower {
    leader: QueryId,
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
            Claim::Attach(leader) => self.attach(leader, &submission, effects),
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

    /// The caller hung up: nothing is answered, and what runs is cancelled unless a request key
    /// lets the caller ask for the outcome later.
    pub(super) fn abandon(&mut self, now: Timestamp, query: QueryId, effects: &mut Vec<Effect>) {
        self.detach(query);
        let keyed = |active: &ActiveQuery| active.submission.key.is_some();
        if self.queries.get(&query).is_some_and(keyed) {
            return;
        }
        let Some(active) = self.forget(query) else {
            return;
        };
        self.refund(now, &active);
        if active.started.is_some() {
            self.release(now, &active, false, effects);
        } else if let Some(admission) = self.admissions.get_mut(&active.submission.service) {
            admission.withdraw(query);
        }
    }

    /// Gives a query that was forgotten its outcome, and those that wait for the same one. The
    /// caller of a query under a key may have hung up; the driver then drops the outcome.
    pub(super) fn conclude(
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
        for follower in &active.followers {
            if let Some(ended) = self.followers.remove(follower) {
                self.timers.remove(&(ended.deadline, *follower));
                self.answer(*follower, outcome.clone(), effects);
            }
        }
        self.answer(active.submission.query, outcome, effects);
    }

    /// A resent request has waited to its own deadline; the query that runs goes on.
    pub(super) fn follower_timed_out(&mut self, query: QueryId, effects: &mut Vec<Effect>) {
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
        self.carry_out(now, decisions, effects);
    }

    /// Takes the price of the class from the caller's budget, or tells why the query is not run.
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

    fn attach(&mut self, leader: QueryId, submission: &Submission, effects: &mut Vec<Effect>) {
        let query = submission.query;
        let Some(active) = self.queries.get_mut(&leader) else {
            let outcome = QueryOutcome::Unrecorded(UnrecordedReason::NotKnown);
            self.answer(query, outcome, effects);
            return;
        };
        active.followers.push(query);
        self.followers.insert(query, Follower { leader, deadline: submission.deadline });
        self.timers.insert((submission.deadline, query));
    }

    /// Takes a resent request off the query that it waits for; false when it does not wait.
    fn detach(&mut self, query: QueryId) -> bool {
        let Some(follower) = self.followers.remove(&query) else {
            return false;
        };
        self.timers.remove(&(follower.deadline, query));
        if let Some(active) = self.queries.get_mut(&follower.leader) {
            active.followers.retain(|candidate| *candidate != query);
        }
        true
    }

    fn answer(&self, query: QueryId, outcome: QueryOutcome, effects: &mut Vec<Effect>) {
        effects.push(Effect::Answer { query, outcome });
    }
}

/// A refusal when there is no measured rate to derive the advice from.
fn refused(reason: RefusalReason) -> QueryOutcome {
    QueryOutcome::NotRun { reason, retry_after: DEFAULT_RETRY_AFTER }
}
