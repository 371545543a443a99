//! The attempts at one request that are under way.

use std::future::{Future, poll_fn};
use std::pin::Pin;
use std::task::{Context, Poll};

/// Futures that run side by side; a few, so that all are polled when one of them wakes the task.
/// Dropping the set drops them, by which their work is cancelled.
pub struct AttemptSet<Work> {
    futures: Vec<Pin<Box<Work>>>,
}

impl<Work: Future> AttemptSet<Work> {
    /// None are under way.
    pub fn new() -> Self {
        Self { futures: Vec::with_capacity(1) }
    }

    /// Whether none are under way.
    pub fn is_empty(&self) -> bool {
        self.futures.is_empty()
    }

    /// One more begins.
    pub fn push(&mut self, future: Work) {
        self.futures.push(Box::pin(future));
    }

    /// The output of the next one that ends; waits for ever while none are under way.
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
