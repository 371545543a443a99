//! A one-shot signal between tasks of one thread.

use std::rc::Rc;

use local_sync::semaphore::Semaphore;

/// A flag that is set at most once and that any number of tasks of the thread can await, for
/// example the start of a planned stop.
#[derive(Clone)]
pub struct Latch {
    /// Never has a permit; closed when the latch is set.
    gate: Rc<Semaphore>,
}

impl Default for Latch {
    fn default() -> Self {
        Self::new()
    }
}

impl Latch {
    /// Creates a latch that is not set.
    pub fn new() -> Self {
        Self { gate: Rc::new(Semaphore::new(0)) }
    }

    /// Sets the latch and wakes all waiting tasks.
    pub fn set(&self) {
        self.gate.close();
    }

    /// Whether the latch is set.
    pub fn is_set(&self) -> bool {
        self.gate.is_closed()
    }

    /// Waits until the latch is set.
    pub async fn wait(&self) {
        // Returns an error once the gate is closed; a permit is never available.
        let _ = self.gate.acquire().await;
    }
}
