//! Admission of queries to one service on one broker: strict priority over bounded queues.

mod drain_rate;

use std::collections::VecDeque;
use std::time::Duration;

use crate::identifiers::QueryId;
use crate::time::Timestamp;

pub use drain_rate::DrainRate;

/// A query that asks to be admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ticket {
    /// The query.
    pub query: QueryId,
    /// Priority of its class; 0 is served first.
    pub priority: u8,
    /// Moment after which an answer is of no use.
    pub deadline: Timestamp,
}

/// Why a query was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalReason {
    /// The queue of its class is full.
    QueueFull,
    /// A query of a higher class took its place in the queue.
    Evicted,
    /// It could not have finished before its deadline.
    DeadlineTooClose,
    /// The broker is stopping.
    Stopping,
    /// The caller's budget is spent.
    BudgetSpent,
    /// The service has no published snapshot, or is not defined any more.
    NotServed,
    /// Every leaf asked for it said that it did not run it.
    LeavesRefused,
    /// The broker cannot tell whether its configuration is still the accepted one.
    ConfigurationStale,
}

/// What becomes of a ticket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The query starts now.
    Start(QueryId),
    /// The query is given up before anything of it was run.
    Refuse {
        /// The query.
        query: QueryId,
        /// Why.
        reason: RefusalReason,
        /// When asking again is worth while.
        retry_after: Duration,
    },
}

/// Queue lengths and priorities of a service's classes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClassLimit {
    /// Priority of the class.
    pub priority: u8,
    /// Queries of it that may wait.
    pub queue_limit: u32,
}

#[derive(Debug)]
struct ClassQueue {
    limit: ClassLimit,
    waiting: VecDeque<Ticket>,
}

/// Admits queries of one service.
#[derive(Debug)]
pub struct Admission {
    concurrency: u32,
    running: u32,
    queues: Vec<ClassQueue>,
    drain_rate: DrainRate,
}

impl Admission {
    /// An admission that runs `concurrency` queries at a time.
    pub fn new(concurrency: u32, limits: impl IntoIterator<Item = ClassLimit>) -> Self {
        let mut admission =
            Self { concurrency, running: 0, queues: Vec::new(), drain_rate: DrainRate::default() };
        admission.reconfigure(concurrency, limits);
        admission
    }

    /// Takes over changed limits; what waits in a class that remains keeps waiting.
    pub fn reconfigure(&mut self, concurrency: u32, limits: impl IntoIterator<Item = ClassLimit>) {
        self.concurrency = concurrency;
        let mut former = std::mem::take(&mut self.queues);
        for limit in limits {
            let waiting = former
                .iter_mut()
                .find(|queue| queue.limit.priority == limit.priority)
                .map(|queue| std::mem::take(&mut queue.waiting))
                .unwrap_or_default();
            self.queues.push(ClassQueue { limit, waiting });
        }
        self.queues.sort_by_key(|queue| queue.limit.priority);
    }

    /// Queries that run now.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Queries that wait now, over all classes.
    pub fn waiting(&self) -> usize {
        self.queues.iter().map(|queue| queue.waiting.len()).sum()
    }

    /// Offers a query; it starts, waits or is refused. An evicted query is refused too.
    pub fn offer(&mut self, now: Timestamp, ticket: Ticket, decisions: &mut Vec<Decision>) {
        let retry_after = self.retry_after(ticket.priority);
        if ticket.deadline <= now {
            decisions.push(refuse(ticket.query, RefusalReason::DeadlineTooClose, retry_after));
            return;
        }
        if self.running < self.concurrency && self.waiting() == 0 {
            self.running += 1;
            decisions.push(Decision::Start(ticket.query));
            return;
        }
        let Some(queue) =
            self.queues.iter_mut().find(|queue| queue.limit.priority == ticket.priority)
        else {
            decisions.push(refuse(ticket.query, RefusalReason::NotServed, retry_after));
            return;
        };
        if queue.waiting.len() >= queue.limit.queue_limit as usize {
            decisions.push(refuse(ticket.query, RefusalReason::QueueFull, retry_after));
            return;
        }
        queue.waiting.push_back(ticket);
    }

    /// A running query ended; starts what may start now.
    pub fn finished(&mut self, now: Timestamp, decisions: &mut Vec<Decision>) {
        self.running = self.running.saturating_sub(1);
        self.drain_rate.record(now);
        self.start_waiting(now, decisions);
    }

    /// Starts waiting queries while there is room, highest class first, and refuses expired ones.
    pub fn start_waiting(&mut self, now: Timestamp, decisions: &mut Vec<Decision>) {
        while self.running < self.concurrency {
            let Some(ticket) = self.queues.iter_mut().find_map(|queue| queue.waiting.pop_front())
            else {
                return;
            };
            if ticket.deadline <= now {
                let retry_after = self.retry_after(ticket.priority);
                decisions.push(refuse(ticket.query, RefusalReason::DeadlineTooClose, retry_after));
                continue;
            }
            self.running += 1;
            decisions.push(Decision::Start(ticket.query));
        }
    }

    /// Takes a waiting query out; false when it does not wait here.
    pub fn withdraw(&mut self, query: QueryId) -> bool {
        for queue in &mut self.queues {
            let before = queue.waiting.len();
            queue.waiting.retain(|ticket| ticket.query != query);
            if queue.waiting.len() < before {
                return true;
            }
        }
        false
    }

    /// When a refused query of this priority may hope to be admitted: the time in which what
    /// waits before it drains at the measured rate.
    pub fn retry_after(&self, priority: u8) -> Duration {
        let ahead: usize = self
            .queues
            .iter()
            .filter(|queue| queue.limit.priority <= priority)
            .map(|queue| queue.waiting.len())
            .sum();
        self.drain_rate.time_to_drain(ahead + 1)
    }
}

fn refuse(query: QueryId, reason: RefusalReason, retry_after: Duration) -> Decision {
    Decision::Refuse { query, reason, retry_after }
}
