//! Callers that send a not-repeatable query again under its request key.

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

/// Times that a query is sent again.
const RESENDS: u32 = 2;
/// Within this time a query is sent again: while it runs, or after it has ended.
const RESEND_SPREAD: Duration = Duration::from_millis(400);
/// Share of callers that hang up before they send again.
const HANG_UP_SHARE: f64 = 0.3;
/// Share of resends that go to another broker than the first.
const ASTRAY_SHARE: f64 = 0.2;

impl ServingWorld {
    /// Gives a query a key and plans its resends.
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
        if self.random.random_bool(HANG_UP_SHARE) {
            let delay = self.random.random_range(Duration::ZERO..RESEND_SPREAD / 4);
            schedule.after(delay, Event::CallerHangsUp(query));
        }
        for _ in 0..RESENDS {
            let delay = self.random.random_range(Duration::ZERO..RESEND_SPREAD);
            schedule.after(delay, Event::CallerResends(query));
        }
    }

    /// A caller sends a query again, to the broker of the key or astray.
    pub(super) fn caller_resends(
        &mut self,
        now: Timestamp,
        first: GlobalQuery,
        schedule: &mut Schedule<Event>,
    ) {
        let Some(record) = self.history.queries.get(&first).cloned() else {
            return;
        };
        let astray = self.random.random_bool(ASTRAY_SHARE);
        let other = BrokerIndex((first.broker.0 + 1) % self.brokers.len());
        let broker = if astray { other } else { first.broker };
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

    /// A caller hangs up; nobody owes it an outcome any more.
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

    /// What the broker is told of a submission, as the mutant lets it through.
    pub(super) fn bend_key(&self, mut submission: Submission) -> Submission {
        if self.mutant == Some(Mutant::KeysIgnored) {
            submission.key = None;
        }
        submission
    }
}
