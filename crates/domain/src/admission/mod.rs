//! Admission control for one service on one broker: bounded queues with strict priority.

mod drain_rate;
mod overload;
mod queue;
mod run_time;
mod ticket;

use std::time::Duration;

use crate::identifiers::{QueryId, ServiceName};
use crate::time::Timestamp;
use queue::ClassQueues;

pub use drain_rate::DrainRate;
pub use overload::{ADMIT_ALL, ClassPressure, OverloadReport};
pub use run_time::FastestRun;
pub use ticket::{ClassLimit, Decision, Refusal, RefusalReason, SlotRelease, Ticket};

/// Shortest retry delay for a class below the threshold, which changes no faster.
const THRESHOLD_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Admits, queues or refuses the queries of one service.
#[derive(Debug)]
pub struct Admission {
    concurrency: u32,
    running: u32,
    lowest_admitted: u8,
    queues: ClassQueues,
    drain_rate: DrainRate,
}

impl Admission {
    /// Admission control with `concurrency` slots and one queue for each of `limits`.
    pub fn new(concurrency: u32, limits: impl IntoIterator<Item = ClassLimit>) -> Self {
        let mut queues = ClassQueues::default();
        queues.reconfigure(limits);
        Self {
            concurrency,
            running: 0,
            lowest_admitted: ADMIT_ALL,
            queues,
            drain_rate: DrainRate::default(),
        }
    }

    /// Applies changed limits. Queries queued in a class that was removed are refused; all others
    /// stay queued.
    pub fn reconfigure(
        &mut self,
        now: Timestamp,
        concurrency: u32,
        limits: impl IntoIterator<Item = ClassLimit>,
        decisions: &mut Vec<Decision>,
    ) {
        self.concurrency = concurrency;
        for ticket in self.queues.reconfigure(limits) {
            decisions.push(self.refusal(ticket, RefusalReason::NotServed));
        }
        self.start_waiting(now, decisions);
    }

    /// Sheds classes whose priority number exceeds `lowest_admitted`; their queued queries are
    /// refused at once.
    pub fn set_threshold(&mut self, lowest_admitted: u8, decisions: &mut Vec<Decision>) {
        self.lowest_admitted = lowest_admitted;
        for ticket in self.queues.drain_below(lowest_admitted) {
            self.refuse(ticket, RefusalReason::Overloaded, decisions);
        }
    }

    /// Number of running queries.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Number of queued queries, over all classes.
    pub fn waiting(&self) -> usize {
        self.queues.waiting()
    }

    /// Current load and cumulative refusals, for the control tier.
    pub fn report(&self, service: ServiceName) -> OverloadReport {
        let pressure = |queue: &queue::ClassQueue| ClassPressure {
            priority: queue.limit.priority,
            offered: queue.offered,
            refused: queue.refused,
            waiting: u32::try_from(queue.waiting.len()).unwrap_or(u32::MAX),
        };
        OverloadReport {
            service,
            running: self.running,
            concurrency: self.concurrency,
            lowest_admitted: self.lowest_admitted,
            classes: self.queues.iter().map(pressure).collect(),
        }
    }

    /// Starts, queues or refuses a query. A queued query that is evicted for it is refused too.
    pub fn offer(&mut self, now: Timestamp, ticket: Ticket, decisions: &mut Vec<Decision>) {
        let Some(queue) = self.queues.get_mut(ticket.priority) else {
            decisions.push(self.refusal(ticket, RefusalReason::NotServed));
            return;
        };
        queue.offered += 1;
        if ticket.priority > self.lowest_admitted {
            self.refuse(ticket, RefusalReason::Overloaded, decisions);
        } else if self.cannot_finish(now, ticket) {
            self.refuse(ticket, RefusalReason::DeadlineTooClose, decisions);
        } else if self.has_free_slot() {
            self.start(ticket, decisions);
        } else {
            self.enqueue(ticket, decisions);
        }
    }

