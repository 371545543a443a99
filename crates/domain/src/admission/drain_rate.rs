//! Rate at which queries release the slots of a service.

use std::time::Duration;

/// Weight of the newest query in the exponentially smoothed slot time.
const SMOOTHING: f64 = 0.1;
/// Slot time assumed for `retry_after` before the first query ended.
const INITIAL_SLOT_TIME: Duration = Duration::from_millis(100);
/// Shortest retry delay given to a refused caller.
const MINIMUM_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Longest retry delay given to a refused caller.
const MAXIMUM_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Estimates the drain rate from the smoothed time for which a query holds a slot.
///
/// The drain rate is the number of slots divided by the slot time. The interval between
/// completions is not used: it grows while the service is idle and follows a changed number of
/// slots only slowly.
#[derive(Debug, Clone, Copy, Default)]
pub struct DrainRate {
    /// Smoothed slot time in seconds; `None` before the first query ended.
    slot_time: Option<f64>,
}

impl DrainRate {
    /// Records that a query held a slot for `held`.
    pub fn record(&mut self, held: Duration) {
        let held = held.as_secs_f64();
        let smoothed = self.slot_time.map_or(held, |former| former + SMOOTHING * (held - former));
        self.slot_time = Some(smoothed);
    }

    /// Time in which `count` queries drain through `slots` slots; zero before a query ended.
    pub fn time_to_drain(&self, count: usize, slots: u32) -> Duration {
        drain_time(self.slot_time.unwrap_or_default(), count, slots)
    }

    /// Retry delay for a caller that waits for `count` queries to drain, from 50 ms to 30 s.
    pub fn retry_after(&self, count: usize, slots: u32) -> Duration {
        let slot_time = self.slot_time.unwrap_or(INITIAL_SLOT_TIME.as_secs_f64());
        drain_time(slot_time, count, slots).max(MINIMUM_RETRY_AFTER)
    }
}

fn drain_time(slot_time: f64, count: usize, slots: u32) -> Duration {
    let seconds = slot_time * count as f64 / f64::from(slots.max(1));
    Duration::from_secs_f64(seconds.min(MAXIMUM_RETRY_AFTER.as_secs_f64()))
}
