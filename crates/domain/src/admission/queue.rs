//! Queues of the classes of a service.

use std::collections::VecDeque;

use super::run_time::FastestRun;
use super::ticket::{ClassLimit, Ticket};
use crate::identifiers::QueryId;

/// Queue, counters and shortest run time of one class.
#[derive(Debug)]
pub(super) struct ClassQueue {
    pub(super) limit: ClassLimit,
    pub(super) waiting: VecDeque<Ticket>,
    pub(super) fastest_run: FastestRun,
    pub(super) offered: u64,
    pub(super) refused: u64,
}

impl ClassQueue {
    fn new(limit: ClassLimit) -> Self {
        Self {
            limit,
            waiting: VecDeque::new(),
            fastest_run: FastestRun::default(),
            offered: 0,
            refused: 0,
        }
    }

    pub(super) fn is_full(&self) -> bool {
        self.waiting.len() >= self.limit.queue_limit as usize
    }
}

/// Queues of all classes, highest priority first.
#[derive(Debug, Default)]
pub(super) struct ClassQueues {
    queues: Vec<ClassQueue>,
}

impl ClassQueues {
    /// Applies changed limits and returns the queued tickets of removed classes.
    pub(super) fn reconfigure(
        &mut self,
        limits: impl IntoIterator<Item = ClassLimit>,
    ) -> Vec<Ticket> {
        let mut former = std::mem::take(&mut self.queues);
        for limit in limits {
            let kept = former.iter().position(|queue| queue.limit.priority == limit.priority);
            let mut queue =
                kept.map_or_else(|| ClassQueue::new(limit), |index| former.remove(index));
            queue.limit = limit;
            self.queues.push(queue);
        }
        self.queues.sort_by_key(|queue| queue.limit.priority);
        former.into_iter().flat_map(|queue| queue.waiting).collect()
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &ClassQueue> {
        self.queues.iter()
    }

    pub(super) fn get(&self, priority: u8) -> Option<&ClassQueue> {
        self.queues.iter().find(|queue| queue.limit.priority == priority)
    }

    pub(super) fn get_mut(&mut self, priority: u8) -> Option<&mut ClassQueue> {
        self.queues.iter_mut().find(|queue| queue.limit.priority == priority)
    }

    /// Number of queued tickets, over all classes.
    pub(super) fn waiting(&self) -> usize {
        self.queues.iter().map(|queue| queue.waiting.len()).sum()
    }

    /// Number of tickets that are served before a new ticket of this priority.
    pub(super) fn waiting_before(&self, priority: u8) -> usize {
        let before = self.queues.iter().filter(|queue| queue.limit.priority <= priority);
        before.map(|queue| queue.waiting.len()).sum()
    }

    /// Whether the queues together hold as many tickets as the greatest queue limit of a class.
    pub(super) fn are_full(&self) -> bool {
        let longest = self.queues.iter().map(|queue| queue.limit.queue_limit).max();
        self.waiting() >= longest.unwrap_or_default() as usize
    }

    /// Removes the next ticket to be served: the oldest of the highest class.
    pub(super) fn pop_first(&mut self) -> Option<Ticket> {
        self.queues.iter_mut().find_map(|queue| queue.waiting.pop_front())
    }

    /// Removes the newest ticket of the lowest class with queued tickets, if that class is lower
    /// than `priority`.
    pub(super) fn evict_below(&mut self, priority: u8) -> Option<Ticket> {
        let lowest = self.queues.iter_mut().rev().find(|queue| !queue.waiting.is_empty())?;
        if lowest.limit.priority <= priority {
            return None;
        }
        lowest.waiting.pop_back()
    }

    /// Removes all tickets of classes lower than `lowest`.
    pub(super) fn drain_below(&mut self, lowest: u8) -> Vec<Ticket> {
        let below = self.queues.iter_mut().filter(|queue| queue.limit.priority > lowest);
        below.flat_map(|queue| std::mem::take(&mut queue.waiting)).collect()
    }

    /// Removes the ticket of a query; false when the query is not queued.
    pub(super) fn withdraw(&mut self, query: QueryId) -> bool {
        for queue in &mut self.queues {
            let before = queue.waiting.len();
            queue.waiting.retain(|ticket| ticket.query != query);
            if queue.waiting.len() < before {
                return true;
            }
        }
        false
    }
}