    /// Releases the slot of a query that ended and starts queued queries.
    pub fn finished(&mut self, now: Timestamp, ended: SlotRelease, decisions: &mut Vec<Decision>) {
        self.running = self.running.saturating_sub(1);
        self.drain_rate.record(ended.held);
        if ended.answered
            && let Some(queue) = self.queues.get_mut(ended.priority)
        {
            queue.fastest_run.record(now, ended.held);
        }
        self.start_waiting(now, decisions);
    }

    /// Starts queued queries while slots are free, highest class first, and refuses those that can
    /// no longer finish before their deadline.
    pub fn start_waiting(&mut self, now: Timestamp, decisions: &mut Vec<Decision>) {
        while self.running < self.concurrency {
            let Some(ticket) = self.queues.pop_first() else {
                return;
            };
            if now.after(self.fastest_run(now, ticket.priority)) >= ticket.deadline {
                self.refuse(ticket, RefusalReason::DeadlineTooClose, decisions);
            } else {
                self.start(ticket, decisions);
            }
        }
    }

    /// Refuses a query that is still queued at its deadline.
    pub fn expire(&mut self, ticket: Ticket, decisions: &mut Vec<Decision>) {
        if self.queues.withdraw(ticket.query) {
            self.refuse(ticket, RefusalReason::DeadlineTooClose, decisions);
        }
    }

    /// Removes a queued query; false when it is not queued.
    pub fn withdraw(&mut self, query: QueryId) -> bool {
        self.queues.withdraw(query)
    }

    /// Retry delay for a refused query of this priority: the time in which the queries queued ahead
    /// of it drain.
    pub fn retry_after(&self, priority: u8) -> Duration {
        let ahead = self.queues.waiting_before(priority);
        self.drain_rate.retry_after(ahead + 1, self.concurrency)
    }

    fn has_free_slot(&self) -> bool {
        self.running < self.concurrency && self.queues.waiting() == 0
    }

    fn start(&mut self, ticket: Ticket, decisions: &mut Vec<Decision>) {
        self.running += 1;
        decisions.push(Decision::Start(ticket.query));
    }

    fn enqueue(&mut self, ticket: Ticket, decisions: &mut Vec<Decision>) {
        if self.queues.get(ticket.priority).is_none_or(queue::ClassQueue::is_full) {
            self.refuse(ticket, RefusalReason::QueueFull, decisions);
            return;
        }
        if self.queues.are_full() {
            match self.queues.evict_below(ticket.priority) {
                Some(evicted) => self.refuse(evicted, RefusalReason::Evicted, decisions),
                None => {
                    self.refuse(ticket, RefusalReason::QueueFull, decisions);
                    return;
                }
            }
        }
        if let Some(queue) = self.queues.get_mut(ticket.priority) {
            queue.waiting.push_back(ticket);
        }
    }

    /// Whether the query would miss its deadline even with the shortest recent run time of its
    /// class, after the queries queued ahead of it have drained.
    fn cannot_finish(&self, now: Timestamp, ticket: Ticket) -> bool {
        let ahead = self.queues.waiting_before(ticket.priority);
        let wait = if self.has_free_slot() {
            Duration::ZERO
        } else {
            self.drain_rate.time_to_drain(ahead, self.concurrency)
        };
        now.after(wait + self.fastest_run(now, ticket.priority)) >= ticket.deadline
    }

    fn fastest_run(&self, now: Timestamp, priority: u8) -> Duration {
        self.queues.get(priority).map_or(Duration::ZERO, |queue| queue.fastest_run.get(now))
    }

    fn refuse(&mut self, ticket: Ticket, reason: RefusalReason, decisions: &mut Vec<Decision>) {
        if let Some(queue) = self.queues.get_mut(ticket.priority) {
            queue.refused += 1;
        }
        decisions.push(self.refusal(ticket, reason));
    }

    fn refusal(&self, ticket: Ticket, reason: RefusalReason) -> Decision {
        let drained = self.retry_after(ticket.priority);
        let retry_after = match reason {
            RefusalReason::Overloaded => drained.max(THRESHOLD_RETRY_AFTER),
            _ => drained,
        };
        Decision::Refuse { query: ticket.query, reason, retry_after }
    }
}
