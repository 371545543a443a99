//! Changes of budgets, queue limits and the admission threshold, and the record of charges.

use gingerkeel_domain::catalog::{CallerAccount, Change, ClassPolicy};
use gingerkeel_domain::dispatch::Event as BrokerEvent;
use gingerkeel_domain::identifiers::{CallerName, ServiceName};
use gingerkeel_domain::time::Timestamp;

use super::broker::BrokerIndex;
use super::caller::CALLER;
use super::fault::Mutant;
use super::history::{BudgetRecord, ChargeRecord, ThresholdRecord};
use super::world::{Event, FEED_DELAY, SERVICE, ServingWorld};
use crate::virtual_clock::Schedule;

impl ServingWorld {
    /// Reduces the callers' budget to `rate` per second, with the same burst.
    pub(super) fn cut_budget(&mut self, now: Timestamp, rate: u64, schedule: &mut Schedule<Event>) {
        let account = CallerAccount { budget_per_second: rate, burst: rate };
        let in_force = now.after(FEED_DELAY);
        self.history.budget =
            Some(BudgetRecord { account: account.clone(), ordered: now, in_force });
        if self.mutant != Some(Mutant::BudgetUnheard) {
            let caller = CallerName::new(CALLER);
            self.accept(&Change::DefineCaller { caller, account }, schedule);
        }
    }

    /// Sets the queue limit of each class.
    pub(super) fn shorten_queues(&mut self, queue_limit: u32, schedule: &mut Schedule<Event>) {
        let policies: Vec<ClassPolicy> =
            self.loads.iter().map(|load| load.policy.clone()).collect();
        for policy in policies {
            let policy = ClassPolicy { queue_limit, ..policy };
            let service = ServiceName::new(SERVICE);
            self.accept(&Change::DefineClass { service, policy }, schedule);
        }
    }

    /// Sets the lowest class that brokers admit.
    pub(super) fn set_threshold(
        &mut self,
        now: Timestamp,
        lowest_admitted: u8,
        schedule: &mut Schedule<Event>,
    ) {
        self.history.threshold = Some(ThresholdRecord { lowest_admitted, in_force: now });
        if self.mutant == Some(Mutant::ThresholdUnheard) {
            return;
        }
        for broker in 0..self.brokers.len() {
            let service = ServiceName::new(SERVICE);
            let event = BrokerEvent::ThresholdChanged { service, lowest_admitted };
            self.tell_broker(now, BrokerIndex(broker), event, schedule);
        }
    }

    /// Records the charges of all brokers for the checks.
    pub(super) fn record_charges(&mut self) {
        for (index, broker) in self.brokers.iter().enumerate() {
            let counters = broker.dispatcher.charges().counters().values();
            self.history.charges.push(ChargeRecord {
                broker: BrokerIndex(index),
                answered: counters.clone().map(|counter| counter.answered).sum(),
                units: counters.map(|counter| counter.units).sum(),
            });
        }
    }
}
