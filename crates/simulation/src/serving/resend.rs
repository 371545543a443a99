//! Callers that retry queries with request keys.

use std::time::Duration;

use gingerkeel_domain::dispatch::Event as BrokerEvent;
use gingerkeel_domain::identifiers::{CallerName, QueryId};
use gingerkeel_domain::query::Submission;
use gingerkeel_domain::request_key::KeyedRequest;
use gingerkeel_domain::time::Timestamp;
use rand::Rng;

use super::broker::BrokerIndex;
use super::caller::CALLER;
use super::fault::Mutant;
use super::history::GlobalQuery;
use super::world::{Event, ServingWorld};
use crate::virtual_clock::Schedule;

/// Number of retries of a query.
const RETRIES: u32 = 2;
/// Maximum delay of a retry, which may come during or after the execution of the query.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(400);
/// Fraction of callers that disconnect before the retry.
const DISCONNECT_SHARE: f64 = 0.3;
/// Fraction of retries sent to another broker.
const OTHER_BROKER_SHARE: f64 = 0.2;

impl ServingWorld {
    /// Adds a request key to a query and schedules its retries.
    pub(super) fn plan_resends(
        &mut self,
        now: Timestamp,
        broker: BrokerIndex,
        submission: &mut Submission,
        schedule: &mut Schedule<Event>,
    ) {
        let dispatcher = &mut self.brokers[broker.0].dispatcher;
        let Ok(key) = dispatcher.issue_key(now, CallerName::new(CALLER)) else {
            return;
        };
        let digest = submission.query.0;
        submission.key = Some(KeyedRequest { key, digest });
        let query = GlobalQuery { broker, query: submission.query };
        if self.random.random_bool(DISCONNECT_SHARE) {
            let delay = self.random.random_range(Duration::ZERO..MAX_RETRY_DELAY / 4);
            schedule.after(delay, Event::CallerHangsUp(query));
        }
        for _ in 0..RETRIES {
            let delay = self.random.random_range(Duration::ZERO..MAX_RETRY_DELAY);
            schedule.after(delay, Event::CallerResends(query));
        }
    }

    /// Retries a query at the broker that issued its key, or at another broker.
    pub(super) fn caller_resends(
        &mut self,
        now: Timestamp,
        first: GlobalQuery,
        schedule: &mut Schedule<Event>,
    ) {
        let Some(record) = self.history.queries.get(&first).cloned() else {
            return;
        };
        let to_other = self.random.random_bool(OTHER_BROKER_SHARE);
        let other = BrokerIndex((first.broker.0 + 1) % self.brokers.len());
        let broker = if to_other { other } else { first.broker };
        let model = &mut self.brokers[broker.0];
        if model.dead {
            return;
        }
        let time_left = record.submission.deadline.since(record.submitted);
        let submission = Submission {
            query: QueryId(model.next_query),
            deadline: now.after(time_left),
            ..record.submission
        };
        model.next_query += 1;
        self.submit(now, broker, submission, record.priority, schedule);
    }

    /// Disconnects the caller of a query, which then requires no outcome.
    pub(super) fn caller_hangs_up(
        &mut self,
        now: Timestamp,
        query: GlobalQuery,
        schedule: &mut Schedule<Event>,
    ) {
        let Some(record) = self.history.queries.get_mut(&query) else {
            return;
        };
        if !record.outcomes.is_empty() {
            return;
        }
        record.excused = true;
        self.tell_broker(now, query.broker, BrokerEvent::CallerGone(query.query), schedule);
    }

    /// Applies the mutant to the request key of a submission.
    pub(super) fn alter_key(&self, mut submission: Submission) -> Submission {
        if self.mutant == Some(Mutant::KeysIgnored) {
            submission.key = None;
        }
        submission
    }
}
