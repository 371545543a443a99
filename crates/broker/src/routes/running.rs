//! The set of concurrent attempts of one request.

use std::future::{Future, poll_fn};
use std::pin::Pin;
use std::task::{Context, Poll};

/// A small set of futures that run concurrently; all are polled at each wake-up of the task.
/// Dropping the set cancels them.
pub struct AttemptSet<Work> {
    futures: Vec<Pin<Box<Work>>>,
}

impl<Work: Future> AttemptSet<Work> {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self { futures: Vec::with_capacity(1) }
    }

    /// Whether the set holds no future.
    pub fn is_empty(&self) -> bool {
        self.futures.is_empty()
    }

    /// Adds a future; it is first polled by [`Self::next`].
    pub fn push(&mut self, future: Work) {
        self.futures.push(Box::pin(future));
    }

    /// Output of the next future that completes; pending for ever while the set is empty.
    pub async fn next(&mut self) -> Work::Output {
        poll_fn(|context| self.poll_next(context)).await
    }

    fn poll_next(&mut self, context: &mut Context<'_>) -> Poll<Work::Output> {
        for place in 0..self.futures.len() {
            if let Poll::Ready(output) = self.futures[place].as_mut().poll(context) {
                drop(self.futures.swap_remove(place));
                return Poll::Ready(output);
            }
        }
        Poll::Pending
    }
}
