//! Detection of load shedding by the leaves of a service.

/// Weight of the newest reply in the exponentially smoothed share.
const SMOOTHING: f64 = 0.02;
/// Share of shed requests above which hedges and retries stop.
const SHEDDING_SHARE: f64 = 0.1;

/// Exponentially smoothed share of shed requests among the answered and shed ones.
#[derive(Debug, Clone, Copy, Default)]
pub struct SheddingDetector {
    share: f64,
}

impl SheddingDetector {
    /// Records a request that a leaf ran.
    pub fn answered(&mut self) {
        self.share -= SMOOTHING * self.share;
    }

    /// Records a request that a leaf shed.
    pub fn shed(&mut self) {
        self.share += SMOOTHING * (1.0 - self.share);
    }

    /// Whether the leaves are overloaded, so that no hedges and retries may be sent.
    pub fn is_shedding(&self) -> bool {
        self.share > SHEDDING_SHARE
    }
}
