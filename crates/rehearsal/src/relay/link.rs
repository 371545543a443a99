//! What a relay does to the connections that pass it.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use monoio::time::sleep;

/// Time between two looks at whether a silence is over.
const LOOK_INTERVAL: Duration = Duration::from_millis(5);

/// A fault of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkFault {
    /// Bytes arrive this much later, in both directions.
    Delayed(Duration),
    /// No bytes arrive, and nobody is told. They do once the fault is over.
    Silent,
    /// The same from the connecting side to the target only.
    SilentToTarget,
    /// The same from the target to the connecting side only.
    SilentFromTarget,
    /// Connections end at once, and so does each new one: the target sees a reset, the connecting
    /// side a close without the rest of what was on its way.
    Reset,
}

/// The state of one direction of a link.
#[derive(Debug, Default)]
pub struct LinkState {
    delay_microseconds: AtomicU64,
    silent: AtomicBool,
}

impl LinkState {
    /// Changes the state.
    pub fn set(&self, delay: Duration, silent: bool) {
        self.delay_microseconds.store(delay.as_micros() as u64, Ordering::Relaxed);
        self.silent.store(silent, Ordering::Relaxed);
    }

    /// Ends when bytes that have come may be passed on.
    pub async fn let_pass(&self) {
        let delay = Duration::from_micros(self.delay_microseconds.load(Ordering::Relaxed));
        if !delay.is_zero() {
            sleep(delay).await;
        }
        while self.silent.load(Ordering::Relaxed) {
            sleep(LOOK_INTERVAL).await;
        }
    }
}
