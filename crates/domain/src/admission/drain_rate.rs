//! The measured rate at which queries leave a service.

use std::time::Duration;

/// Weight of the newest query in the smoothed slot time.
const SMOOTHING: f64 = 0.1;
/// Slot time that is assumed before any query ended.
const INITIAL_SLOT_TIME: Duration = Duration::from_millis(100);
/// Shortest advice given to a refused caller.
const MINIMUM_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Longest advice given to a refused caller.
const MAXIMUM_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Smoothed time for which a query holds one of the service's slots.
///
/// The drain rate is the number of slots over this time. Times between completions are not used:
/// they grow while the service idles, and a changed number of slots would show late.
#[derive(Debug, Clone, Copy, Default)]
pub struct DrainRate {
    /// Seconds; none before the first query ended.
    slot_time: Option<f64>,
}

impl DrainRate {
    /// Records that a query held a slot for `held`.
    pub fn record(&mut self, held: Duration) {
        let held = held.as_secs_f64();
        let smoothed = self.slot_time.map_or(held, |former| former + SMOOTHING * (held - former));
        self.slot_time = Some(smoothed);
    }

    /// Time in which `count` queries leave `slots` busy slots; zero before anything was measured.
    pub fn time_to_drain(&self, count: usize, slots: u32) -> Duration {
        drain_time(self.slot_time.unwrap_or_default(), count, slots)
    }

    /// Advice to a caller before whom `count` queries have to leave, within the advised bounds.
    pub fn retry_after(&self, count: usize, slots: u32) -> Duration {
        let slot_time = self.slot_time.unwrap_or(INITIAL_SLOT_TIME.as_secs_f64());
        drain_time(slot_time, count, slots).max(MINIMUM_RETRY_AFTER)
    }
}

fn drain_time(slot_time: f64, count: usize, slots: u32) -> Duration {
    let seconds = slot_time * count as f64 / f64::from(slots.max(1));
    Duration::from_secs_f64(seconds.min(MAXIMUM_RETRY_AFTER.as_secs_f64()))
}
