//! Hedges and retries, which cut the tail latency, within budgets.
//!
//! There is one [`TailControl`] per service. A hedge is a second request for a shard whose first
//! reply is late; a retry is another request after a failure. Hedges stay within a share of the
//! primary sends in every window of primary sends. Retries take tokens from a bucket that gains a
//! share of a token with each primary send and starts with a few, because a query that fails right
//! after the start needs a retry too. Neither is sent while the leaves shed load.

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

/// Limits of the extra load on the leaves of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TailSettings {
    /// Whether late requests are hedged.
    pub hedging: bool,
    /// Quantile of the leaf latency after which a request counts as late, from 0 to 1.
    pub hedge_quantile: f64,
    /// Hedges as a share of primary sends, from 0 to 1.
    pub hedge_share: f64,
    /// Retries as a share of primary sends, from 0 to 1.
    pub retry_share: f64,
}

impl Default for TailSettings {
    fn default() -> Self {
        Self { hedging: true, hedge_quantile: 0.95, hedge_share: 0.05, retry_share: 0.1 }
    }
}

/// Shortest hedge delay; below it the error of the timer dominates.
const MINIMUM_HEDGE_DELAY: Duration = Duration::from_millis(1);
/// Window, in primary sends, within which hedges stay within their share. With a share of 5 %, a
/// burst of 50 hedges may follow a window without any.
const HEDGE_WINDOW: usize = 1000;
/// Capacity of the retry bucket: the largest burst of retries.
const RETRY_BURST: f64 = 50.0;
/// Tokens in the retry bucket of a new process, about as many as a query of 53 shards adds. The
/// number is small so that a process in a restart loop adds few retries with each start.
const INITIAL_RETRIES: f64 = 5.0;

/// Decides on hedges and retries of one service on one broker.
#[derive(Debug)]
pub struct TailControl {
    settings: TailSettings,
    latencies: LatencyWindow,
    hedges: SlidingBudget,
    retries: SendBudget,
    shedding: SheddingDetector,
}

impl TailControl {
    /// A control without latency samples, which allows retries but no hedges yet.
    pub fn new(settings: TailSettings) -> Self {
        Self {
            settings,
            latencies: LatencyWindow::default(),
            hedges: SlidingBudget::new(settings.hedge_share, HEDGE_WINDOW),
            retries: SendBudget::new(settings.retry_share, RETRY_BURST, INITIAL_RETRIES),
            shedding: SheddingDetector::default(),
        }
    }

    /// Records a primary send, which adds to both budgets.
    pub fn primary_sent(&mut self) {
        self.hedges.earn();
        self.retries.earn();
    }

    /// Records the answer of a leaf after `latency`.
    pub fn answered(&mut self, now: Timestamp, latency: Duration) {
        self.latencies.record(now, latency);
        self.shedding.answered();
    }

    /// Records that a leaf shed a request.
    pub fn shed(&mut self) {
        self.shedding.shed();
    }

    /// Time after which a request counts as late; `None` with too few latency samples.
    pub fn late_after(&self) -> Option<Duration> {
        let late = self.latencies.quantile(self.settings.hedge_quantile)?;
        Some(late.max(MINIMUM_HEDGE_DELAY))
    }

    /// Time after which a request is hedged; `None` when hedging is off or samples are too few.
    pub fn hedge_delay(&self) -> Option<Duration> {
        self.late_after().filter(|_| self.settings.hedging)
    }

    /// Takes one hedge from the budget; false when the budget is spent or the leaves shed load.
    pub fn take_hedge(&mut self) -> bool {
        !self.shedding.is_shedding() && self.hedges.take()
    }

    /// Takes one retry from the budget; false when the budget is spent or the leaves shed load.
    pub fn take_retry(&mut self) -> bool {
        !self.shedding.is_shedding() && self.retries.take()
    }

    /// Returns a hedge that was taken but not sent.
    pub fn give_back_hedge(&mut self) {
        self.hedges.give_back();
    }

    /// Returns a retry that was taken but not sent.
    pub fn give_back_retry(&mut self) {
        self.retries.give_back();
    }
}
