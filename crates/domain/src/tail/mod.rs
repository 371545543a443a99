//! Extra sends that shorten the tail: hedges and retries, within budgets.
//!
//! One [`TailControl`] per service. A hedge is a second request for a shard whose first reply is
//! late; a retry is another request after a failure. Hedges stay within their share of the primary
//! sends in every window of these. Retries are paid from a token bucket that earns a share of a
//! token with each primary send, and holds a few at the start, as a query that fails then needs its
//! retry too. Both stop while the leaves shed.

mod budget;
mod latency;
mod shedding;
mod sliding;

use std::time::Duration;

use crate::time::Timestamp;

pub use budget::SendBudget;
pub use latency::LatencyWindow;
pub use shedding::SheddingDetector;
pub use sliding::SlidingBudget;

/// How much extra load a service's leaves may be given.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TailSettings {
    /// Whether late requests are hedged at all.
    pub hedging: bool,
    /// Quantile of the leaf latencies after which a request counts as late, from 0 to 1.
    pub hedge_quantile: f64,
    /// Hedges as a share of primary sends.
    pub hedge_share: f64,
    /// Retries as a share of primary sends.
    pub retry_share: f64,
}

impl Default for TailSettings {
    fn default() -> Self {
        Self { hedging: true, hedge_quantile: 0.95, hedge_share: 0.05, retry_share: 0.1 }
    }
}

/// Shortest wait before a hedge: below it the timer's own error decides.
const MINIMUM_HEDGE_DELAY: Duration = Duration::from_millis(1);
/// Primary sends over which hedges stay within their share; a share of 5 % of them, 50, may be
/// sent at once after a quiet time.
const HEDGE_WINDOW: usize = 1000;
/// Retries that may be sent at once after a quiet time.
const RETRY_BURST: f64 = 50.0;
/// Retries that a new process may send before it has earned any: as many as a query of 53 shards earns. A process that
/// is started again and again brings no more with each start.
const RETRIES_AT_START: f64 = 5.0;

/// Extra sends of one service on one broker.
#[derive(Debug)]
pub struct TailControl {
    settings: TailSettings,
    latencies: LatencyWindow,
    hedges: SlidingBudget,
    retries: SendBudget,
    shedding: SheddingDetector,
}

impl TailControl {
    /// A control without observations, which may retry but not hedge yet.
    pub fn new(settings: TailSettings) -> Self {
        Self {
            settings,
            latencies: LatencyWindow::default(),
            hedges: SlidingBudget::new(settings.hedge_share, HEDGE_WINDOW),
            retries: SendBudget::new(settings.retry_share, RETRY_BURST, RETRIES_AT_START),
            shedding: SheddingDetector::default(),
        }
    }

    /// A first request for a shard was sent.
    pub fn primary_sent(&mut self) {
        self.hedges.earn();
        self.retries.earn();
    }

    /// A leaf answered after `latency`.
    pub fn answered(&mut self, now: Timestamp, latency: Duration) {
        self.latencies.record(now, latency);
        self.shedding.answered();
    }

    /// A leaf refused for want of capacity.
    pub fn shed(&mut self) {
        self.shedding.shed();
    }

    /// Time after which a request is late; none while too little was measured.
    pub fn late_after(&self) -> Option<Duration> {
        let late = self.latencies.quantile(self.settings.hedge_quantile)?;
        Some(late.max(MINIMUM_HEDGE_DELAY))
    }

    /// Time after which a request is hedged; none when hedging is off too.
    pub fn hedge_delay(&self) -> Option<Duration> {
        self.late_after().filter(|_| self.settings.hedging)
    }

    /// Takes the right to send one hedge; false when there is none.
    pub fn take_hedge(&mut self) -> bool {
        !self.shedding.is_shedding() && self.hedges.take()
    }

    /// Takes the right to send one retry; false when there is none.
    pub fn take_retry(&mut self) -> bool {
        !self.shedding.is_shedding() && self.retries.take()
    }

    /// Gives back a right that was taken but not used.
    pub fn give_back_hedge(&mut self) {
        self.hedges.give_back();
    }

    /// Gives back a right that was taken but not used.
    pub fn give_back_retry(&mut self) {
        self.retries.give_back();
    }
}
