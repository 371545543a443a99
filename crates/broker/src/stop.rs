//! The word that a planned stop has begun, for tasks that wait for something else.

use std::rc::Rc;

use local_sync::semaphore::Semaphore;

/// Tells tasks of this thread that a planned stop has begun.
#[derive(Clone)]
pub struct StopSignal {
    /// Never has a permit; it is closed when the stop begins.
    gate: Rc<Semaphore>,
}

impl StopSignal {
    /// A signal that was not given yet.
    pub fn new() -> Self {
        Self { gate: Rc::new(Semaphore::new(0)) }
    }

    /// Gives the signal.
    pub fn give(&self) {
        self.gate.close();
    }

    /// Whether the signal was given.
    pub fn is_given(&self) -> bool {
        self.gate.is_closed()
    }

    /// Waits until the signal is given.
    pub async fn given(&self) {
        // Ends with an error once the gate is closed; a permit never comes.
        let _ = self.gate.acquire().await;
    }
}
