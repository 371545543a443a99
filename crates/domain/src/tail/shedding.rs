//! Whether the leaves of a service shed load.

/// Weight of the newest reply.
const SMOOTHING: f64 = 0.02;
/// Share of refusals above which the leaves count as shedding.
const SHEDDING_SHARE: f64 = 0.1;

/// Smoothed share of replies that refuse for want of capacity.
#[derive(Debug, Clone, Copy, Default)]
pub struct SheddingDetector {
    share: f64,
}

impl SheddingDetector {
    /// A leaf ran a request.
    pub fn answered(&mut self) {
        self.share -= SMOOTHING * self.share;
    }

    /// A leaf refused one for want of capacity.
    pub fn shed(&mut self) {
        self.share += SMOOTHING * (1.0 - self.share);
    }

    /// Whether extra sends would fall on leaves that are short of capacity already.
    pub fn is_shedding(&self) -> bool {
        self.share > SHEDDING_SHARE
    }
}
